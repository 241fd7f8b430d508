package lagoon

import "time"

// Target is one of the services that a route balances requests over.
type Target struct {
	service string  // the service name
	weight  float64 // the share of requests, relative to the other targets
}

// Route declares which services handle requests under a path prefix, and the
// limits on them. Either targets or shards is set.
type Route struct {
	name        string        // the route name
	host        string        // the host name to match
	prefix      string        // the path prefix to match; begins and ends with a slash
	idempotent  bool          // whether a request may be executed more than once
	timeout     time.Duration // the maximum time that a caller waits
	objective   time.Duration // the latency objective
	maxAttempts int           // the maximum number of servers that one request is sent to, per shard; json:"attempts"
	priority    int           // the priority; 0 is the highest
	targets     []Target      // the services to balance requests over
	shards      []string      // the services that each hold one shard, for scatter-gather requests
	maxRecords  int           // the maximum number of records in a gathered response; json:"records"
	minCoverage float64       // the minimum fraction of shards in a gathered response, 0 to 1
	public      bool          // whether requests need no key and are not attributed to an organisation
}

// Pool declares the limits on requests to the servers of one service, for a
// service that a Route balances requests over.
type Pool struct {
	name          string  // the service name
	maxConns      int     // the maximum number of connections per server, over all nodes; json:"conns"
	coldPerSecond float64 // the maximum requests per second to a cold server, over all nodes; 0 means unlimited
}

// Limits bounds the requests of callers.
type Limits struct {
	maxHeaderBytes int           // the maximum header size, in bytes; json:"header_bytes"
	maxBodyBytes   int           // the maximum body size, in bytes; json:"body_bytes"
	headerTimeout  time.Duration // the timeout for reading a header
	idleTimeout    time.Duration // the timeout of an idle connection
}

// Organisation declares a group of callers that share keys, a priority and a quota.
type Organisation struct {
	name          string   // the organisation name
	keys          []string // the keys of its callers, which are never logged
	priority      int      // the priority of its requests, instead of the route's; 0 is the highest
	hasPriority   bool     // whether the priority is declared
	ratePerSecond float64  // the quota over all nodes, in requests per second; 0 means unlimited
	burst         float64  // the number of requests beyond the rate that may be sent at once
}

// Catalog is one accepted version of everything that operators declared. A
// node never replaces its catalog by one with a lower revision.
type Catalog struct {
	version  uint64  // the operators' version
	revision uint64  // the revision at which the platform's store wrote it
	routes   []Route // the routes
	pools    []Pool  // the services
	limits   Limits  // the limits on callers

	organisations []Organisation // the organisations, each with a distinct name
	identified    bool           // whether requests are identified by keys; true also if no declared organisation is valid
	warnings      []string       // what is invalid in the declaration and therefore ignored, for logs
}

// Replica is one run of one server, as announced by the server.
type Replica struct {
	id           string        // the server ID
	service      string        // the service name
	addr         string        // the address and port
	zone         string        // the availability zone
	slots        int           // the number of requests that the server runs concurrently
	draining     bool          // whether the server announced that it will stop; json:"leaving"
	coldDuration time.Duration // how long the server stays cold after the announcement; json:"cold"
	startedMilli int64         // the server's start time, in Unix milliseconds; json:"born"
	revision     uint64        // the revision of the announcement in the platform's store
	version      string        // the version of the program that the server runs; empty if it did not say so
	sequence     uint64        // how many reports the run of the server had made; 0 if it did not say so; json:"seq"
}

// Rollout is an operator's order that the traffic of a service moves to servers of another
// version, and what became of it. An invalid one says only that the object exists.
type Rollout struct {
	service       string        // the service name, which is also the name of the object
	targetVersion string        // the version that the traffic moves to; json:"target"
	duration      time.Duration // the time within which the order is to be completed
	revision      uint64        // the revision of the object in the registry
	state         RolloutState  // the state in the registry; RolloutOrdered if the status is about another target
	invalid       bool          // whether the object could not be decoded, so that an earlier order stays in force
}

