package lagoon

import "time"

// Object is one versioned value of the platform's object API.
type Object struct {
	key     string // the key
	value   []byte // the stored bytes; at most one megabyte
	version uint64 // the version, incremented by each write; 0 means that the object does not exist
}

// Instance is one entry of the platform's instance list, which may be stale.
type Instance struct {
	name        string // the instance name, unique in the deployment
	addr        string // the address and port for peer connections
	zone        string // the availability zone
	startID     uint64 // the start ID, which increases with each start of the instance; json:"start"
	stopPlanned bool   // whether the platform plans to stop the instance; json:"leaving"
}

// Member identifies one run of one node.
type Member struct {
	name      string  // the node name, unique in the deployment
	startID   uint64  // the start ID, which increases with each start of the node; json:"start"
	addr      string  // the address and port of the node
	zone      string  // the availability zone
	frontAddr string  // the address and port for callers; empty when it equals the node's address; json:"front"
	cores     float64 // the number of CPU cores that the node may use; 0 when unknown
}

// Assignment is the assignment of a server to its owner.
type Assignment struct {
	server       string // the server name
	owner        string // the name of the owning node; empty when the server has no owner
	startID      uint64 // the start ID of the owning node; json:"start"
	sinceVersion uint64 // the placement version that assigned this owner; json:"since"
}

// Placement is the agreed assignment of servers to owners. Version n+1 is
// written only after a majority of the members of version n-1 had version n and
// one lease has passed since.
type Placement struct {
	version         uint64       // the version, incremented by each change
	members         []Member     // the nodes that count towards a majority
	previousMembers []Member     // the members of the preceding version; json:"previous"
	assignments     []Assignment // the assignments, one per server, ordered by server name; json:"owners"
}

// ShardSpec declares which group of servers holds a shard.
type ShardSpec struct {
	id    uint32 // the shard ID in the shard map
	group string // the name of the group that holds the shard
}

// ServerSpec declares one server of a service.
type ServerSpec struct {
	name     string // the server name, unique in the deployment
	addr     string // the address and port of the server
	zone     string // the availability zone
	group    string // the group whose shards the server holds
	slots    int    // the number of requests that the server runs concurrently
	maxConns int    // the maximum number of connections that the server accepts; json:"conns"
}

// Service is the declaration of one search service.
type Service struct {
	name       string       // the service name
	version    uint64       // the resource version; 0 before the first acceptance
	mapVersion uint64       // the version of the shard map, incremented by each repartitioning
	shards     []ShardSpec  // the shard map
	servers    []ServerSpec // the servers of the service
}

// Zone is the declaration of one availability zone.
type Zone struct {
	name    string // the zone name
	version uint64 // the resource version; 0 before the first acceptance
	state   string // the state, "in" or "out"
	reason  string // the operator's reason for the state
}

// Rule is the declared policy of one service.
type Rule struct {
	name          string  // the rule name
	version       uint64  // the resource version; 0 before the first acceptance
	service       string  // the name of the service that the rule applies to
	prefer        string  // the preference under time pressure: "tail" for tail latency or "coverage"
	minCoverage   float64 // the minimum fraction of shards in an answer, 0 to 1
	hedgePercent  float64 // the maximum hedged requests, in percent of all requests, 0 to 20
	weight        int     // the importance under overload, 1 to 100; the lowest is shed first
	deadlineMilli int     // the default deadline of a query, in milliseconds
}

// Config is one accepted version of everything that operators declared. A node
// never replaces its configuration by one with a lower revision.
type Config struct {
	revision uint64    // the revision, incremented by each accepted change
	services []Service // the declared services, ordered by name
	zones    []Zone    // the declared zones, ordered by name
	rules    []Rule    // the declared rules, ordered by name
}

// Report is the status that a server reports about itself. It may be stale or
// wrong.
type Report struct {
	startID   uint64     // the server's start ID, different after each start; json:"start"
	snapshots []Snapshot // the snapshots held, ascending
	draining  bool       // whether the server is draining
	inflight  int        // the number of requests running
	cold      bool       // whether the server reports that it is cold
}

// Call is one request to one server.
type Call struct {
	addr     string        // the server's address and port
	service  string        // the service name
	shard    uint32        // the shard to search
	snapshot Snapshot      // the snapshot to search
	body     []byte        // the request body
	timeout  time.Duration // the timeout that the server applies
	maxConns int           // the maximum number of connections that the server accepts; json:"conns"
}

