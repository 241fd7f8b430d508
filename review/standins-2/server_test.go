package standins_test

import (
	"cmp"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is one run of a request at a server.
type run struct {
	id, method, tenant, server string
	at                         time.Time
}

// server is a stand-in of a server. It runs each request for work.
type server struct {
	id, service, zone, addr string
	work                    time.Duration
	slots, queue            int
	born                    time.Time
	state                   string // empty for ready
	running                 atomic.Int64
	stamps                  atomic.Int64
	mu                      sync.Mutex
	runs                    []run
	coldSince               time.Time
	crashed                 atomic.Bool
	// answer replaces the ordinary answer of a run unless it is nil.
	answer func(w http.ResponseWriter, r *http.Request, n int) bool
}

// start serves the server and announces it.
func (s *server) start(st *store) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s.addr = l.Addr().String()
	go func() { _ = (&http.Server{Handler: s, ErrorLog: log.New(io.Discard, "", 0)}).Serve(l) }()
	s.born = time.Now()
	s.announce(st, 0)
}

// announce writes what the server says of itself. It stays cold for a time.
func (s *server) announce(st *store, cold time.Duration) {
	st.put("servers", s.id, map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "maxConcurrency": s.slots,
		"state": cmp.Or(s.state, "ready"), "warmupLeftMs": cold.Milliseconds(), "callSeq": 1, "born": s.born.UnixMilli(),
	})
}

// coldRuns returns the number of runs that began within the last time and since the server is
// cold.
func (s *server) coldRuns(d time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, from := 0, time.Now().Add(-d)
	for i := len(s.runs) - 1; i >= 0 && s.runs[i].at.After(from) && s.runs[i].at.After(s.coldSince); i-- {
		n++
	}
	return n
}

// setCold makes the server cold from now on, or warm.
func (s *server) setCold(cold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldSince = time.Now()
	if !cold {
		s.coldSince = s.coldSince.Add(time.Hour)
	}
}

// ServeHTTP serves one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.crashed.Load() {
		panic(http.ErrAbortHandler) // ends the connection
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	id := r.Header.Get("Request-Id")
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	running := s.running.Add(1)
	defer s.running.Add(-1)
	if running > int64(s.slots+s.queue) {
		w.Header().Set("Request-Id", id)
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.runs = append(s.runs, run{id, r.Method, r.Header.Get("Tenant"), s.id, time.Now()})
	n := len(s.runs)
	s.mu.Unlock()
	if s.answer != nil && s.answer(w, r, n) {
		return
	}
	time.Sleep(s.work)
	s.respond(w, id)
}

// respond writes the ordinary answer.
func (s *server) respond(w http.ResponseWriter, id string) {
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Stamp", fmt.Sprintf("%s.%d", s.id, s.stamps.Add(1)))
	w.Header().Set("Server-Load", strconv.FormatInt(s.running.Load(), 10)+",0,"+strconv.Itoa(s.slots))
	_, _ = io.WriteString(w, "0123456789abcdef")
}
