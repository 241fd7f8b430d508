// Package state holds the control tables of a node that sends requests to
// servers itself, and the loop that runs the control systems over them.
//
// # Usage
//
//	s, stop := state.New(mailbox)
//	defer stop()                 // cancels registry calls and waits for them
//	s.SetSelf(member)            // and the other dependencies
//	s.SetSystems(ctrl.Systems())
//	err := s.Run(ctx)
//
// One goroutine owns the tables. It runs a tick every TickInterval and whenever a
// message arrives.
package state

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/bucket"
	"github.com/lagoontrail/lagoon/internal/direct/cases"
	"github.com/lagoontrail/lagoon/internal/direct/fetch"
	"github.com/lagoontrail/lagoon/internal/direct/former"
	"github.com/lagoontrail/lagoon/internal/direct/ledger"
	"github.com/lagoontrail/lagoon/internal/direct/limits"
	"github.com/lagoontrail/lagoon/internal/direct/orders"
	"github.com/lagoontrail/lagoon/internal/direct/peers"
	"github.com/lagoontrail/lagoon/internal/direct/roster"
	"github.com/lagoontrail/lagoon/internal/direct/server"
	"github.com/lagoontrail/lagoon/internal/direct/tally"
	"github.com/lagoontrail/lagoon/internal/direct/topics"
	"github.com/lagoontrail/lagoon/internal/direct/view"
	"github.com/lagoontrail/lagoon/internal/mbox"
	"github.com/lagoontrail/lagoon/internal/rows"
)

//go:generate go run ../../accgen -dir . -rows

// TickInterval is the longest time between two ticks. It bounds how late an expired
// server or a failed node leaves the published view.
const TickInterval = 100 * time.Millisecond

