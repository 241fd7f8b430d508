// Package keeper records claims on request IDs, in batches.
//
// # Usage
//
//	systems = append(systems, keeper.System{})
//
// It writes the claims table. Each bucket is assigned to one node, its keeper, so
// conditional writes seldom conflict. If two nodes consider themselves the keeper,
// one conditional write succeeds and the other node reads the bucket again.
// Requests that arrive during a write are batched into the next.
package keeper

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/claims"
	"github.com/lagoontrail/lagoon/internal/world"
	"github.com/lagoontrail/lagoon/pkg/claim"
)

// Limits of the writes to one bucket.
const (
	writeInterval    = 20 * time.Millisecond
	writeTimeout     = 2 * time.Second
	maxWriteAttempts = 4
)

// pruneThreshold is the number of claims in a bucket above which old ones are removed.
const pruneThreshold = 1000

// System records claims.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "keeper" }

// Run starts the writes that are due.
func (s System) Run(w *world.World, now time.Duration) {
	var k claim.Keeper
	for _, request := range w.ClaimRequests() {
		number := k.Bucket(request.RequestID())
		b := w.Claims().Ensure(fmt.Sprint(number))
		b.SetNumber(number)
		b.SetPending(append(b.Pending(), request))
	}
	for i := range w.Claims().Len() {
		b := w.Claims().At(i)
		if len(b.Pending()) > 0 && !b.Writing() && now-b.WriteStartedAt() >= writeInterval {
			s.write(w, b, now)
		}
	}
}

// batchWrite is one write of a bucket and the responses that it determines.
type batchWrite struct {
	number    int
	bucket    lagoon.ClaimBucket
	version   uint64
	cached    bool
	responses []*lagoon.ClaimResponse
}

func (s System) write(w *world.World, b *claims.Row, now time.Duration) {
	requests := b.Pending()
	b.SetPending(nil)
	b.SetWriting(true)
	b.SetWriteStartedAt(now)
	batch := &batchWrite{number: b.Number(), bucket: b.Bucket(), version: b.Version(), cached: b.Cached()}
	repo, clock := w.Repo(), w.Clock()
	w.Spawn(writeTimeout, func(ctx context.Context) func(*world.World) {
		err := s.commit(ctx, repo, clock, batch, requests)
		return func(w *world.World) { s.finish(w, batch, requests, err) }
	})
}

// commit decides the requests and writes the bucket, again after each conflict.
func (s System) commit(ctx context.Context, repo lagoon.Repository, clock lagoon.Clock, batch *batchWrite, requests []*lagoon.ClaimRequest) error {
	var err error
	for range maxWriteAttempts {
		if !batch.cached {
			if batch.bucket, batch.version, err = repo.Bucket(ctx, batch.number); err != nil {
				return errors.Wrap(err, "read the claim bucket")
			}
		}
		batch.cached = false
		next, responses, changed := decide(batch.bucket, requests, clock.Wall())
		if !changed {
			// Nothing to write, but the cached bucket may be out of date. Only the
			// result of a fresh read may be reported.
			if batch.bucket, batch.version, err = repo.Bucket(ctx, batch.number); err != nil {
				return errors.Wrap(err, "read the claim bucket")
			}
			if next, responses, changed = decide(batch.bucket, requests, clock.Wall()); !changed {
				batch.cached, batch.responses = true, responses
				return nil
			}
		}
		version, err := repo.PutBucket(ctx, batch.number, next, batch.version)
		if err == nil {
			batch.bucket, batch.version, batch.cached, batch.responses = next, version, true, responses
			return nil
		}
		if !errors.Is(err, lagoon.ErrConflict) {
			return errors.Wrap(err, "write the claim bucket")
		}
	}
	return errors.New("other nodes kept writing the claim bucket")
}

// decide applies the requests to a copy of the bucket.
func decide(b lagoon.ClaimBucket, requests []*lagoon.ClaimRequest, now time.Time) (lagoon.ClaimBucket, []*lagoon.ClaimResponse, bool) {
	var k claim.Keeper
	b.SetClaims(append([]lagoon.Claim(nil), b.Claims()...))
	if len(b.Claims()) > pruneThreshold {
		k.Expire(&b, now)
	}
	changed := false
	responses := make([]*lagoon.ClaimResponse, len(requests))
	for i, request := range requests {
		outcome, holder, wrote := k.Decide(&b, *request, now)
		changed = changed || wrote
		responses[i] = newResponse(request, outcome, holder)
	}
	return b, responses, changed
}

func newResponse(request *lagoon.ClaimRequest, outcome lagoon.ClaimOutcome, detail string) *lagoon.ClaimResponse {
	response := &lagoon.ClaimResponse{}
	response.SetLane(request.Lane())
	response.SetQueryID(request.QueryID())
	response.SetAttempt(request.Attempt())
	response.SetOutcome(outcome)
	response.SetDetail(detail)
	return response
}

func (System) finish(w *world.World, batch *batchWrite, requests []*lagoon.ClaimRequest, err error) {
	if b, ok := w.Claims().Find(fmt.Sprint(batch.number)); ok {
		b.SetWriting(false)
		b.SetCached(batch.cached && err == nil)
		b.SetBucket(batch.bucket)
		b.SetVersion(batch.version)
	}
	for i, request := range requests {
		response := newResponse(request, lagoon.ClaimUnknown, "")
		if err == nil {
			response = batch.responses[i]
		} else {
			response.SetDetail(err.Error())
		}
		if !request.Void() {
			sendResponse(w, request, response)
		}
	}
	if err != nil {
		w.RecordAction("claims_not_written", fmt.Sprintf("bucket %d", batch.number), err.Error())
	}
}

// sendResponse sends a response to the requesting lane.
func sendResponse(w *world.World, request *lagoon.ClaimRequest, response *lagoon.ClaimResponse) {
	if request.From() == w.Self().Name() {
		if response.Lane() < len(w.Lanes()) {
			w.Lanes()[response.Lane()].TryPost(response)
		}
		return
	}
	if n, ok := w.Nodes().Find(request.From()); ok {
		w.Link().Send(n.Member().Addr(), response)
	}
}
