package lagoon

import (
	"context"
	"time"
)

// Clock reads the time. Now is monotonic and starts near zero at process
// start. Wall is the wall time, for log lines and request IDs.
type Clock interface {
	Now() time.Duration
	Wall() time.Time
}

// System is one step of a tick, run over the tables of W. A system has
// settings but no state; all state is in W.
type System[W any] interface {
	Name() string
	Run(w W, now time.Duration)
}

// Store is the platform's object API. Every method returns a wrapped
// ErrUnavailable when the platform did not respond; a Put may have taken
// effect in that case.
type Store interface {
	// Get returns a wrapped ErrNotFound when the key has no object.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes the object if its version is ifVersion, where 0 means that it
	// does not exist. It returns the new version, or a wrapped ErrConflict.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error)
	// Delete removes the object if its version is ifVersion, and returns a
	// wrapped ErrConflict otherwise.
	Delete(ctx context.Context, key string, ifVersion uint64) error
	// List returns the objects whose keys start with prefix.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch blocks until the object has a version later than after, and returns
	// the object. It returns a wrapped ErrNotFound when nothing changed within
	// the platform's long-poll timeout.
	Watch(ctx context.Context, key string, after uint64) (Object, error)
	// Instances returns the instance list, which may be stale.
	Instances(ctx context.Context) ([]Instance, error)
}

// Repository provides typed access to the objects that lagoontrail keeps in a
// Store. Reads return the object's version, which conditional writes need.
// Errors are those of Store. When the response to a Put is lost, the object is
// read back first; ErrUnavailable then means that the Put may have taken effect.
type Repository interface {
	// Config returns a zero Config and version 0 before the first write.
	Config(ctx context.Context) (Config, uint64, error)
	PutConfig(ctx context.Context, c Config, ifVersion uint64) error
	// WatchConfig blocks until there is a version later than after.
	WatchConfig(ctx context.Context, after uint64) (Config, uint64, error)
	// Placement returns a zero Placement and version 0 before the first write.
	Placement(ctx context.Context) (Placement, uint64, error)
	PutPlacement(ctx context.Context, p Placement, ifVersion uint64) error
	// WatchPlacement blocks until there is a version later than after.
	WatchPlacement(ctx context.Context, after uint64) (Placement, uint64, error)
	// Bucket returns an empty bucket and version 0 before the first write.
	Bucket(ctx context.Context, number int) (ClaimBucket, uint64, error)
	// PutBucket returns the new version.
	PutBucket(ctx context.Context, number int, b ClaimBucket, ifVersion uint64) (uint64, error)
	Instances(ctx context.Context) ([]Instance, error)
}

// Upstream sends requests to servers. Send blocks until the call ends and
// returns every failure in the Reply's status.
type Upstream interface {
	Send(ctx context.Context, c Call) Reply
	// Probe reads a server's report without sending it work.
	Probe(ctx context.Context, addr string) (Report, error)
}

// Message is a message between nodes: a pointer to Heartbeat, ConfigPush,
// PlacementPush, ShardRequestBatch, ShardResponseBatch, ShardRequestCancel,
// ClaimRequest, ClaimResponse, RegistryPush, QuotaRequest or QuotaGrant.
type Message interface{}

// PeerLink sends messages to other nodes. Send queues the message. It returns
// false when the message was not sent, because there is no connection or the
// queue is full.
type PeerLink interface {
	Send(addr string, m Message) bool
}

// Picker selects one of several candidates. It returns the index of the
// candidate, or -1 when there is none. seed is a fresh random number.
type Picker interface {
	Pick(candidates []Candidate, seed uint64) int
}

// HedgePolicy decides whether to send a second copy of a request that is still
// running. It returns how long to wait before the next decision; 0 means that
// there is none.
type HedgePolicy interface {
	Hedge(v HedgeView) (now bool, wait time.Duration)
}

// RampPolicy ramps up the limit of concurrent requests to a server that may be
// cold (slow start).
type RampPolicy interface {
	// Start returns the state of a server that has just started.
	Start(slots int) RampState
	// Observe returns the state after one more finished request.
	Observe(s RampState, sample Sample, slots int) RampState
}

