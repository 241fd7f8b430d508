// Package simsrv simulates one server of a search service over HTTP. The server is
// slow and runs few requests while it is cold, refuses requests under overload,
// crashes when it is overloaded while cold, drains, and obeys deadlines and
// cancellation.
//
// # Usage
//
//	s := simsrv.New(config)          // a simcfg.Config
//	stop, err := s.Start("127.0.0.1:0")
//	defer stop()
//	addr := s.Addr()
//
// The server counts excess requests and connections, crashes, and runs by request
// body, so that a test can verify the guarantees of its callers.
package simsrv

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon/internal/htup"
	"github.com/lagoontrail/lagoon/internal/simcfg"
)

// Behaviour under overload.
const (
	crashThreshold = 6                     // overload score at which a server that is not warm crashes; each refusal adds 1
	scoreDecayTime = 20 * time.Millisecond // time in which the overload score falls by 1
	crashDowntime  = time.Second           // also of a restart over the admin API
	coldFactor     = 3.0                   // latency of a completely cold server, as a multiple of a warm one's
)

// Server is a simulated server. Create it with New. It is safe for concurrent use
// after Start.
type Server struct {
	config simcfg.Config
	http   *http.Server
	addr   string

	mu             sync.Mutex
	startID        uint64 // random and odd, because 0 means unknown
	warmth         int    // requests completed since the server was last cold, at most warmThreshold
	inflight       int
	overloadScore  float64 // as of lastOverloadAt
	lastOverloadAt time.Time
	downUntil      time.Time
	abort          chan struct{} // closed and replaced to abort the running requests
	slowdown       float64       // multiplier of response times
	draining       bool
	unreachable    bool
	snapshots      []string // of the form MAP.INDEX
	conns          int

	maxInflight    int
	excessRequests int
	crashes        int
	refused        int
	completed      int
	lastAdmitted   time.Time
	runsByBody     map[string]int
	aborted        int
	excessConns    int
}

// New returns a warm server that does not listen yet. It holds the snapshot 1.1.
func New(config simcfg.Config) *Server {
	s := &Server{config: config, abort: make(chan struct{}), runsByBody: map[string]int{}, snapshots: []string{"1.1"}, slowdown: 1}
	s.startID = rand.Uint64() | 1
	s.warmth = s.warmThreshold()
	return s
}

// warmThreshold returns the number of completed requests after which the server is
// warm.
func (s *Server) warmThreshold() int { return s.config.WarmUpPerSlot() * (s.config.Slots() - 1) }

// Start listens on addr and serves in the background. The returned function closes
// the listener and all connections.
func (s *Server) Start(addr string) (func(), error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "start simulated server")
	}
	s.addr = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/search", s.search)
	mux.HandleFunc("GET /v1/report", s.report)
	mux.HandleFunc("POST /admin/{what}", s.admin)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.http.Serve(&listener{Listener: ln, server: s}) }()
	return func() { _ = s.http.Close() }, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.addr }

// listener limits the connections of a server.
type listener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection within the limit and closes those above it.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.server.admitConn() {
			return &conn{Conn: c, server: l.server}, nil
		}
		_ = c.Close()
	}
}

func (s *Server) admitConn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns >= s.config.MaxConns() {
		s.excessConns++
		return false
	}
	s.conns++
	return true
}

// conn is a connection that takes the configured time to open.
type conn struct {
	net.Conn
	server *Server
	opened sync.Once
	closed sync.Once
}

// Read delays the first read by the time to open a connection.
func (c *conn) Read(b []byte) (int, error) {
	c.opened.Do(func() { time.Sleep(c.server.config.ConnectTime()) })
	return c.Conn.Read(b)
}

// Close closes the connection and decrements the server's connection count once.
func (c *conn) Close() error {
	c.closed.Do(func() {
		c.server.mu.Lock()
		defer c.server.mu.Unlock()
		c.server.conns--
	})
	return c.Conn.Close()
}

// capacity returns the number of requests that the server can run concurrently at
// its current warmth.
func (s *Server) capacity() int {
	return min(s.config.Slots(), 1+s.warmth/max(s.config.WarmUpPerSlot(), 1))
}

func (s *Server) search(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	q := r.URL.Query()
	duration, abort, status := s.admit(string(body), q.Get("map")+"."+q.Get("index"))
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	if status != http.StatusOK {
		s.setHeaders(w.Header(), r)
		w.WriteHeader(status)
		return
	}
	completed := s.run(r, duration, abort)
	s.finish(completed)
	if !completed {
		panic(http.ErrAbortHandler)
	}
	s.setHeaders(w.Header(), r)
	_, _ = fmt.Fprintf(w, "%s/%s/%s", s.config.Name(), q.Get("shard"), q.Get("index"))
}

