// Package loadg puts an open-loop load on a deployment.
//
// # Usage
//
//	g := loadg.New(addrs, zones, seed)
//	g.SetReads("archive-desk", 100)        // queries a second
//	g.SetWrites("casting-book", 10)
//	defer g.Close()
//	tally := g.Run(ctx)                    // until ctx ends
//
// Arrivals are a Poisson process drawn from the seed. A query's latency counts
// from the time at which it was to be sent, so a stall shows in all queries
// that it held up. Requests go to loopback addresses only.
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
	"github.com/lagoontrail/lagoon/internal/outcm"
	"github.com/lagoontrail/lagoon/pkg/caller"
)

// maxRunning bounds the queries under way; above it arrivals are counted as
// not answered.
const maxRunning = 8192

// clientLatency is the one-way latency between a caller and a node.
const clientLatency = time.Millisecond

// Generator makes a load. Make it with New.
type Generator struct {
	clients []*caller.Client
	stops   []func()
	rng     *rand.Rand
	reads   []stream
	tally   *outcm.Tally
	resend  bool
	running atomic.Int64
	shed    atomic.Int64
	wg      sync.WaitGroup
	mu      sync.Mutex
	began   time.Time
	warmUp  time.Duration
	buckets [120]atomic.Int64
}

// stream is a share of the load.
type stream struct {
	service string
	rate    float64
	write   bool
	timeout time.Duration
}

// New returns a generator with a caller in each zone. Close it after Run.
func New(addrs, zones []string, seed uint64) *Generator {
	g := &Generator{rng: rand.New(rand.NewPCG(seed, 1)), tally: outcm.New()}
	for _, z := range zones {
		c, stop := caller.New(z, addrs...)
		g.clients = append(g.clients, c)
		g.stops = append(g.stops, stop)
	}
	return g
}

// Close closes the callers' connections.
func (g *Generator) Close() {
	for _, stop := range g.stops {
		stop()
	}
}

// SetReads adds idempotent queries at a rate a second.
func (g *Generator) SetReads(service string, rate float64) {
	g.reads = append(g.reads, stream{service: service, rate: rate})
}

// SetWrites adds requests that are not idempotent at a rate a second.
func (g *Generator) SetWrites(service string, rate float64) {
	g.reads = append(g.reads, stream{service: service, rate: rate, write: true, timeout: 2 * time.Second})
}

// SetResend makes callers send a request that ended without a clear answer a
// second time under the same id.
func (g *Generator) SetResend(on bool) { g.resend = on }

// SetWarmUp sets the time at the beginning whose queries are not counted.
func (g *Generator) SetWarmUp(d time.Duration) { g.warmUp = d }

// Tally returns what the load saw so far.
func (g *Generator) Tally() *outcm.Tally { return g.tally }

// PerSecond returns the queries answered in full in each second of the run.
func (g *Generator) PerSecond() []int64 {
	var out []int64
	for i := range g.buckets {
		out = append(out, g.buckets[i].Load())
	}
	return out
}

// Run makes the load until ctx ends, then waits for the queries under way.
func (g *Generator) Run(ctx context.Context) *outcm.Tally {
	g.began = time.Now()
	next := g.began
	for n := 0; ; n++ {
		total := g.total()
		next = next.Add(time.Duration(g.rng.ExpFloat64() / total * float64(time.Second)))
		select {
		case <-ctx.Done():
			g.wg.Wait()
			return g.tally
		case <-time.After(time.Until(next)):
		}
		g.launch(g.pick(total), next, n)
	}
}

func (g *Generator) total() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	total := 0.0
	for _, s := range g.reads {
		total += s.rate
	}
	return total
}

// AddReads adds idempotent queries while Run runs.
func (g *Generator) AddReads(service string, rate float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.SetReads(service, rate)
}

// pick draws the stream of one arrival.
func (g *Generator) pick(total float64) stream {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := g.rng.Float64() * total
	for _, s := range g.reads {
		if x -= s.rate; x <= 0 {
			return s
		}
	}
	return g.reads[len(g.reads)-1]
}

func (g *Generator) launch(s stream, at time.Time, n int) {
	c := g.clients[g.rng.IntN(len(g.clients))]
	q := g.query(c, s, n)
	if g.running.Load() >= maxRunning {
		g.shed.Add(1)
		g.tally.Add(q, lagoon.Answer{}, errors.New("too many queries under way"), time.Since(at))
		return
	}
	g.running.Add(1)
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		defer g.running.Add(-1)
		g.ask(c, q, at)
	}()
}

func (g *Generator) query(c *caller.Client, s stream, n int) lagoon.Query {
	var q lagoon.Query
	q.SetService(s.service)
	q.SetIdempotent(!s.write)
	q.SetTimeout(s.timeout)
	q.SetID(c.NewID())
	q.SetBody([]byte(fmt.Sprintf("request %d", n)))
	return q
}

// ask sends one query and counts its end.
func (g *Generator) ask(c *caller.Client, q lagoon.Query, at time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	time.Sleep(clientLatency)
	a, err := c.Query(ctx, q)
	time.Sleep(clientLatency)
	took := time.Since(at)
	if at.Sub(g.began) < g.warmUp {
		return
	}
	g.tally.Add(q, a, err, took)
	if err == nil && a.Outcome() == lagoon.OutcomeAnswered {
		if i := int(time.Since(g.began) / time.Second); i < len(g.buckets) {
			g.buckets[i].Add(1)
		}
	}
	unclear := err != nil || a.Outcome() == lagoon.OutcomeUnknown
	if g.resend && !q.Idempotent() && unclear {
		a, err = c.Query(ctx, q)
		g.tally.Add(q, a, err, time.Since(at))
	}
}