// Reply is a server's response to a Call.
type Reply struct {
	status Status // the status of the call
	body   []byte // the response body, for StatusOK
	report Report // the report sent with the response; its start ID is 0 when there was none
	detail string // the cause of a failure, for logs
}

// Query is one search over all shards of a service.
type Query struct {
	id          string        // the request ID, the key for at-most-once execution
	service     string        // the service name
	body        []byte        // the request body, sent to each server
	timeout     time.Duration // how long the caller waits; 0 means the rule's deadline
	idempotent  bool          // whether the query may be executed more than once
	neverSent   bool          // whether the caller guarantees that it has not sent this ID before; json:"first"
	minCoverage float64       // the minimum fraction of shards in the answer, 0 to 1; 0 means the rule's
}

// Part is the part of an answer that comes from one shard.
type Part struct {
	shard uint32 // the shard
	body  []byte // the server's response
}

// MissingShard is one shard that an answer does not cover.
type MissingShard struct {
	shard  uint32 // the shard
	reason string // the reason why the shard is not covered
}

// Answer is the result of a Query.
type Answer struct {
	id      string  // the request ID
	node    string  // the name of the node that answered
	outcome Outcome // the outcome of the query
	reason  string  // the reason for an outcome other than OutcomeAnswered

	snapshot    Snapshot       // the snapshot that was searched
	totalShards int            // the number of shards in the snapshot's shard map; json:"total"
	parts       []Part         // the parts, one per covered shard
	missing     []MissingShard // the shards that are not covered; json:"gaps"
	hedges      int            // the number of hedged requests sent for the query
	retries     int            // the number of requests retried after a refusal
}

// RampState is the ramp-up state of a server that may be cold.
type RampState struct {
	limit     int // the current limit of concurrent requests
	successes int // the number of successes at the limit since it last changed; json:"proven"
	ceiling   int // the limit at which the server last showed that it is cold; 0 when it never did
	backoff   int // the number of successes needed before the ceiling is tried again; json:"holdoff"
	resets    int // the number of times that the limit was reset since the server's start; json:"relapses"
}

// Candidate is a server that holds a shard, as input of a Picker.
type Candidate struct {
	index    int           // the caller's index of the server; json:"row"
	limit    int           // the number of concurrent requests that the owner allows
	load     int           // the number of requests known to be queued or running
	latency  time.Duration // the recent mean latency of the server
	sameZone bool          // whether the owner is in this node's availability zone
}

// HedgeView is the input of a HedgePolicy: the state of a shard request and of
// its service.
type HedgeView struct {
	elapsed        time.Duration // the time since the request was sent
	typicalLatency time.Duration // a high quantile of the service's recent request durations; json:"typical"
	remaining      time.Duration // the time until the deadline; json:"left"
	tokens         float64       // the tokens left in the hedge budget
	attempts       int           // the number of requests for this shard that count towards the limit on hedges; json:"tries"
	overloaded     bool          // whether the service's servers are refusing requests; json:"overload"
}

// Decision is one routing or placement decision, for a Journal.
type Decision struct {
	time      time.Time // the wall time; json:"at"
	node      string    // the name of the node that decided
	kind      string    // the kind of decision, listed in docs/operate/actions.md
	subject   string    // the service, server, zone, node or object that the decision is about
	requestID string    // the request ID, for decisions about a request; json:"query"
	reason    string    // the decision and its reason
}

// Change is a change to the configuration, requested by an operator. The kind
// says which of service, zone and rule is set.
type Change struct {
	kind      string  // the kind of resource: "service", "zone" or "rule"
	remove    bool    // whether to remove the resource
	ifVersion uint64  // the expected resource version; 0 for a new resource
	service   Service // the declaration, for kind "service"
	zone      Zone    // the declaration, for kind "zone"
	rule      Rule    // the declaration, for kind "rule"
}

// ChangeResult is the result of a Change.
type ChangeResult struct {
	revision uint64        // the configuration revision that contains the change
	version  uint64        // the current resource version, also after a version conflict
	inForce  bool          // whether each node either has the change or no longer acts on an older configuration
	duration time.Duration // the time from acceptance until the change was in force; json:"took"
}
