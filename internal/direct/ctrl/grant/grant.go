// Package grant grants quota tokens to nodes, and asks for those that this node needs.
//
// # Usage
//
//	systems = append(systems, grant.System{})
//
// A quota holds over all nodes together. Each node names one hub as its granter and asks it for
// tokens. A granter refills one bucket for each organisation at the organisation's rate times
// the granter's weight, the share of all request traffic whose nodes name it. The weights of all
// granters add up to at most 1, so the quota also holds while nodes do not hear each other.
package grant

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/beats"
	"github.com/lagoontrail/lagoon/internal/direct/state"
)

// Times of the choice of a granter.
const (
	answerTimeout  = 100 * time.Millisecond // without an answer, until another granter is chosen
	unsentTimeout  = 50 * time.Millisecond  // the same after a request that could not be sent, as the granter may have ended
	avoidTime      = 2 * time.Second        // for which a granter that did not answer is not chosen
	chooseInterval = 50 * time.Millisecond  // between two choices if nothing has happened
	heardTimeout   = 800 * time.Millisecond // without a message, until a node no longer counts towards its granter's weight; heartbeats come every 500 ms
	aloneAfter     = 900 * time.Millisecond // without an answer, until a node that still hears hubs grants tokens to itself; by then its granter no longer counts it
	deniedRetry    = 300 * time.Millisecond // for callers, while the node has no granter
	unusedAfter    = 10 * time.Second       // without organisations and requests for tokens, until weights are no longer computed; spans nodes that learn of a catalog later
)

// System grants and asks for tokens.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "grant" }

// Run handles the answers and requests received in this tick.
func (System) Run(s *state.State, now time.Duration) {
	if unused(s, now) {
		suspend(s, now)
		return
	}
	receiveShares(s, now)
	advance(s, now)
	for _, m := range s.QuotaGrants() {
		receive(s, m, now)
	}
	if l := s.Ledger(); l.UnansweredAt() > 0 && now-l.UnansweredAt() >= answerTimeout {
		avoid(s, l.UnansweredAt(), now)
		if m := l.Unanswered(); m != nil && l.Granter() != "" {
			ask(s, m, now)
		}
	}
	if s.Ledger().Granter() == "" || now-s.Ledger().ChosenAt() >= chooseInterval {
		choose(s, now)
	}
	for _, m := range s.QuotaRequests() {
		if m.From() == s.Self().Name() {
			ask(s, m, now)
		} else if row, ok := s.Peers().Find(m.From()); ok {
			if row.Granter() != s.Self().Name() {
				row.SetGranter(s.Self().Name())
				s.Ledger().SetWeightDue(true)
			}
			row.SetAskedAt(now)
			advance(s, now)
			s.Link().Send(row.Member().Addr(), serve(s, m)) // the node asks again if the answer is lost
		}
	}
}

// unused reports whether there are no quotas: the catalog declares no organisations, and no node
// with another catalog asked for tokens lately.
func unused(s *state.State, now time.Duration) bool {
	l := s.Ledger()
	if catalog := s.Catalog(); len(catalog.Organisations()) > 0 || len(s.QuotaRequests()) > 0 {
		l.SetUsedAt(now)
	}
	return l.UsedAt() == 0 || now-l.UsedAt() >= unusedAfter
}

// suspend forgets the weight and the buckets. The granter is still named in heartbeats, since hubs
// that name none count as ones of the earlier release.
func suspend(s *state.State, now time.Duration) {
	l := s.Ledger()
	reset(s)
	l.SetHubSince(0)
	l.SetClockAt(0)
	if l.Granter() == "" || now-l.ChosenAt() >= beats.HeartbeatInterval {
		l.SetChosenAt(now)
		name, _ := first(s, now)
		l.SetGranter(name)
	}
}

// receive passes an answer to traffic.
func receive(s *state.State, m *lagoon.QuotaGrant, now time.Duration) {
	l := s.Ledger()
	l.SetLostAt(0)
	if row, ok := s.Peers().Find(m.From()); ok {
		row.SetAvoidUntil(0) // it answers, though late
	}
	switch {
	case m.From() != l.Granter():
	case m.Sent() < l.AskedAt():
		l.SetUnansweredAt(now) // it answers, and the answer to the last request is due
	default:
		l.SetUnansweredAt(0)
		l.SetUnanswered(nil)
	}
	deliver(s, m)
}

