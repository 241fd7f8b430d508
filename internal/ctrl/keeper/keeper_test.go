package keeper_test

import (
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/clocks"
	"github.com/lagoontrail/lagoon/internal/ctrl/keeper"
	"github.com/lagoontrail/lagoon/internal/htplat"
	"github.com/lagoontrail/lagoon/internal/mbox"
	"github.com/lagoontrail/lagoon/internal/repo"
	"github.com/lagoontrail/lagoon/internal/simplt"
	"github.com/lagoontrail/lagoon/internal/world"
	"github.com/lagoontrail/lagoon/pkg/claim"
)

// keeperNode is a node that runs the keeper system, with one lane's mailbox.
type keeperNode struct {
	w    *world.World
	lane *mbox.Mailbox
}

func newKeeper(t *testing.T, name, url string) *keeperNode {
	t.Helper()
	w, stop := world.New(mbox.New(64))
	t.Cleanup(stop)
	n := &keeperNode{w: w, lane: mbox.New(64)}
	var self lagoon.Member
	self.SetName(name)
	w.SetSelf(self)
	w.SetClock(clocks.New())
	w.SetRepo(repo.New(htplat.New(url, 0)))
	w.SetLanes([]*mbox.Mailbox{n.lane})
	w.SetSystems([]lagoon.System[*world.World]{keeper.System{}})
	return n
}

// claimOp is the input of one operation in the history: an attempt claims an ID.
type claimOp struct {
	request string
	attempt uint64
}

// model is a register per ID that holds the first attempt that claimed the ID. An
// uncertain outcome is consistent with either state.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byID := map[string][]porcupine.Operation{}
		for _, op := range history {
			id := op.Input.(claimOp).request
			byID[id] = append(byID[id], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byID {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		holder, op := state.(uint64), input.(claimOp)
		switch output.(lagoon.ClaimOutcome) {
		case lagoon.ClaimGranted:
			return holder == 0 || holder == op.attempt, op.attempt
		case lagoon.ClaimHeld:
			return holder != 0 && holder != op.attempt, holder
		}
		return true, holder
	},
}

// Two nodes act as keepers of the same buckets, with platform outages and lost
// replies. Together their outcomes must be linearizable: an ID has one holder.
func TestClaimsAreLinearizable(t *testing.T) {
	platform := simplt.New()
	srv := httptest.NewServer(platform)
	defer srv.Close()
	keepers := []*keeperNode{newKeeper(t, "n0", srv.URL), newKeeper(t, "n1", srv.URL)}
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	for k, n := range keepers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ops := n.claimAll(t, k)
			mu.Lock()
			defer mu.Unlock()
			history = append(history, ops...)
		}()
	}
	for i := range 6 {
		time.Sleep(150 * time.Millisecond)
		platform.SetFaults([]int{0, simplt.LostReplies, simplt.Outage}[i%3])
	}
	platform.SetFaults(0)
	wg.Wait()
	if got, want := porcupine.CheckOperations(model, history), true; got != want {
		t.Errorf("linearizability of a history of %d claims: got %v, want %v", len(history), got, want)
	}
}

// claimAll claims a series of IDs that the other keeper claims too, and returns the
// history.
func (n *keeperNode) claimAll(t *testing.T, k int) []porcupine.Operation {
	ctx := t.Context()
	var ops []porcupine.Operation
	startMilli := time.Now().UnixMilli()
	go func() { _ = n.w.Run(ctx) }()
	for i := range 40 {
		id := fmt.Sprintf("%d-%d", startMilli/10000*10000, i)
		if (claim.Keeper{}).Bucket(id)%2 == 1 {
			continue
		}
		request := &lagoon.ClaimRequest{}
		request.SetFrom(n.w.Self().Name())
		request.SetRequestID(id)
		request.SetAttempt(uint64(100*k + i + 1))
		calledAt := time.Now().UnixNano()
		n.w.Do(func(w *world.World) { w.Tick([]any{request}) })
		for _, m := range n.lane.Wait(ctx, 5*time.Second, nil) {
			outcome := m.(*lagoon.ClaimResponse).Outcome()
			ops = append(ops, porcupine.Operation{ClientId: k, Input: claimOp{id, request.Attempt()}, Call: calledAt, Output: outcome, Return: time.Now().UnixNano()})
		}
	}
	return ops
}