// RegistryUpdate is the content of one topic of a Registry, or a change to it.
type RegistryUpdate struct {
	topic    Topic     // the topic
	full     bool      // whether the update replaces all earlier content of the topic
	previous uint64    // the revision that an incremental update applies to
	revision uint64    // the revision that the topic has after the update
	catalog  Catalog   // the newest catalog, for TopicCatalog
	replicas []Replica // the replicas announced or changed, for TopicReplicas
	zones    []string  // the availability zones taken out of service, for TopicZones
	members  []Member  // the nodes announced or changed, for TopicMembers
	removed  []string  // the IDs or names that were removed
	rollouts []Rollout // the orders written or changed, for TopicRollouts
}

// Request is one request of a caller, to be routed.
type Request struct {
	id       string        // the request ID, unique for each attempt of a caller
	host     string        // the host that the caller named
	path     string        // the path
	timeout  time.Duration // how long the caller waits; 0 means the route's timeout
	payload  any           // the request as decoded by the front end; opaque to routing
	bodySize int           // the size of the body, in bytes
	key      string        // the key that the caller sent; empty if it sent none or more than one
}

// Attempt is one transmission of a request to one replica.
type Attempt struct {
	id             string        // the request ID
	replica        Replica       // the replica
	timeout        time.Duration // the time left until the caller stops waiting
	recentConnOnly bool          // whether only a connection used a short time ago may be reused
	closeConn      bool          // whether to close the connection afterwards, because this node has no share of the server's connections
	payload        any           // the request as decoded by the front end
	sendBefore     time.Duration // the time before which the attempt must be sent, on the node's clock; 0 for no such time
	checkEnd       bool          // whether to find out, if the connection breaks without a response, whether the server has ended
	organisation   string        // the organisation of the caller; empty on public routes and without organisations
	identified     bool          // whether the catalog declares organisations, so that the caller's key and its statement of an organisation are not forwarded
}

// AttemptResult is the result of an Attempt.
type AttemptResult struct {
	status        Status        // the status of the attempt
	reply         any           // the server's response, for StatusOK and StatusFailed
	permanent     bool          // whether another server would respond in the same way, for StatusFailed
	addressReused bool          // whether another server now uses the address
	running       int           // the number of requests running on the server, as reported by it
	queued        int           // the number of requests queued on the server, as reported by it
	slots         int           // the number of slots of the server, as reported by it; 0 without a report
	slowdown      float64       // how long work takes on the server now, relative to its usual time; 0 if the server does not say so
	detail        string        // the cause of a failure, for logs
	connOpened    bool          // whether the attempt opened a connection
	connectTime   time.Duration // the time that opening the connection took
	leaving       bool          // whether a server said in its response that it is leaving
	leavingServer string        // the ID of that server, if it is not the one that the attempt was for
	pause         time.Duration // how long the server wants no requests from this node; 0 if it did not say so
	limitStated   bool          // whether the response tells which limit the server has, or that it has none
	limited       bool          // whether the server limits the requests of all nodes together
	limit         float64       // that limit, in requests per second
	unsolicited   string        // what the server sent that belongs to no attempt in progress, for logs; empty for nothing
	ignoredHint   string        // what a header said that is ignored because it is invalid, for logs; empty for none
	ended         bool          // whether the server has ended since the request was sent to it, for StatusUnknown
	withheld      bool          // whether the node itself withheld the attempt right before the send, for StatusNotSent
}

// Response is the result of routing a Request.
type Response struct {
	outcome       RequestOutcome // the outcome of the request
	reply         any            // the server's response, for RequestServed and RequestFailed
	parts         []any          // the responses of the covered shards, for RequestGathered
	missingShards int            // the number of shards not covered, for RequestGathered
	maxRecords    int            // the maximum number of records in the response, for RequestGathered
	retryAfter    time.Duration  // the time after which to retry, for RequestRefused and RequestOverQuota; 0 means unspecified
	reason        string         // the cause, for logs
}

// PartialView is the input of a PartialPolicy: the state of a scatter-gather
// request.
type PartialView struct {
	elapsed     time.Duration // the time since the caller began to wait
	objective   time.Duration // the latency objective
	remaining   time.Duration // the time until the caller stops waiting; json:"left"
	covered     int           // the number of shards that have responded
	total       int           // the total number of shards
	minCoverage float64       // the minimum fraction of shards that the response may cover
}

