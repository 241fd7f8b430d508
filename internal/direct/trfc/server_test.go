package trfc_test

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
)

// server is a modeled server with slots and a queue.
type server struct {
	replica      lagoon.Replica
	meanTime     time.Duration // the mean time of one request
	slowdown     float64       // a factor of the mean time, above 1 for a slow server
	busySlots    int
	queue        []*job
	maxQueue     int     // the queue length above which it refuses requests
	silent       bool    // never responds
	unreachable  bool    // refuses connections
	dropsReplies bool    // runs requests and closes the connection without a response
	lossRate     float64 // the share of responses that are lost
	refusalRate  float64 // the share of requests that are refused
	resetRate    float64 // the share of requests whose connection is reset when they have just started
	pauseLength  time.Duration
	pausePeriod  time.Duration
	pausePhase   time.Duration
	runs         int
	arrivals     []time.Duration // when requests reached it
	leaving      bool            // whether its responses say that it is leaving
	limited      bool            // whether its responses name a limit for all nodes together
	limit        float64         // that limit, in requests per second
	closedUntil  time.Duration   // until when it refuses all requests and asks for a pause of the time that is left
	otherServer  string          // the ID of the server that responds in its place; empty for none
	failRate     float64         // the share of requests that it runs and answers with a failure
	reply        any             // what it responds with; nil for a reply without a stamp
	pace         *pace           // how its speed changes; nil for none
	jobs         []*job          // what was sent to it and has not ended, if it has a pace
	reportsSpeed bool            // whether its reports of load have a speed
	held         []*job          // what reached it and has not ended
	ended        bool            // whether a request ended it, so that it refuses connections
	ends         int             // how often it has ended
	endings      int             // of these, how often under a request
}

type job struct {
	sim      *sim // the node that sent it
	attempt  lagoon.RowID
	server   *server // nil until the request has reached it
	started  time.Duration
	arrives  time.Duration // when the request reaches the server
	ends     time.Duration // when the server will have run it; 0 before it has started
	work     time.Duration // how long it takes at the usual speed, for a server with a pace; the mean time of its request for any other, or 0 for that of the server
	payload  any           // of the request
	canceled bool
	done     bool
}

// startAttempt sends an attempt to a modeled server.
func (s *sim) startAttempt(id lagoon.RowID, a lagoon.Attempt) context.CancelFunc {
	s.attempts = append(s.attempts, a)
	replica := a.Replica()
	srv := s.servers[replica.ID()]
	j := &job{sim: s, attempt: id, started: s.now}
	j.work, _ = a.Payload().(time.Duration)
	j.payload = a.Payload()
	if srv.pace != nil {
		srv = s.place(j, srv, a)
	}
	there, _ := s.delays(srv)
	s.schedule(there, func() {
		if !srv.unreachable {
			j.server = srv
			srv.arrivals = append(srv.arrivals, s.now)
			srv.held = append(srv.held, j)
		}
		switch {
		case srv.unreachable:
			s.finish(j, lagoon.StatusNotSent)
		case srv.silent:
		case s.now < srv.closedUntil:
			s.finish(j, lagoon.StatusRefused)
		case srv.otherServer != "":
			s.finish(j, lagoon.StatusRefused)
		case s.rng.Float64() < srv.refusalRate:
			s.finish(j, lagoon.StatusRefused)
		case s.rng.Float64() < srv.resetRate:
			s.finish(j, lagoon.StatusUnknown)
		case srv.busySlots < replica.Slots():
			s.execute(srv, j)
		case len(srv.queue) < srv.maxQueue:
			srv.queue = append(srv.queue, j)
		default:
			s.finish(j, lagoon.StatusRefused)
		}
	})
	return func() {
		j.canceled = true
		s.schedule(0, func() { s.finish(j, lagoon.StatusUnknown) })
	}
}

func (s *sim) execute(srv *server, j *job) {
	srv.busySlots++
	srv.runs++
	endsServer(s, srv, j)
	run := srv.ends
	duration := time.Duration(float64(cmp.Or(j.work, srv.meanTime)) * srv.slowdown * (0.7 + 0.6*s.rng.Float64()))
	if srv.pace != nil {
		j.ends = srv.pace.end(s.now, j.work)
		duration = j.ends - s.now
	} else if srv.pausePeriod > 0 {
		if elapsed := (s.now + srv.pausePhase) % srv.pausePeriod; elapsed < srv.pauseLength {
			duration += srv.pauseLength - elapsed
		}
	}
	s.schedule(duration, func() {
		if srv.ends != run {
			return
		}
		srv.busySlots--
		srv.jobs = slices.DeleteFunc(srv.jobs, func(other *job) bool { return other == j })
		if srv.dropsReplies || s.rng.Float64() < srv.lossRate {
			s.finish(j, lagoon.StatusUnknown)
		} else if srv.failRate > 0 && s.rng.Float64() < srv.failRate {
			s.finish(j, lagoon.StatusFailed)
		} else {
			s.finish(j, lagoon.StatusOK)
		}
		for len(srv.queue) > 0 && srv.busySlots < srv.replica.Slots() {
			next := srv.queue[0]
			srv.queue = srv.queue[1:]
			if !next.canceled {
				next.sim.execute(srv, next)
			}
		}
	})
}

// finish reports the result of an attempt to the traffic loop, once.
func (s *sim) finish(j *job, status lagoon.Status) {
	if j.server != nil {
		j.server.held = slices.DeleteFunc(j.server.held, func(other *job) bool { return other == j })
	}
	var v lagoon.AttemptResult
	v.SetStatus(status)
	v.SetEnded(j.server != nil && j.server.ended && status == lagoon.StatusUnknown && !j.canceled)
	v.SetReply("answer")
	if j.server != nil && j.server.reply != nil {
		v.SetReply(j.server.reply)
	}
	if j.server != nil && status != lagoon.StatusUnknown {
		v.SetRunning(j.server.busySlots)
		v.SetQueued(len(j.server.queue))
		v.SetSlots(j.server.replica.Slots())
		if j.server.reportsSpeed {
			v.SetSlowdown(j.server.slowdown)
		}
		v.SetLeaving(j.server.leaving)
		v.SetLimitStated(true)
		v.SetLimited(j.server.limited)
		v.SetLimit(j.server.limit)
		v.SetPause(max(j.server.closedUntil-s.now, 0))
		v.SetLeavingServer(j.server.otherServer)
		v.SetAddressReused(j.server.otherServer != "")
		if p := j.server.pace; p != nil {
			v.SetRunning(j.server.busySlots + 1) // with the request that it answers
			v.SetSlowdown(p.reported(s.now))
			there, back := s.delays(j.server)
			v.SetConnOpened(true)
			v.SetConnectTime(there + back)
			if p.figures == 0 {
				v.SetSlots(0)
			}
		}
	}
	deliver := func() {
		if !j.done {
			j.done = true
			s.tick(loop.AttemptDone(j.attempt, v, s.now-j.started))
		}
	}
	if _, back := s.delays(j.server); back > 0 && !j.canceled {
		s.schedule(back, deliver)
		return
	}
	deliver()
}

// delays returns the times that a request and its response take on the network.
func (s *sim) delays(srv *server) (there, back time.Duration) {
	switch {
	case s.far == 0 || srv == nil:
		return time.Millisecond, 0
	case srv.replica.Zone() == s.zone:
		return near, near
	}
	return s.far, s.far
}
