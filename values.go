package lagoon

import "time"

// Object is one versioned value of the platform's object API.
type Object struct {
	key     string // the object's key
	value   []byte // the stored bytes; at most one megabyte
	version uint64 // the version, raised by one with each write; 0 means absent
}

// Instance is one entry of the platform's instance list, which may lag.
type Instance struct {
	name    string // the instance's name, unique in the deployment
	addr    string // the address and port peers connect to
	zone    string // the availability zone
	start   uint64 // the start id, larger after each start of the instance
	leaving bool   // whether the platform plans to stop the instance
}

// Member identifies one run of one node.
type Member struct {
	name  string  // the node's name, unique in the deployment
	start uint64  // the start id, larger after each start of the node
	addr  string  // the address and port of the node
	zone  string  // the availability zone
	front string  // the address and port that callers connect to; empty when it is addr
	cores float64 // the processor cores that the node may use; 0 when it is not known
}

// Assignment says which node owns a server.
type Assignment struct {
	server string // the server's name
	owner  string // the owning node's name; empty when none owns it
	start  uint64 // the owning node's start id
	since  uint64 // the placement version at which this owner was assigned
}

// Placement is the agreed assignment of servers to owners. Invariant: version
// n+1 is written only after a majority of the members of version n knew
// version n and one lease has passed since.
type Placement struct {
	version  uint64       // the version, raised by one with each change
	members  []Member     // the nodes that count towards a majority
	previous []Member     // the members of the version before
	owners   []Assignment // one entry per server, ordered by server name
}

// ShardSpec declares which group of servers holds a shard.
type ShardSpec struct {
	id    uint32 // the shard's id in its shard map
	group string // the name of the group that holds the shard
}

// ServerSpec declares one server of a service.
type ServerSpec struct {
	name  string // the server's name, unique in the deployment
	addr  string // the address and port of the server
	zone  string // the availability zone
	group string // the group whose shards the server holds
	slots int    // requests that the server runs at once
	conns int    // connections that the server accepts
}

// Service is the declaration of one search service.
type Service struct {
	name       string       // the service's name
	version    uint64       // the resource version; 0 before it is first accepted
	mapVersion uint64       // the shard map's version, raised on repartition
	shards     []ShardSpec  // the shard map
	servers    []ServerSpec // the servers of the service
}

// Zone is the declaration of one availability zone.
type Zone struct {
	name    string // the zone's name
	version uint64 // the resource version; 0 before it is first accepted
	state   string // "in" or "out"
	reason  string // the operator's words for the change
}

// Rule is the declared policy of one service.
type Rule struct {
	name          string  // the rule's name
	version       uint64  // the resource version; 0 before it is first accepted
	service       string  // the service the rule is for
	prefer        string  // "tail" or "coverage": what weighs more when time is short
	minCoverage   float64 // the smallest share of shards that may be answered, 0 to 1
	hedgePercent  float64 // extra requests by hedging, in percent of all, 0 to 20
	weight        int     // the importance under overload, 1 to 100; the lowest is shed first
	deadlineMilli int     // the deadline of a query that names none, in milliseconds
}

// Config is the whole accepted configuration. Invariant: a node never replaces
// it by one of a lower revision.
type Config struct {
	revision uint64    // the revision, raised by one with each accepted change
	services []Service // the declared services, ordered by name
	zones    []Zone    // the declared zones, ordered by name
	rules    []Rule    // the declared rules, ordered by name
}

// Report is what a server says of itself. It may lag or mislead.
type Report struct {
	start     uint64     // the server's start id, different after each start
	snapshots []Snapshot // the snapshots held, ascending
	draining  bool       // whether the server is leaving
	inflight  int        // requests running now
	cold      bool       // whether the server says that it is cold
}

// Call is one request to one server.
type Call struct {
	addr     string        // the server's address and port
	service  string        // the service's name
	shard    uint32        // the shard to search
	snapshot Snapshot      // the snapshot to search
	body     []byte        // the request body
	timeout  time.Duration // the time after which the server gives up
	conns    int           // the connections that the server accepts
}

// Reply is a server's answer to a Call.
type Reply struct {
	status Status // how the call ended
	body   []byte // the answer, when the status is StatusOK
	report Report // the report that came with the answer; zero start when none did
	detail string // the cause of a failure, for people
}

// Query is one search over all shards of a service.
type Query struct {
	id          string        // the request id; the key of at-most-once execution
	service     string        // the service's name
	body        []byte        // the request body, handed to each server
	timeout     time.Duration // the time the caller waits; 0 takes the rule's
	idempotent  bool          // whether running it twice is harmless
	first       bool          // whether the caller surely never sent this id before
	minCoverage float64       // the smallest share of shards accepted, 0 to 1; 0 takes the rule's
}

// Part is one shard's share of an answer.
type Part struct {
	shard uint32 // the shard
	body  []byte // the server's answer
}

// Gap is one shard that an answer does not cover.
type Gap struct {
	shard  uint32 // the shard
	reason string // why the shard is not covered
}

// Answer is the outcome of a Query.
type Answer struct {
	id      string  // the request id
	node    string  // the node that answered
	outcome Outcome // how the query ended
	reason  string  // why, when the outcome is not OutcomeAnswered

	snapshot Snapshot // the snapshot the answer is drawn from
	total    int      // shards of that shard map
	parts    []Part   // one part per covered shard
	gaps     []Gap    // one gap per shard not covered
	hedges   int      // extra requests sent for this query
	retries  int      // requests sent again after a refusal
}

// RampState is a server's place on the way from cold to warm.
type RampState struct {
	limit    int // requests allowed at once now
	proven   int // successes at the full limit since the last step
	ceiling  int // the limit that last proved too high; 0 when none did
	holdoff  int // successes still needed before the ceiling is tried again
	relapses int // times the server turned cold since its start
}

// Candidate is a server that could answer for a shard, as a Picker sees it.
type Candidate struct {
	row      int           // the caller's index for the server
	limit    int           // requests the owner allows at once
	load     int           // requests known to be queued or running
	latency  time.Duration // the recent mean latency of the server
	sameZone bool          // whether the owner is in the picking node's zone
}

// HedgeView is what a HedgePolicy knows of a leg and its surroundings.
type HedgeView struct {
	elapsed  time.Duration // time since the leg was sent
	typical  time.Duration // the time within which nearly all recent legs of the service ended
	left     time.Duration // time left until the query's deadline
	tokens   float64       // extra requests the budget still allows
	tries    int           // requests sent for this shard so far
	overload bool          // whether the service's servers refuse work now
}

// Decision is one routing or placement decision, for the journal.
type Decision struct {
	at      time.Time // the wall time
	node    string    // the node that decided
	kind    string    // the kind of decision, listed in docs/operate/actions.md
	subject string    // the service, server, zone, node or object it is about
	query   string    // the request id, for decisions on a query
	reason  string    // what was decided and why
}

// Change is one change to the configuration that an operator asks for. Exactly
// one of service, zone and rule is meant, by kind.
type Change struct {
	kind      string  // "service", "zone" or "rule"
	remove    bool    // whether to remove the resource
	ifVersion uint64  // the resource version that the operator saw; 0 for a new one
	service   Service // the declaration, for kind "service"
	zone      Zone    // the declaration, for kind "zone"
	rule      Rule    // the declaration, for kind "rule"
}

// Accepted is the outcome of a Change.
type Accepted struct {
	revision uint64        // the configuration revision that holds the change
	version  uint64        // the resource's version now, also after a lost race
	inForce  bool          // whether every node has it or has surely stopped acting
	took     time.Duration // the time from acceptance until it was in force
}