// RetryView is the input of a RetryPolicy: the state of a request that a
// server refused.
type RetryView struct {
	refusals    int           // the number of refusals of this shard's request so far
	untriedLeft bool          // whether a server is available that has not been tried; json:"others"
	remaining   time.Duration // the time until the caller stops waiting; json:"left"
	jitter      float64       // a fresh random number, 0 to 1; json:"noise"
}

// ReplicaView is the input of a ReplicaPolicy: the state of one replica.
type ReplicaView struct {
	slots           int     // the number of requests that the server runs concurrently
	inflight        int     // the number of in-flight requests from this node
	queued          float64 // the number of in-flight requests from other nodes, as last reported and decayed
	relativeLatency float64 // the response time relative to the replica's group; json:"slowness"
	sameZone        bool    // whether the replica is in this node's availability zone
	cold            bool    // whether the replica started a short time ago
	draining        bool    // whether the replica is stopping or its announcement was removed; json:"leaving"
	failureRate     float64 // the fraction of recent requests that failed or got no response, 0 to 1; json:"faulty"
	silence         float64 // the time since the last response while requests are in flight, relative to a typical response time
	remaining       float64 // the time left for a timely response, relative to a typical response time; 0 if it is unknown or the request is late
	jitter          float64 // a fresh random number, 0 to 1; json:"noise"

	slowdown    float64       // how long work is expected to take on the server now, relative to its usual time; 0 if no server of the service reports it, and then the fields below are not set
	workLeft    time.Duration // the work left of the requests that the server has, at its usual speed
	busyShare   float64       // the probability that the server has no free slot, 0 to 1
	work        time.Duration // the expected work of the request, at the usual speed
	roundTrip   time.Duration // the round-trip time on the network
	pausedShare float64       // the probability that the server pauses, 0 to 1
	timeLeft    time.Duration // the time left for a timely response; 0 if the request is late
}

// CostKey is what is known of an attempt before it is sent and may predict its work.
type CostKey struct {
	route        string // the route's name
	service      string // the service's name
	organisation string // the caller's organisation; empty for none
	path         string // the path of the request
	size         int    // the size of the request's body, in bytes
}

// Cost is the distribution of the work of a request: the time that it takes on a server of
// usual speed without waiting. It is log-normal.
type Cost struct {
	mean   time.Duration // the mean; 0 if nothing is known
	spread float64       // the standard deviation of the logarithm
}

// QuotaBounds bounds by how much the requests of an organisation may exceed its quota in any
// window, summed over all nodes. Zero values mean the defaults.
type QuotaBounds struct {
	window  time.Duration // the length of the window
	overage float64       // the share of the quota that may be exceeded
	slack   float64       // the number of requests beyond that
}

// AdmissionView is the input of an AdmissionPolicy: a request, the share of the organisation
// that sent it, and the load of the services that it needs. Work is in seconds per second.
type AdmissionView struct {
	rank         int           // the rank of the request; 0 is the highest
	returning    bool          // whether its caller was refused and came back sooner than told
	demand       float64       // the work that the organisation asks for by requests like this one
	fairShare    float64       // the part of that work that finds room
	rankFloor    float64       // the share of the requests of this rank that are admitted in any case, 0 to 1
	excess       float64       // the ratio of the work that all ask for to the work that is admitted
	expectedTime time.Duration // when enough servers are expected to have responded, from now; 0 if it is unknown
	timeLeft     time.Duration // the time left until the deadline
	jitter       float64       // a fresh random number, 0 to 1, for the decision
	spread       float64       // a fresh random number, 0 to 1, for the delay
}

// CapacityView is the input of an AdmissionPolicy on the load of services that share requests.
// Work is in seconds per second.
type CapacityView struct {
	limit    float64       // the work that may be admitted now; infinite without a limit
	offered  float64       // the work that callers ask for
	served   float64       // the work that the servers completed recently for this node
	lateFor  time.Duration // for how long too many services of a route have been late; 0 if they are not
	pressure float64       // the wait at the services, relative to the wait that their routes allow
	interval time.Duration // the time since the last decision
}