// deliver passes a grant to this node's traffic.
func deliver(s *state.State, m *lagoon.QuotaGrant) {
	if s.DeliverGrant() != nil {
		s.DeliverGrant()(m) // traffic asks again if its mailbox is full
	}
}

// ask passes a request of this node's traffic to the granter. The last one is repeated at the next
// granter if there is no answer. A full queue or a connection that is opened again is no reason to
// leave a granter, so one that cannot be sent counts as nearly overdue only.
func ask(s *state.State, m *lagoon.QuotaRequest, now time.Duration) {
	l := s.Ledger()
	if l.Granter() == s.Self().Name() {
		advance(s, now)
		deliver(s, serve(s, m))
		return
	}
	row, ok := s.Peers().Find(l.Granter())
	if !ok {
		deliver(s, refusal(s, m))
		return
	}
	l.SetAskedAt(m.Sent())
	l.SetUnanswered(m)
	if l.UnansweredAt() == 0 {
		l.SetUnansweredAt(now)
	}
	if !s.Link().Send(row.Member().Addr(), m) {
		l.SetUnansweredAt(min(l.UnansweredAt(), now-answerTimeout+unsentTimeout))
	}
}

// refusal returns the answer of a node that has no granter.
func refusal(s *state.State, m *lagoon.QuotaRequest) *lagoon.QuotaGrant {
	out := newGrant(s, m)
	for _, want := range m.Wants() {
		var share lagoon.QuotaShare
		share.SetOrganisation(want.Organisation())
		share.SetRetryAfter(deniedRetry)
		out.SetShares(append(out.Shares(), share))
	}
	return out
}

// avoid records that the granter did not answer a request, and chooses another one.
func avoid(s *state.State, sentAt, now time.Duration) {
	if row, ok := s.Peers().Find(s.Ledger().Granter()); ok {
		row.SetAvoidUntil(now + avoidTime)
	}
	if s.Ledger().LostAt() == 0 {
		s.Ledger().SetLostAt(sentAt)
	}
	s.Ledger().SetUnansweredAt(0)
	choose(s, now)
}

// choose chooses the granter.
func choose(s *state.State, now time.Duration) {
	l := s.Ledger()
	l.SetChosenAt(now)
	name, heard := first(s, now)
	if name == l.Granter() {
		return
	}
	s.Record("granter", name, fmt.Sprintf("quota tokens are asked of %q instead of %q; hubs heard: %t, a request is unanswered for %s", name, l.Granter(), heard, unanswered(s, now)))
	l.SetGranter(name)
	l.SetAnnouncing(true) // so that two granters do not both count this node
	l.SetUnansweredAt(0)
	l.SetWeightDue(true)
}

// first returns the name of the granter, and whether any hub was heard: the granter is the first hub in an order that all nodes share, of those
// that are heard and did not fail to answer lately. A node that hears no hub names itself. One that
// hears hubs which do not answer has none until its last granter no longer counts it.
func first(s *state.State, now time.Duration) (name string, heard bool) {
	heard, hubs := candidates(s, now)
	lostAt := s.Ledger().LostAt()
	switch {
	case len(hubs) > 0:
		return hubs[0].Name(), heard
	case !heard || (lostAt > 0 && now-lostAt >= aloneAfter):
		return s.Self().Name(), heard
	}
	return "", heard
}

// unanswered returns for how long no granter has answered.
func unanswered(s *state.State, now time.Duration) time.Duration {
	if s.Ledger().LostAt() == 0 {
		return 0
	}
	return now - s.Ledger().LostAt()
}

// candidates returns the hubs that may be the granter, in the common order, and whether any hub
// was heard. Nodes of the earlier release name no granter and grant nothing.
func candidates(s *state.State, now time.Duration) (heard bool, out []lagoon.Member) {
	if s.Hub() {
		heard, out = true, append(out, s.Self())
	}
	for _, row := range beats.LiveHubs(s, now) {
		if row.Stopping() || row.Granter() == "" || now-row.HeartbeatAt() >= beats.HubTimeout {
			continue
		}
		heard = true
		if now >= row.AvoidUntil() {
			out = append(out, row.Member())
		}
	}
	slices.SortFunc(out, func(a, b lagoon.Member) int {
		return cmp.Or(cmp.Compare(b.Cores(), a.Cores()), cmp.Compare(a.Zone(), b.Zone()), cmp.Compare(a.Name(), b.Name()))
	})
	return heard, out
}