// State owns the control tables of one node.
type State struct {
	self              lagoon.Member                                                                           // this node
	clock             lagoon.Clock                                                                            // the clock
	link              lagoon.PeerLink                                                                         // the link that sends messages to other nodes
	journal           lagoon.Journal                                                                          // the journal of decisions
	publishedView     *atomic.Pointer[view.View]                                                              // the pointer through which control publishes the view
	systems           []lagoon.System[*State]                                                                 // the systems, in execution order
	catalog           lagoon.Catalog                                                                          // the catalog in use
	catalogKnown      bool                                                                                    // whether a catalog has been received
	ready             bool                                                                                    // whether the node has received what it needs to serve requests
	listsKnownAt      time.Duration                                                                           // when both the catalog and the list of servers were first known; 0 before
	serversKnown      bool                                                                                    // whether the list of servers has been received
	registry          lagoon.Registry                                                                         // the registry of the catalog, servers and nodes
	hubWait           time.Duration                                                                           // how long after its start the node waits for a hub before it reads all topics itself
	startedAt         time.Duration                                                                           // when the node started
	runner            func(topic lagoon.Topic, call func(ctx context.Context) (lagoon.RegistryUpdate, error)) // the function that runs registry calls; nil runs each on its own goroutine
	registryReachable bool                                                                                    // whether the registry responds, by this node's last call or the report of a hub
	requestCount      *atomic.Int64                                                                           // the number of requests that this node has received
	lastRequestCount  int64                                                                                   // the value of RequestCount when the request rate was last updated
	requestRate       float64                                                                                 // the requests per second that this node receives
	shareDivisor      float64                                                                                 // the divisor of the servers' limits that gives this node's share, as last published
	coldDivisor       float64                                                                                 // the divisor of the rate of a cold server that gives this node's share, as last published
	era               uint64                                                                                  // the latest era of the registry's revisions that this node knows of
	restoredAt        time.Duration                                                                           // when this node learned that the registry was restored from a copy; 0 for never
	hub               bool                                                                                    // whether this node watches the registry on behalf of others
	callsFailingSince time.Duration                                                                           // since when this node's registry calls have failed; 0 while they succeed
	rosterKnown       bool                                                                                    // whether a hub has listed the live nodes, or would have done so by now
	membersReadAt     time.Duration                                                                           // when the full list of members was first received; 0 before
	electedAt         time.Duration                                                                           // when the hubs were last elected
	callSucceededAt   time.Duration                                                                           // when one of this node's registry calls last succeeded; 0 for never
	lastCallFailedAt  time.Duration                                                                           // when one of this node's registry calls last failed
	announceWait      time.Duration                                                                           // how long after its start the node waits for other nodes' announcements
	drainTime         time.Duration                                                                           // for which a server serves after the registry accepted that it leaves; 0 means the default
	revokeTime        time.Duration                                                                           // within which a key that was removed from the catalog must be refused; 0 for no bound
	applyTime         time.Duration                                                                           // within which a change accepted by the registry must be in force; 0 means the default
	zonesOut          map[string]bool                                                                         // the availability zones taken out of service
	announcedEra      uint64                                                                                  // the latest era of the registry in which this node announced itself again; 0 for none
	newsFrom          string                                                                                  // the node that read the update which is applied now
	zonesKept         map[string]bool                                                                         // the availability zones of these that the registry does not list since it was restored
	stopping          bool                                                                                    // whether the node is stopping
	refuseAt          time.Duration                                                                           // from when new requests are refused because the node is stopping; 0 if it is not
	stopAt            time.Duration                                                                           // when the requests in progress end because the node is stopping; 0 if it is not
	tickedAt          *atomic.Int64                                                                           // when the last tick began, in nanoseconds of the clock; nil if nobody asks
	viewStale         bool                                                                                    // whether the published view is out of date
	waitingRevision   uint64                                                                                  // the lowest revision of the announcements that the published view leaves out until the orders are known up to them; 0 if none
	heartbeatsSentAt  time.Duration                                                                           // when heartbeats were last sent
	results           []fetch.Result                                                                          // the results of registry calls received in this tick
	pushes            []*lagoon.RegistryPush                                                                  // the updates that hubs pushed, received in this tick
	updates           []lagoon.RegistryUpdate                                                                 // the updates read from the registry in this tick
	heartbeats        []*lagoon.Heartbeat                                                                     // the heartbeats received in this tick
	quotaRequests     []*lagoon.QuotaRequest                                                                  // the requests for quota tokens received in this tick, of other nodes and of this node's traffic
	quotaGrants       []*lagoon.QuotaGrant                                                                    // the grants of quota tokens received in this tick
	deliverGrant      func(m any) bool                                                                        // the function that passes a grant of quota tokens to this node's traffic; nil if nobody needs it
	quotaBounds       lagoon.QuotaBounds                                                                      // the bounds on the quotas of organisations
	limitReports      []*lagoon.LimitReport                                                                   // what this node's traffic learned of the limits of servers, received in this tick
	deliverLimits     func(m any) bool                                                                        // the function that passes the limits of servers to this node's traffic; nil if nobody needs them
	caseReports       []*lagoon.CaseReport                                                                    // what this node's traffic learned of requests under which servers ended, received in this tick
	deliverCases      func(m any) bool                                                                        // the function that passes such requests to this node's traffic; nil if nobody needs them
	warningDue        bool                                                                                    // whether other nodes are to be told of such requests before the next regular heartbeats
	warnedAt          time.Duration                                                                           // when other nodes were last told so
	heartbeatsDue     bool                                                                                    // whether heartbeats are to be sent in this tick, in addition to the regular ones
	exposureShare     float64                                                                                 // the share of a service's requests that an unproven version may get
	rollbackTime      time.Duration                                                                           // after the 50th bad response of a version within which requests to it must end
	registryWriter    lagoon.RegistryWriter                                                                   // what writes the states of roll-outs; nil if the deployment has none
	writeRunner       func(write func(ctx context.Context) error, done func(s *State, err error))             // the function that runs writes; nil runs each on its own goroutine
	tally             *tally.Tally                                                                            // the responses by version in the open roll-outs; nil if the deployment has none

	mailbox *mbox.Mailbox
	servers rows.Table[server.Row]
	peers   rows.Table[peers.Row]
	topics  rows.Table[topics.Row]
	orders  rows.Table[orders.Row]
	roster  roster.Roster
	ledger  ledger.Row
	buckets rows.Table[bucket.Row]
	limits  rows.Table[limits.Row]
	cases   rows.Table[cases.Row]
	former  rows.Table[former.Row]
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// New returns a State that receives messages through mailbox. The cleanup
// function cancels pending registry calls and waits for them; call it after Run
// has returned.
func New(mailbox *mbox.Mailbox) (*State, func()) {
	s := &State{mailbox: mailbox}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for _, topic := range lagoon.Topics {
		s.topics.Ensure(topic.String()).SetTopic(topic)
	}
	return s, func() {
		s.cancel()
		s.running.Wait()
	}
}

// Topics returns the table of topics.
func (s *State) Topics() *rows.Table[topics.Row] { return &s.topics }

// Call runs a registry call on another goroutine and posts its fetch.Result to
// the mailbox.
func (s *State) Call(topic lagoon.Topic, call func(ctx context.Context) (lagoon.RegistryUpdate, error)) {
	if s.runner != nil {
		s.runner(topic, call)
		return
	}
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		result := fetch.Result{}
		result.SetTopic(topic)
		update, err := call(s.ctx)
		result.SetUpdate(update)
		result.SetErr(err)
		_ = s.mailbox.Post(s.ctx, result) // fails only after the control loop has stopped
	}()
}

