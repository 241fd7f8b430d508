package stdsrv

import (
	"math/rand/v2"
	"time"
)

// Restart starts the server anew and cold, after it was down for a time.
func (s *Server) Restart(down time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restartLocked(down)
}

// Relapse makes a warm server cold without a restart.
func (s *Server) Relapse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmth = 0
}

// Drain makes the server report that it is leaving.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// SetSilent makes the server break every connection, or stop doing so.
func (s *Server) SetSilent(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
	if on {
		close(s.abort)
		s.abort = make(chan struct{})
	}
}

// SetSlow makes every request take a factor longer.
func (s *Server) SetSlow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = factor
}

// SetSnapshots sets the snapshots held, each of the form MAP.INDEX.
func (s *Server) SetSnapshots(names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots = names
}

// MakeCold makes the server cold with a new start id, at once.
func (s *Server) MakeCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start = rand.Uint64() | 1
	s.warmth = 0
}

// Most returns the most requests that ran at once.
func (s *Server) Most() int { return read(s, func() int { return s.most }) }

// Over returns how often requests came while all slots were taken.
func (s *Server) Over() int { return read(s, func() int { return s.over }) }

// Falls returns how often the server fell over.
func (s *Server) Falls() int { return read(s, func() int { return s.falls }) }

// Refused returns how many requests the server refused for load.
func (s *Server) Refused() int { return read(s, func() int { return s.refused }) }

// Done returns how many requests the server answered.
func (s *Server) Done() int { return read(s, func() int { return s.done }) }

// ConnOver returns how many connections came above the cap.
func (s *Server) ConnOver() int { return read(s, func() int { return s.connOver }) }

// LastNew returns when the last request was admitted.
func (s *Server) LastNew() time.Time { return read(s, func() time.Time { return s.lastNew }) }

// Runs returns how often each request body was run.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, v := range s.runs {
		out[k] = v
	}
	return out
}

// Warm reports whether the server is warm.
func (s *Server) Warm() bool { return read(s, func() bool { return s.warmth >= s.full() }) }

func read[V any](s *Server, get func() V) V {
	s.mu.Lock()
	defer s.mu.Unlock()
	return get()
}
