// Package script is an HTTP server for tests that sends any bytes, also some that are no
// response or belong to no request.
//
// # Usage
//
//	s, stop, err := script.New(func(n int64, r *http.Request, last string) string {
//		return last + script.Response(200, `{"items":[]}`) // a late copy before each response
//	})
//	defer stop()
//	client := store.New(s.Addr())
package script

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Server is the server. Create it with New.
type Server struct {
	listener net.Listener
	respond  func(n int64, r *http.Request, last string) string
	conns    atomic.Int64
	requests atomic.Int64
	mu       sync.Mutex
	open     map[net.Conn]bool
}

// New starts a server on a loopback address. respond returns what to send when the nth request
// has been read; last is what it returned for the previous request on the same connection. The
// cleanup function stops the server.
func New(respond func(n int64, r *http.Request, last string) string) (*Server, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen")
	}
	s := &Server{listener: listener, respond: respond, open: map[net.Conn]bool{}}
	go s.accept()
	return s, s.stop, nil
}

// Response returns a response with a status, a body and header lines.
func Response(status int, body string, lines ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for _, line := range lines {
		head += line + "\r\n"
	}
	return head + "\r\n" + body
}

// Addr returns the server's address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Conns returns the number of connections accepted so far.
func (s *Server) Conns() int64 { return s.conns.Load() }

// Open returns the number of connections that are open.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Send sends data on all open connections.
func (s *Server) Send(data string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		_, _ = io.WriteString(conn, data) // fails if the client has closed the connection
	}
}

func (s *Server) stop() {
	_ = s.listener.Close() // nothing depends on it any more
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		_ = conn.Close() // as above
	}
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.conns.Add(1)
		s.mu.Lock()
		s.open[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// serve responds to the requests on a connection until the client closes it.
func (s *Server) serve(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.open, conn)
		_ = conn.Close() // the client has closed it
	}()
	r := bufio.NewReader(conn)
	for last := ""; ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		data := s.respond(s.requests.Add(1), req, last)
		if _, err := io.WriteString(conn, data); err != nil {
			return
		}
		last = data
	}
}