// EnableRollouts adds the topic of roll-outs, which other deployments do not call the registry
// for.
func (s *State) EnableRollouts() {
	s.topics.Ensure(lagoon.TopicRollouts.String()).SetTopic(lagoon.TopicRollouts)
}

// Rollouts returns the topic of roll-outs, or false if the deployment has none.
func (s *State) Rollouts() (*topics.Row, bool) {
	return s.topics.Find(lagoon.TopicRollouts.String())
}

// Orders returns the table of orders to roll out versions.
func (s *State) Orders() *rows.Table[orders.Row] { return &s.orders }

// Write runs a write to the registry on another goroutine, and done in a later tick.
func (s *State) Write(write func(ctx context.Context) error, done func(s *State, err error)) {
	if s.writeRunner != nil {
		s.writeRunner(write, done)
		return
	}
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		err := write(s.ctx)
		_ = s.mailbox.Post(s.ctx, func(s *State) { done(s, err) }) // fails only after the control loop has stopped
	}()
}

// Cases returns the table of requests under which servers ended.
func (s *State) Cases() *rows.Table[cases.Row] { return &s.cases }

// Servers returns the table of announced servers.
func (s *State) Servers() *rows.Table[server.Row] { return &s.servers }

// Roster returns the list of live nodes that this node sends as a hub.
func (s *State) Roster() *roster.Roster { return &s.roster }

// Peers returns the table of other nodes.
func (s *State) Peers() *rows.Table[peers.Row] { return &s.peers }

// Ledger returns the state of this node as a granter of quota tokens, and its choice of one.
func (s *State) Ledger() *ledger.Row { return &s.ledger }

// Buckets returns the table of the token buckets that this node keeps as a granter, by the name
// of the organisation.
func (s *State) Buckets() *rows.Table[bucket.Row] { return &s.buckets }

// Limits returns the table of limits that servers named for all nodes together.
func (s *State) Limits() *rows.Table[limits.Row] { return &s.limits }

// Former returns the table of servers that have left lately.
func (s *State) Former() *rows.Table[former.Row] { return &s.former }

// Run runs ticks until ctx is done.
func (s *State) Run(ctx context.Context) error {
	var items []any
	for ctx.Err() == nil {
		items = s.mailbox.Wait(ctx, TickInterval, items[:0])
		s.Tick(items)
	}
	return ctx.Err()
}

// Tick groups the received messages by type, calls those that are functions, and then
// runs each system once.
func (s *State) Tick(items []any) {
	for _, m := range items {
		switch m := m.(type) {
		case fetch.Result:
			s.results = append(s.results, m)
		case *lagoon.RegistryPush:
			s.pushes = append(s.pushes, m)
		case *lagoon.Heartbeat:
			s.heartbeats = append(s.heartbeats, m)
		case *lagoon.QuotaRequest:
			s.quotaRequests = append(s.quotaRequests, m)
		case *lagoon.QuotaGrant:
			s.quotaGrants = append(s.quotaGrants, m)
		case *lagoon.LimitReport:
			s.limitReports = append(s.limitReports, m)
		case *lagoon.CaseReport:
			s.caseReports = append(s.caseReports, m)
		case func(*State):
			m(s)
		}
	}
	now := s.clock.Now()
	for _, system := range s.systems {
		system.Run(s, now)
	}
	if s.tickedAt != nil {
		s.tickedAt.Store(int64(now))
	}
	s.results, s.pushes, s.updates, s.heartbeats = nil, nil, nil, nil
	s.quotaRequests, s.quotaGrants, s.limitReports, s.caseReports = nil, nil, nil, nil
}

// Record writes a decision to the journal.
func (s *State) Record(kind, subject, reason string) {
	if s.journal == nil {
		return
	}
	var decision lagoon.Decision
	decision.SetTime(s.clock.Wall())
	decision.SetNode(s.self.Name())
	decision.SetKind(kind)
	decision.SetSubject(subject)
	decision.SetReason(reason)
	s.journal.Record(decision)
}
