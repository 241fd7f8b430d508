// Package stdsrv is a stand-in for one server of a search service: it answers
// over HTTP, starts cold, sheds load, falls over when pushed, drains, and
// honours deadlines and cancellation.
//
// # Usage
//
//	s := stdsrv.New(shape)           // a stdshp.Shape
//	stop, err := s.Start("127.0.0.1:0")
//	defer stop()
//	addr := s.Addr()
//
// It counts what callers did to it, so that a test can tell whether a promise
// was kept: the most requests at once, falls, runs by request body.
package stdsrv

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
	"github.com/lagoontrail/lagoon/internal/stdshp"
)

// Behaviour under strain.
const (
	strainToFall = 6                     // refusals in quick succession that make a cold server fall
	strainDecay  = 20 * time.Millisecond // time in which one refusal is forgotten
	downFor      = time.Second           // time until a fallen server starts anew
	coldFactor   = 3.0                   // times longer that an entirely cold server takes
)

// Server is the stand-in. Make it with New.
type Server struct {
	shape stdshp.Shape
	http  *http.Server
	addr  string

	mu        sync.Mutex
	start     uint64
	warmth    int
	inflight  int
	strain    float64
	strained  time.Time
	downUntil time.Time
	abort     chan struct{}
	slow      float64
	draining  bool
	silent    bool
	snapshots []string
	conns     int

	most     int
	over     int
	falls    int
	refused  int
	done     int
	lastNew  time.Time
	runs     map[string]int
	cutOff   int
	connOver int
}

// New returns a server that has not started.
func New(shape stdshp.Shape) *Server {
	s := &Server{shape: shape, abort: make(chan struct{}), runs: map[string]int{}, snapshots: []string{"1.1"}, slow: 1}
	s.start = rand.Uint64() | 1
	s.warmth = s.full()
	return s
}

// full returns the requests served after which the server is warm.
func (s *Server) full() int { return s.shape.WarmPerSlot() * (s.shape.Slots() - 1) }

// Start listens on addr. The clean-up function closes the port and all
// connections.
func (s *Server) Start(addr string) (func(), error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "start stand-in server")
	}
	s.addr = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/search", s.search)
	mux.HandleFunc("GET /v1/report", s.report)
	mux.HandleFunc("POST /admin/{what}", s.admin)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.http.Serve(&listener{Listener: ln, s: s}) }()
	return func() { _ = s.http.Close() }, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.addr }

// listener counts connections and makes each take its time to open.
type listener struct {
	net.Listener
	s *Server
}

// Accept accepts one connection.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.s.enter() {
			return &conn{Conn: c, s: l.s}, nil
		}
		_ = c.Close()
	}
}

func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns >= s.shape.Conns() {
		s.connOver++
		return false
	}
	s.conns++
	return true
}

// conn is a connection that takes its time to open.
type conn struct {
	net.Conn
	s      *Server
	opened sync.Once
	closed sync.Once
}

// Read waits for the opening time before the first byte.
func (c *conn) Read(b []byte) (int, error) {
	c.opened.Do(func() { time.Sleep(c.s.shape.Open()) })
	return c.Conn.Read(b)
}

// Close gives the connection's place back.
func (c *conn) Close() error {
	c.closed.Do(func() {
		c.s.mu.Lock()
		defer c.s.mu.Unlock()
		c.s.conns--
	})
	return c.Conn.Close()
}

// capacity returns the requests that the server bears now.
func (s *Server) capacity() int {
	return min(s.shape.Slots(), 1+s.warmth/max(s.shape.WarmPerSlot(), 1))
}

func (s *Server) search(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	q := r.URL.Query()
	took, abort, status := s.begin(string(body), q.Get("map")+"."+q.Get("index"))
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	if status != http.StatusOK {
		s.headers(w.Header())
		w.WriteHeader(status)
		return
	}
	ended := s.work(r, took, abort)
	s.end(ended)
	if !ended {
		panic(http.ErrAbortHandler)
	}
	s.headers(w.Header())
	_, _ = fmt.Fprintf(w, "%s/%s/%s", s.shape.Name(), q.Get("shard"), q.Get("index"))
}

