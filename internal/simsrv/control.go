package simsrv

import (
	"math/rand/v2"
	"time"
)

// Restart aborts the running requests and restarts the server cold, with a new start
// ID. The server does not respond during the downtime.
func (s *Server) Restart(downtime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restartLocked(downtime)
}

// ResetWarmth makes the server completely cold without a restart.
func (s *Server) ResetWarmth() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmth = 0
}

// Drain makes the server report that it is draining.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// SetUnreachable sets whether the server closes connections without a response.
// Setting it also aborts the running requests.
func (s *Server) SetUnreachable(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = on
	if on {
		close(s.abort)
		s.abort = make(chan struct{})
	}
}

// SetSlowdown sets a factor by which the duration of each new request is multiplied.
func (s *Server) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// SetSnapshots sets the snapshots that the server holds, each of the form MAP.INDEX.
func (s *Server) SetSnapshots(names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots = names
}

// RestartInPlace makes the server cold with a new start ID, without downtime. Running
// requests continue.
func (s *Server) RestartInPlace() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startID = rand.Uint64() | 1
	s.warmth = 0
}

// MaxInflight returns the largest number of requests that ran concurrently.
func (s *Server) MaxInflight() int { return locked(s, func() int { return s.maxInflight }) }

// ExcessRequests returns the number of requests that arrived while all slots of the
// warm server were in use.
func (s *Server) ExcessRequests() int { return locked(s, func() int { return s.excessRequests }) }

// Crashes returns the number of crashes from overload.
func (s *Server) Crashes() int { return locked(s, func() int { return s.crashes }) }

// RefusedRequests returns the number of requests that the server refused for overload.
func (s *Server) RefusedRequests() int { return locked(s, func() int { return s.refused }) }

// Completed returns the number of requests that the server completed.
func (s *Server) Completed() int { return locked(s, func() int { return s.completed }) }

// ExcessConns returns the number of connections that arrived above the limit.
func (s *Server) ExcessConns() int { return locked(s, func() int { return s.excessConns }) }

// LastAdmitted returns the time at which the last request was admitted.
func (s *Server) LastAdmitted() time.Time {
	return locked(s, func() time.Time { return s.lastAdmitted })
}

// RunsByBody returns the number of runs of each request body.
func (s *Server) RunsByBody() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runsByBody))
	for k, v := range s.runsByBody {
		out[k] = v
	}
	return out
}

// Warm reports whether the server is warm.
func (s *Server) Warm() bool { return locked(s, func() bool { return s.warmth >= s.warmThreshold() }) }

// locked returns the result of get, which is called with the server's mutex held.
func locked[V any](s *Server, get func() V) V {
	s.mu.Lock()
	defer s.mu.Unlock()
	return get()
}