// admit decides whether a request runs. It returns the duration of the request, the
// channel that aborts it, and the HTTP status: 200 if the request runs, 0 if the
// connection is to be closed without a response.
func (s *Server) admit(body, snapshot string) (time.Duration, chan struct{}, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Before(s.downUntil) || s.unreachable {
		return 0, nil, 0
	}
	if !slices.Contains(s.snapshots, snapshot) {
		return 0, nil, http.StatusGone
	}
	if s.inflight >= s.capacity() {
		s.refuseLocked(now)
		return 0, nil, http.StatusServiceUnavailable
	}
	s.inflight++
	s.lastAdmitted = now
	s.maxInflight = max(s.maxInflight, s.inflight)
	if s.inflight > s.config.Slots() {
		s.excessRequests++
	}
	s.runsByBody[body]++
	return s.drawDuration(), s.abort, http.StatusOK
}

// refuseLocked counts a refusal. A server below its full capacity crashes when the
// overload score reaches the threshold.
func (s *Server) refuseLocked(now time.Time) {
	s.refused++
	if s.capacity() >= s.config.Slots() {
		s.excessRequests++
		return
	}
	s.overloadScore = max(0, s.overloadScore-float64(now.Sub(s.lastOverloadAt))/float64(scoreDecayTime)) + 1
	s.lastOverloadAt = now
	if s.overloadScore >= crashThreshold {
		s.crashes++
		s.restartLocked(crashDowntime)
	}
}

// drawDuration draws the duration of one request at random.
func (s *Server) drawDuration() time.Duration {
	mean := float64(s.config.MeanLatency())
	d := mean * (0.5 + 0.5*rand.ExpFloat64())
	if rand.Float64() < s.config.StragglerFraction() {
		d = mean * s.config.StragglerFactor()
	}
	if threshold := s.warmThreshold(); s.warmth < threshold {
		d *= 1 + (coldFactor-1)*float64(threshold-s.warmth)/float64(threshold)
	}
	return time.Duration(d * s.slowdown)
}

// run waits for the duration of a request and reports whether the request
// completed. It does not complete when its deadline passes, the caller cancels it or
// the server aborts it.
func (s *Server) run(r *http.Request, duration time.Duration, abort chan struct{}) bool {
	timeout := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get(htup.TimeoutHeader)); err == nil {
		timeout = time.Duration(ms) * time.Millisecond
	}
	timer := time.NewTimer(min(duration, timeout))
	defer timer.Stop()
	select {
	case <-timer.C:
		return duration <= timeout
	case <-r.Context().Done():
	case <-abort:
		s.mu.Lock()
		s.aborted++
		s.mu.Unlock()
	}
	return false
}

// finish counts the end of an admitted request.
func (s *Server) finish(completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight--
	if completed {
		s.completed++
		s.warmth = min(s.warmth+1, max(s.warmThreshold(), 1))
	}
}

// setHeaders adds the server's status to the headers of a response.
func (s *Server) setHeaders(h http.Header, r *http.Request) {
	h.Set(htup.CallIDHeader, r.Header.Get(htup.CallIDHeader))
	s.mu.Lock()
	defer s.mu.Unlock()
	h.Set(htup.StartIDHeader, strconv.FormatUint(s.startID, 10))
	h.Set(htup.ColdHeader, strconv.FormatBool(s.warmth < s.warmThreshold()))
	h.Set(htup.DrainingHeader, strconv.FormatBool(s.draining))
}

func (s *Server) report(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := time.Now().Before(s.downUntil) || s.unreachable
	report := map[string]any{"start_id": s.startID, "snapshots": s.snapshots, "draining": s.draining, "inflight": s.inflight, "cold": s.warmth < s.warmThreshold()}
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(htup.CallIDHeader, r.Header.Get(htup.CallIDHeader))
	_ = json.NewEncoder(w).Encode(report)
}

// restartLocked aborts the running requests and restarts the server cold. The server
// does not respond during the downtime.
func (s *Server) restartLocked(downtime time.Duration) {
	close(s.abort)
	s.abort = make(chan struct{})
	s.startID = rand.Uint64() | 1
	s.warmth = 0
	s.overloadScore = 0
	s.downUntil = time.Now().Add(downtime)
}

// admin serves the admin API, which injects faults into a server that runs in its
// own process.
func (s *Server) admin(w http.ResponseWriter, r *http.Request) {
	switch r.PathValue("what") {
	case "restart":
		s.Restart(crashDowntime)
	case "relapse":
		s.ResetWarmth()
	case "drain":
		s.Drain()
	case "slow":
		factor, err := strconv.ParseFloat(r.URL.Query().Get("factor"), 64)
		if err != nil || factor <= 0 {
			http.Error(w, "factor must be a number greater than 0", http.StatusBadRequest)
			return
		}
		s.SetSlowdown(factor)
	default:
		http.NotFound(w, r)
	}
}
