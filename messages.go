package lagoon

import "time"

// ServerStatus is the status of a server, sent by its owner to the other nodes.
type ServerStatus struct {
	server           string        // the server name
	up               bool          // whether the server responds
	draining         bool          // whether the server is draining
	ejected          bool          // whether the owner ejected the server as an outlier
	startID          uint64        // the server's start ID; json:"start"
	snapshots        []Snapshot    // the snapshots held, ascending
	limit            int           // the number of concurrent requests that the owner allows
	load             int           // the number of requests queued or running at the owner
	latency          time.Duration // the recent mean latency
	placementVersion uint64        // the sender's placement version when the status was reported; json:"placement"
	released         bool          // whether the sender no longer owns the server and has no requests in flight to it
}

// Heartbeat is the periodic message between two nodes. It echoes the timestamp
// of the last heartbeat received from the recipient, which proves to the
// recipient that the sender received that heartbeat.
type Heartbeat struct {
	from             Member         // the sender
	sent             time.Duration  // the send time on the sender's monotonic clock
	echo             time.Duration  // the send time of the last heartbeat received from the recipient
	echoStartID      uint64         // the recipient's start ID in that heartbeat; json:"echo_start"
	placementVersion uint64         // the sender's placement version; json:"placement"
	configRevision   uint64         // the sender's configuration revision; json:"config"
	stopping         bool           // whether the sender is stopping; json:"leaving"
	ready            bool           // whether the sender accepts queries
	statuses         []ServerStatus // the changed statuses of servers that the sender owns
	hub              bool           // whether the sender watches the registry for other nodes
	topics           []TopicState   // the state of the sender's registry topics, from a hub; json:"marks"
	requestRate      float64        // the sender's request rate, per second; json:"rate"
	totalRequestRate float64        // the request rate of all nodes, per second, from a hub; json:"total"
	callsFailingFor  time.Duration  // the time since the registry stopped responding to the sender; 0 while it responds; json:"unreached"
	needsUpdate      bool           // whether the sender missed a change and cannot read the registry; json:"lacking"
	cutOffNodes      []string       // the nodes that cannot reach the registry, from a hub; json:"blind"
	rosterVersion    uint64         // the version of the roster, the nodes that take requests, from a hub; json:"roster"
	rosterBase       uint64         // the roster version that the changes apply to; 0 when the whole roster follows; json:"base"
	hasRoster        bool           // whether the message has roster changes or the whole roster; json:"listing"
	rosterAdded      []string       // the names of nodes added to the roster, or of all nodes in it; json:"live"
	rosterRemoved    []string       // the names of nodes removed from the roster; json:"gone"
	rosterAcked      uint64         // the version of the recipient's roster that the sender has; json:"holds"
	granter          string         // the name of the node that grants quota tokens to the sender, itself if no hub does; empty from earlier releases
	trafficShare     float64        // the sender's share of all request traffic, as a hub last assigned it; 0 if none did
	assignedShare    float64        // the recipient's share of all request traffic, from a hub; 0 if it is not known

	rolloutReports []RolloutReport // what the sender saw of both versions in the open roll-outs; json:"reports"
	rolloutGrants  []RolloutGrant  // the recipient's permissions in the open roll-outs, from the decider; json:"grants"
	limits         []ServerLimit   // the limits of servers that changed lately, and from a hub to a node that has just started, all limits
	cases          []RequestCase   // the requests under which servers ended lately, and from a hub to a node that has just started, all of them
}

// ServerEnd is the end of a server run that had a request. Its times are on the clock of the node
// that holds it.
type ServerEnd struct {
	service      string        // the service of the server
	server       string        // the server ID
	startedMilli int64         // the start time of the server's run, in Unix milliseconds; json:"started"
	sentAt       time.Duration // when the request was sent to the server; json:"sent"
	endedAt      time.Duration // when the server was found to have ended; json:"ended"
	shared       bool          // whether the server had another suspect as well
}

