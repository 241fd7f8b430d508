package cases

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in of a back end. It runs up to slots requests at a time, queues up
// to queue more, and rejects the others.
type server struct {
	id, service, zone string
	slots, queue      int
	work              func() time.Duration
	listener          net.Listener
	rec               *recorder
	log               *runLog
	slot              chan struct{}
	present           atomic.Int64 // running and queued requests
	stamps            atomic.Int64

	// lateCopies is the share of the answers of which a second copy is sent on the same
	// connection, at the point where the next answer is expected.
	lateCopies atomic.Pointer[float64]
	copies     atomic.Int64
}

// runLog counts the runs and rejections of each request.
type runLog struct {
	mu         sync.Mutex
	runs       map[string]int
	rejections map[string]int
}

func newRunLog() *runLog { return &runLog{runs: map[string]int{}, rejections: map[string]int{}} }

func (l *runLog) add(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	return l.runs[id]
}

// count returns how often a request ran.
func (l *runLog) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

func (l *runLog) reject(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejections[id]++
}

// rejected returns how often servers rejected a request.
func (l *runLog) rejected(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rejections[id]
}

// startServer starts a server and announces it in the store.
func startServer(st *store, s *server) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.listener = l
	s.slot = make(chan struct{}, s.slots)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serveConn(c)
		}
	}()
	st.put("servers", s.id, map[string]any{
		"service": s.service, "address": l.Addr().String(), "zone": s.zone, "version": "v1", "maxConcurrency": s.slots,
		"state": "ready", "warmupLeftMs": 0, "callSeq": 1, "born": time.Now().UnixMilli(),
	})
	return s
}

// serveConn answers the requests of one connection, one at a time.
func (s *server) serveConn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	var late []byte
	last := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		if id == last {
			s.rec.eventf("server %s gets %s again on the same connection", s.id, id)
		}
		last = id
		if late != nil {
			s.rec.eventf("server %s sends the copy of its last answer on this connection, before the answer to %s", s.id, id)
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		out := s.handle(req)
		if _, err := c.Write(out); err != nil {
			return
		}
		if share := s.lateCopies.Load(); share != nil && rand.Float64() < *share {
			late = out
			s.copies.Add(1)
		}
	}
}

// handle runs or rejects one request and returns the answer.
func (s *server) handle(req *http.Request) []byte {
	id := req.Header.Get("Request-Id")
	if req.Header.Get("Expect-Instance") != "" && req.Header.Get("Expect-Instance") != s.id {
		return s.answer(421, id, "Instance-Id: "+s.id+"\r\n", nil)
	}
	ms, _ := strconv.Atoi(req.Header.Get("Deadline-Ms"))
	deadline := time.Now().Add(time.Duration(ms) * time.Millisecond)
	present := s.present.Add(1)
	defer s.present.Add(-1)
	load := fmt.Sprintf("Server-Load: %d,%d,%d\r\n", min(int(present), s.slots), max(int(present)-s.slots, 0), s.slots)
	if int(present) > s.slots+s.queue {
		s.rec.eventf("server %s rejects %s: it is full", s.id, id)
		s.log.reject(id)
		return s.answer(503, id, "Not-Run: 1\r\n"+load, nil)
	}
	select {
	case s.slot <- struct{}{}:
	case <-time.After(time.Until(deadline)):
		s.rec.eventf("server %s rejects %s: its time is over", s.id, id)
		return s.answer(503, id, "Not-Run: 1\r\n"+load, nil)
	}
	defer func() { <-s.slot }()
	n := s.log.add(id)
	s.rec.eventf("server %s runs %s, run %d", s.id, id, n)
	time.Sleep(s.work())
	stamp := fmt.Sprintf("Server-Stamp: %s.%s.%d\r\n", s.id, id, s.stamps.Add(1))
	return s.answer(200, id, stamp+load, []byte("held "+id))
}

func (s *server) answer(status int, id, headers string, body []byte) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), id, headers, len(body))
	out.Write(body)
	return out.Bytes()
}