// begin admits a request or says with which status it is refused; 0 means that
// the connection breaks.
func (s *Server) begin(body, snapshot string) (time.Duration, chan struct{}, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Before(s.downUntil) || s.silent {
		return 0, nil, 0
	}
	if !slices.Contains(s.snapshots, snapshot) {
		return 0, nil, http.StatusGone
	}
	if s.inflight >= s.capacity() {
		s.refuse(now)
		return 0, nil, http.StatusServiceUnavailable
	}
	s.inflight++
	s.lastNew = now
	s.most = max(s.most, s.inflight)
	if s.inflight > s.shape.Slots() {
		s.over++
	}
	s.runs[body]++
	return s.duration(), s.abort, http.StatusOK
}

// refuse counts a refusal, and makes a cold server fall that is pushed.
func (s *Server) refuse(now time.Time) {
	s.refused++
	if s.capacity() >= s.shape.Slots() {
		s.over++
		return
	}
	s.strain = max(0, s.strain-float64(now.Sub(s.strained))/float64(strainDecay)) + 1
	s.strained = now
	if s.strain >= strainToFall {
		s.falls++
		s.restartLocked(downFor)
	}
}

// duration draws the time that one request takes.
func (s *Server) duration() time.Duration {
	mean := float64(s.shape.Mean())
	d := mean * (0.5 + 0.5*rand.ExpFloat64())
	if rand.Float64() < s.shape.Straggle() {
		d = mean * s.shape.StraggleFactor()
	}
	if full := s.full(); s.warmth < full {
		d *= 1 + (coldFactor-1)*float64(full-s.warmth)/float64(full)
	}
	return time.Duration(d * s.slow)
}

// work takes the time of one request, unless the caller goes away, its
// deadline passes or the server falls.
func (s *Server) work(r *http.Request, took time.Duration, abort chan struct{}) bool {
	limit := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get(htup.TimeoutHeader)); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	timer := time.NewTimer(min(took, limit))
	defer timer.Stop()
	select {
	case <-timer.C:
		return took <= limit
	case <-r.Context().Done():
	case <-abort:
		s.mu.Lock()
		s.cutOff++
		s.mu.Unlock()
	}
	return false
}

func (s *Server) end(answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight--
	if answered {
		s.done++
		s.warmth = min(s.warmth+1, max(s.full(), 1))
	}
}

func (s *Server) headers(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.Set(htup.StartHeader, strconv.FormatUint(s.start, 10))
	h.Set(htup.ColdHeader, strconv.FormatBool(s.warmth < s.full()))
	h.Set(htup.DrainingHeader, strconv.FormatBool(s.draining))
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	down := time.Now().Before(s.downUntil) || s.silent
	form := map[string]any{"start_id": s.start, "snapshots": s.snapshots, "draining": s.draining, "inflight": s.inflight, "cold": s.warmth < s.full()}
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(form)
}

// restartLocked ends all running requests and starts the server cold after a
// time.
func (s *Server) restartLocked(down time.Duration) {
	close(s.abort)
	s.abort = make(chan struct{})
	s.start = rand.Uint64() | 1
	s.warmth = 0
	s.strain = 0
	s.downUntil = time.Now().Add(down)
}

// admin serves the switches of a server that runs as a process.
func (s *Server) admin(w http.ResponseWriter, r *http.Request) {
	switch r.PathValue("what") {
	case "restart":
		s.Restart(downFor)
	case "relapse":
		s.Relapse()
	case "drain":
		s.Drain()
	case "slow":
		factor, err := strconv.ParseFloat(r.URL.Query().Get("factor"), 64)
		if err != nil || factor <= 0 {
			http.Error(w, "factor must be a number above 0", http.StatusBadRequest)
			return
		}
		s.SetSlow(factor)
	default:
		http.NotFound(w, r)
	}
}