// RequestCase is what the sender knows of a request under which servers ended.
type RequestCase struct {
	fingerprint string        // the fingerprint of the request
	now         time.Duration // the time on the clock of the sender, to which the times of the ends refer
	ends        []ServerEnd   // the ends of servers that count against the request
}

// CaseReport carries requests under which servers ended between the traffic and the control of one
// node.
type CaseReport struct {
	cases []RequestCase // the requests with news
}

// ServerLimit is what a server said of the requests that it takes from all nodes together.
type ServerLimit struct {
	server       string        // the server ID
	startedMilli int64         // the start time of the server's run, in Unix milliseconds; json:"started"
	limited      bool          // whether the server has a limit
	perSecond    float64       // the limit, in requests per second; json:"rate"
	age          time.Duration // the time since the server said so
}

// LimitReport carries limits between the traffic and the control of one node.
type LimitReport struct {
	limits []ServerLimit // the limits that changed
}

// RolloutCounts counts the responses of one route and service in a roll-out since the sender
// learned of the order. A bad response is a failure or several times slower than usual.
type RolloutCounts struct {
	route     string // the route name
	old       uint64 // the responses of the old versions
	oldBad    uint64 // the bad ones of these
	target    uint64 // the responses of the target version
	targetBad uint64 // the bad ones of these
}

// RolloutReport is what one node saw of a roll-out.
type RolloutReport struct {
	service       string          // the service name
	targetVersion string          // the target version; json:"target"
	revision      uint64          // the revision of the order that the sender has
	age           time.Duration   // the time since the sender learned of the order
	counts        []RolloutCounts // the responses by route
	switched      bool            // whether the sender sends nothing to the old versions and has no such request in flight
	rejected      bool            // whether a decider told the sender that the target version is bad
}

// RolloutGrant permits a node to use the versions of a service for a time that counts from
// the heartbeat that it answers.
type RolloutGrant struct {
	service       string        // the service name
	targetVersion string        // the target version; json:"target"
	revision      uint64        // the revision of the order that the decider has
	echo          time.Duration // the send time of the heartbeat with the report that the grant answers, on the recipient's clock
	share         float64       // the share of the attempts that go to the target version, 0 to 1
	shift         bool          // whether all attempts go to the target version
	rejected      bool          // whether the target version is bad and must not be used
	targetFor     time.Duration // how long the target version may be used; 0 for not at all
	oldFor        time.Duration // how long the old versions may be used
	badLimit      uint64        // the number of bad responses after the report at which the node stops using the target; 0 for no limit
}

// TopicState is a hub's state of one registry topic.
type TopicState struct {
	topic    Topic         // the topic
	age      time.Duration // the time since the registry confirmed the state
	revision uint64        // the revision that the hub has
	changed  uint64        // the revision since which nothing changed, up to the hub's revision
}

// RegistryPush forwards a registry update from a hub to other nodes.
type RegistryPush struct {
	from   string         // the name of the hub
	update RegistryUpdate // the update; json:"news"

	lacksOrganisations bool // whether the sender's release does not know organisations, so that they are missing in a catalog; set by the decoder
}

// ConfigPush sends a whole configuration to a node that has an older one.
type ConfigPush struct {
	config Config // the configuration
}

// PlacementPush sends a placement to a node that has an older one.
type PlacementPush struct {
	placement Placement // the placement
}

// ShardRequest is one request of a query to one server, for one shard.
type ShardRequest struct {
	id     uint64 // the ID of the shard request at the sender
	server string // the server name
	shard  uint32 // the shard to search
	hedge  bool   // whether this is a second copy of a shard request that is still running
}

// ShardRequestBatch contains the shard requests of one query to the servers of
// one owner.
type ShardRequestBatch struct {
	from       string         // the name of the sender
	startID    uint64         // the sender's start ID; json:"start"
	lane       int            // the lane of the sender that runs the query
	service    string         // the service name
	snapshot   Snapshot       // the snapshot to search
	body       []byte         // the request body
	timeout    time.Duration  // the time left until the query's deadline
	idempotent bool           // whether a shard request may be executed more than once
	weight     int            // the importance of the service under overload
	requests   []ShardRequest // the shard requests; json:"legs"
}

