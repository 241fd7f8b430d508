package lane

import (
	"context"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/jobs"
)

// NewQueries returns the queries that arrived in this tick.
func (l *Lane) NewQueries() []lagoon.RowID { return l.newQueries }

// SchedulePlan adds a query to those that are planned in this tick.
func (l *Lane) SchedulePlan(id lagoon.RowID) { l.toPlan = append(l.toPlan, id) }

// ToPlan returns the queries to plan in this tick.
func (l *Lane) ToPlan() []lagoon.RowID { return l.toPlan }

// ScheduleSend adds a shard request to those that are sent in this tick.
func (l *Lane) ScheduleSend(id lagoon.RowID) { l.toSend = append(l.toSend, id) }

// ToSend returns the shard requests to send in this tick.
func (l *Lane) ToSend() []lagoon.RowID { return l.toSend }

// ScheduleFinish adds a query to those that are answered in this tick.
func (l *Lane) ScheduleFinish(id lagoon.RowID) { l.toFinish = append(l.toFinish, id) }

// ToFinish returns the queries to answer in this tick.
func (l *Lane) ToFinish() []lagoon.RowID { return l.toFinish }

// TakeResponses returns the shard responses received and clears the list.
func (l *Lane) TakeResponses() []lagoon.ShardResponse {
	r := l.responses
	l.responses = nil
	return r
}

// TakeBatches returns the batches of shard requests received from lanes and nodes
// and clears the list.
func (l *Lane) TakeBatches() []*lagoon.ShardRequestBatch {
	b := l.batches
	l.batches = nil
	return b
}

// Cancels returns the cancellations of shard requests received in this tick.
func (l *Lane) Cancels() []*lagoon.ShardRequestCancel { return l.cancels }

// ClaimResponses returns the claim responses received in this tick.
func (l *Lane) ClaimResponses() []*lagoon.ClaimResponse { return l.claimResponses }

// EndedJobs returns the jobs whose requests to servers ended in this tick.
func (l *Lane) EndedJobs() []lagoon.RowID { return l.endedJobs }

// ScheduleLaunch adds a gate to those whose queued jobs are launched in this tick.
func (l *Lane) ScheduleLaunch(id lagoon.RowID) { l.toLaunch = append(l.toLaunch, id) }

// ToLaunch returns the gates whose queued jobs may be launched in this tick.
func (l *Lane) ToLaunch() []lagoon.RowID { return l.toLaunch }

// DueRows returns the rows whose timers of a kind have expired.
func (l *Lane) DueRows(kind int) []lagoon.RowID { return l.dueRows[kind] }

// Launch sends a job's request to its server from a new goroutine, which posts the
// result to the lane's mailbox. The caller must have reserved a slot for the job.
func (l *Lane) Launch(id lagoon.RowID, j *jobs.Row, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(l.ctx, timeout)
	j.SetCancel(cancel)
	call := j.Call()
	call.SetTimeout(timeout)
	l.running.Add(1)
	go func() {
		defer l.running.Done()
		defer cancel()
		began := l.clock.Now()
		reply := l.upstream.Send(ctx, call)
		end := &jobResult{job: id, reply: reply, duration: l.clock.Now() - began}
		_ = l.mailbox.Post(l.ctx, end) // fails only if the lane has stopped
	}()
}

// Record writes a decision to the journal. requestID is empty if the decision does
// not concern a single query.
func (l *Lane) Record(kind, subject, requestID, reason string) {
	if l.journal == nil {
		return
	}
	var d lagoon.Decision
	d.SetTime(l.clock.Wall())
	d.SetNode(l.view.Self())
	d.SetKind(kind)
	d.SetSubject(subject)
	d.SetRequestID(requestID)
	d.SetReason(reason)
	l.journal.Record(d)
}
