// Package loadg generates an open-loop load on a deployment.
//
// # Usage
//
//	g := loadg.New(addrs, zones, seed)
//	defer g.Close()
//	g.AddReadStream("archive-desk", 100)   // queries per second
//	g.AddWriteStream("casting-book", 10)
//	tally := g.Run(ctx)                    // until ctx is done
//
// Arrivals are a Poisson process that is derived from the seed. The latency of a
// query counts from its scheduled send time, so that a stall shows in every query
// that it delayed. Queries are sent to loopback addresses only.
package loadg

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/tally"
	"github.com/lagoontrail/lagoon/pkg/caller"
)

// maxInflight limits the queries in flight. Arrivals beyond it are not sent and
// are counted as errors.
const maxInflight = 8192

// callerLatency is the one-way latency between a caller and a node.
const callerLatency = time.Millisecond

// Generator sends queries at given rates. Create it with New.
type Generator struct {
	clients           []*caller.Client
	closeClients      []func()
	rng               *rand.Rand
	streams           []stream
	tally             *tally.Tally
	resendWrites      bool
	inflight          atomic.Int64
	dropped           atomic.Int64
	wg                sync.WaitGroup
	mu                sync.Mutex // guards streams
	startedAt         time.Time
	warmUp            time.Duration
	answeredPerSecond [120]atomic.Int64 // indexed by second of the run; later seconds are not counted
}

// stream is the part of the load that goes to one service.
type stream struct {
	service string
	rate    float64 // queries per second
	write   bool
	timeout time.Duration // of a query; 0 means that of the service's rule
}

// New returns a generator with one caller in each zone. Call Close after Run.
func New(addrs, zones []string, seed uint64) *Generator {
	g := &Generator{rng: rand.New(rand.NewPCG(seed, 1)), tally: tally.New()}
	for _, zone := range zones {
		client, closeClient := caller.New(zone, addrs...)
		g.clients = append(g.clients, client)
		g.closeClients = append(g.closeClients, closeClient)
	}
	return g
}

// Close closes the callers' connections.
func (g *Generator) Close() {
	for _, closeClient := range g.closeClients {
		closeClient()
	}
}

// AddReadStream adds idempotent queries at a rate per second. It must not be
// called while Run runs.
func (g *Generator) AddReadStream(service string, rate float64) {
	g.streams = append(g.streams, stream{service: service, rate: rate})
}

// AddWriteStream adds queries that are not idempotent at a rate per second. It
// must not be called while Run runs.
func (g *Generator) AddWriteStream(service string, rate float64) {
	g.streams = append(g.streams, stream{service: service, rate: rate, write: true, timeout: 2 * time.Second})
}

// SetResendWrites sets whether callers resend a query that is not idempotent,
// once and under the same ID, when it ends with an error or an unknown outcome.
func (g *Generator) SetResendWrites(on bool) { g.resendWrites = on }

// SetWarmUp sets the duration at the start of a run whose queries are not
// counted.
func (g *Generator) SetWarmUp(d time.Duration) { g.warmUp = d }

// Tally returns the results so far.
func (g *Generator) Tally() *tally.Tally { return g.tally }

// AnsweredPerSecond returns the number of queries answered in full in each second
// of the run.
func (g *Generator) AnsweredPerSecond() []int64 {
	var counts []int64
	for i := range g.answeredPerSecond {
		counts = append(counts, g.answeredPerSecond[i].Load())
	}
	return counts
}

// Run sends queries until ctx is done, and then waits for the queries in flight.
func (g *Generator) Run(ctx context.Context) *tally.Tally {
	g.startedAt = time.Now()
	scheduledAt := g.startedAt
	for n := 0; ; n++ {
		totalRate := g.totalRate()
		scheduledAt = scheduledAt.Add(time.Duration(g.rng.ExpFloat64() / totalRate * float64(time.Second)))
		select {
		case <-ctx.Done():
			g.wg.Wait()
			return g.tally
		case <-time.After(time.Until(scheduledAt)):
		}
		g.startQuery(g.pickStream(totalRate), scheduledAt, n)
	}
}

func (g *Generator) totalRate() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	total := 0.0
	for _, s := range g.streams {
		total += s.rate
	}
	return total
}

// AddReadStreamDuringRun adds idempotent queries at a rate per second while Run
// runs.
func (g *Generator) AddReadStreamDuringRun(service string, rate float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.AddReadStream(service, rate)
}

// pickStream draws the stream of one arrival, weighted by rate.
func (g *Generator) pickStream(totalRate float64) stream {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := g.rng.Float64() * totalRate
	for _, s := range g.streams {
		if x -= s.rate; x <= 0 {
			return s
		}
	}
	return g.streams[len(g.streams)-1]
}

// startQuery sends the n-th query of the run in a new goroutine.
func (g *Generator) startQuery(s stream, scheduledAt time.Time, n int) {
	client := g.clients[g.rng.IntN(len(g.clients))]
	q := g.newQuery(client, s, n)
	if g.inflight.Load() >= maxInflight {
		g.dropped.Add(1)
		g.tally.Add(q, lagoon.Answer{}, errors.New("too many queries in flight"), time.Since(scheduledAt))
		return
	}
	g.inflight.Add(1)
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		defer g.inflight.Add(-1)
		g.send(client, q, scheduledAt)
	}()
}

func (g *Generator) newQuery(client *caller.Client, s stream, n int) lagoon.Query {
	var q lagoon.Query
	q.SetService(s.service)
	q.SetIdempotent(!s.write)
	q.SetTimeout(s.timeout)
	q.SetID(client.NewID())
	q.SetBody([]byte(fmt.Sprintf("request %d", n)))
	return q
}

// send sends one query and counts its result.
func (g *Generator) send(client *caller.Client, q lagoon.Query, scheduledAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	time.Sleep(callerLatency)
	a, err := client.Query(ctx, q)
	time.Sleep(callerLatency)
	latency := time.Since(scheduledAt)
	if scheduledAt.Sub(g.startedAt) < g.warmUp {
		return
	}
	g.tally.Add(q, a, err, latency)
	if err == nil && a.Outcome() == lagoon.OutcomeAnswered {
		if i := int(time.Since(g.startedAt) / time.Second); i < len(g.answeredPerSecond) {
			g.answeredPerSecond[i].Add(1)
		}
	}
	unknown := err != nil || a.Outcome() == lagoon.OutcomeUnknown
	if g.resendWrites && !q.Idempotent() && unknown {
		a, err = client.Query(ctx, q)
		g.tally.Add(q, a, err, time.Since(scheduledAt))
	}
}