// FrontEnd accepts requests from callers and passes them to a Handler until
// ctx is done.
type FrontEnd interface {
	Serve(ctx context.Context) error
}

// Handler answers queries. It does not depend on their encoding.
type Handler interface {
	Query(ctx context.Context, q Query) Answer
}

// Journal logs decisions. Record never blocks; it drops and counts decisions
// that it cannot buffer.
type Journal interface {
	Record(d Decision)
}

// Registry stores the catalog and the announcements of servers and nodes.
type Registry interface {
	// Read returns the full content of a topic.
	Read(ctx context.Context, topic Topic) (RegistryUpdate, error)
	// Watch returns the changes to a topic after a revision, or an update
	// without content when nothing changed within wait. It returns a wrapped
	// ErrCompacted when the registry no longer has the changes.
	Watch(ctx context.Context, topic Topic, after uint64, wait time.Duration) (RegistryUpdate, error)
	// Announce registers this node.
	Announce(ctx context.Context, self Member) error
}

// RegistryWriter writes what became of a roll-out.
type RegistryWriter interface {
	// WriteRollout writes the state of an order if the object still has the order's
	// revision, and returns a wrapped ErrConflict if it has not. When the reply is
	// lost, the object is read back; ErrUnavailable then means that the write may still
	// take effect. mayWrite is called right before the bytes are sent; the write is
	// abandoned if it returns an error.
	WriteRollout(ctx context.Context, order Rollout, state RolloutState, mayWrite func() error) error
}

// Transport sends attempts to servers. Do blocks until the attempt ends and
// returns every failure in the AttemptResult's status. It never resends an
// attempt.
type Transport interface {
	Do(ctx context.Context, a Attempt) AttemptResult
}

// Permission decides right before the bytes of an attempt are written whether it may still be
// sent. MaySend returns an error that tells why not. It is called on any goroutine.
type Permission interface {
	MaySend(a Attempt) error
}

// StampedReply is a server's response with a stamp that the server gave to it alone. Stamp
// returns an empty string if the response does not have exactly one.
type StampedReply interface {
	Stamp() string
}

// Router routes requests. It does not depend on their encoding. The request is
// cancelled when ctx is done.
type Router interface {
	Route(ctx context.Context, r Request) Response
}

// PartialPolicy decides when to respond without all shards. It returns how
// long to wait before the next decision; 0 means until the next shard responds.
type PartialPolicy interface {
	Respond(v PartialView) (now bool, wait time.Duration)
}

// RetryPolicy decides whether to retry a request that a server refused, on
// another server or on the same one. It returns the delay before the retry, and
// false for no retry.
type RetryPolicy interface {
	Retry(v RetryView) (wait time.Duration, ok bool)
}

// ReplicaPolicy scores the replicas for the next attempt. The replica with the
// lowest cost is selected.
type ReplicaPolicy interface {
	Cost(v ReplicaView) float64
	// Delay returns the expected response time of the replica, relative to a
	// typical response time.
	Delay(v ReplicaView) float64
}

// CostModel learns how much work requests are from the attempts that ended. It has a limited
// number of keys and is used on one goroutine.
type CostModel interface {
	// Cost returns the distribution of the work of a request.
	Cost(key CostKey, now time.Duration) Cost
	// Observe adds the work of an attempt. If the attempt was cancelled, work is what was done of
	// it until then, and complete is false.
	Observe(key CostKey, work time.Duration, complete bool, now time.Duration)
}

// AdmissionPolicy decides under overload which requests are admitted.
type AdmissionPolicy interface {
	// Admit reports whether a request is admitted, and otherwise how long its caller should
	// wait.
	Admit(v AdmissionView) (ok bool, retryAfter time.Duration)
	// Limit returns the work to admit, in seconds per second; infinite for no limit.
	Limit(v CapacityView) float64
}

// Fingerprinter is a request as decoded by a front end, if it can tell what it asks of a server.
type Fingerprinter interface {
	// Fingerprint returns the same text for all requests that ask the same of a server, whatever
	// their IDs and connections, and another text for any other request.
	Fingerprint() string
}