// ShardResponse is the result of one shard request.
type ShardResponse struct {
	id          uint64        // the ID of the shard request at its sender
	status      Status        // the status of the shard request
	body        []byte        // the server's response, for StatusOK
	detail      string        // the cause of a failure, for logs
	limit       int           // the number of concurrent requests that the owner allows
	load        int           // the number of requests queued or running at the owner
	duration    time.Duration // the server's response time; json:"took"
	meanLatency time.Duration // the server's recent mean latency, as measured by the owner; json:"mean"
}

// ShardResponseBatch contains shard responses for the node that sent the
// requests.
type ShardResponseBatch struct {
	lane      int             // the lane of the recipient that sent the requests
	startID   uint64          // the recipient's start ID; json:"start"
	responses []ShardResponse // the responses; json:"results"
}

// ShardRequestCancel cancels shard requests whose responses are not needed any
// more.
type ShardRequestCancel struct {
	from    string   // the name of the sender
	startID uint64   // the sender's start ID; json:"start"
	ids     []uint64 // the IDs of the shard requests at the sender
	lane    int      // the lane of the sender that sent the requests
	hasLane bool     // whether the lane is set; nodes of earlier releases do not set it
}

// ClaimRequest asks the keeper of a bucket, the node that writes it, to record a
// claim on a request ID, or to void the claim of a request that was not sent.
type ClaimRequest struct {
	from      string // the name of the sender
	lane      int    // the lane of the sender
	queryID   uint64 // the sender's ID of the query; json:"query"
	requestID string // the request ID; json:"request"
	attempt   uint64 // the ID of the attempt; retries of the message have the same
	void      bool   // whether to void this attempt's claim
}

// ClaimResponse is the response to a ClaimRequest.
type ClaimResponse struct {
	lane    int          // the lane of the recipient
	queryID uint64       // the recipient's ID of the query; json:"query"
	attempt uint64       // the ID of the attempt
	outcome ClaimOutcome // the outcome of the claim
	detail  string       // the holder of the claim or the cause of a failure, for logs
}

// Claim is one recorded claim on a request ID.
type Claim struct {
	requestID string // the request ID; json:"request"
	attempt   uint64 // the ID of the attempt that holds the claim
	holder    string // the name of the node that holds the claim
	void      bool   // whether the claim is void because the holder never sent the request
}

// ClaimBucket is the platform object that stores the claims of one bucket. The
// horizon never decreases. Every ID at or below it is treated as possibly
// claimed.
type ClaimBucket struct {
	horizonMilli int64   // the creation time at or before which IDs are expired, in Unix milliseconds
	claims       []Claim // the claims that have not expired
}

// QuotaWant is the number of tokens that a node needs for one organisation. The quota is the
// one that the sender knows, as the recipient may have another version of the catalog.
type QuotaWant struct {
	organisation  string  // the organisation name
	tokens        int     // the number of tokens wanted
	ratePerSecond float64 // the organisation's quota, in requests per second; json:"rate"
	burst         float64 // the organisation's burst, in requests
}

// QuotaRequest asks a granter for quota tokens.
type QuotaRequest struct {
	from  string        // the name of the sender
	sent  time.Duration // the send time on the sender's monotonic clock
	wants []QuotaWant   // the tokens wanted, for each organisation that needs some
}

// QuotaShare is the number of tokens that a granter granted for one organisation.
type QuotaShare struct {
	organisation string        // the organisation name
	tokens       int           // the number of tokens granted
	retryAfter   time.Duration // if fewer tokens than wanted were granted, the time after which there should be more
}

// QuotaGrant answers a QuotaRequest. The tokens are valid from the time at which the request was
// sent, on the recipient's clock, so that a late answer does not extend their use.
type QuotaGrant struct {
	from     string        // the name of the granter
	sent     time.Duration // the send time of the request
	validFor time.Duration // the time after which the tokens expire, counted from the send time of the request; json:"valid"
	shares   []QuotaShare  // the tokens granted, for each organisation of the request
}
