package lane

import (
	"context"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/jobs"
)

// Fresh returns the queries that arrived in this tick.
func (l *Lane) Fresh() []lagoon.RowID { return l.fresh }

// Plan lists a query to be planned in this tick.
func (l *Lane) Plan(id lagoon.RowID) { l.planned = append(l.planned, id) }

// ToPlan returns the queries to be planned.
func (l *Lane) ToPlan() []lagoon.RowID { return l.planned }

// Ready lists a leg to be sent in this tick.
func (l *Lane) Ready(id lagoon.RowID) { l.ready = append(l.ready, id) }

// ToSend returns the legs to be sent.
func (l *Lane) ToSend() []lagoon.RowID { return l.ready }

// Finish lists a query to be answered in this tick.
func (l *Lane) Finish(id lagoon.RowID) { l.finished = append(l.finished, id) }

// ToFinish returns the queries to be answered.
func (l *Lane) ToFinish() []lagoon.RowID { return l.finished }

// TakeResults returns and clears the outcomes of legs.
func (l *Lane) TakeResults() []lagoon.LegResult {
	r := l.results
	l.results = nil
	return r
}

// TakeBatches returns and clears the legs that other lanes and nodes sent.
func (l *Lane) TakeBatches() []*lagoon.LegBatch {
	b := l.batches
	l.batches = nil
	return b
}

// Cancels returns the withdrawals of legs.
func (l *Lane) Cancels() []*lagoon.LegCancel { return l.cancels }

// Told returns the outcomes of claims.
func (l *Lane) Told() []*lagoon.ClaimTold { return l.told }

// Ended returns the jobs whose requests ended.
func (l *Lane) Ended() []lagoon.RowID { return l.ended }

// Touch lists a gate that may send in this tick.
func (l *Lane) Touch(id lagoon.RowID) { l.touched = append(l.touched, id) }

// Touched returns the gates that may send.
func (l *Lane) Touched() []lagoon.RowID { return l.touched }

// DueRows returns the rows of a kind whose time has come.
func (l *Lane) DueRows(kind int) []lagoon.RowID { return l.dueRows[kind] }

// Launch sends a job's request to its server on a goroutine of its own, which
// reports the end to the mailbox. The caller must hold a slot for the job.
func (l *Lane) Launch(id lagoon.RowID, j *jobs.Row, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(l.ctx, timeout)
	j.SetStop(cancel)
	call := j.Call()
	call.SetTimeout(timeout)
	l.running.Add(1)
	go func() {
		defer l.running.Done()
		defer cancel()
		began := l.clock.Now()
		reply := l.upstream.Send(ctx, call)
		end := &jobEnd{job: id, reply: reply, took: l.clock.Now() - began}
		_ = l.box.Post(l.ctx, end) // fails only when the lane has stopped
	}()
}

// Note writes a decision to the journal.
func (l *Lane) Note(kind, subject, query, reason string) {
	if l.journal == nil {
		return
	}
	var d lagoon.Decision
	d.SetAt(l.clock.Wall())
	d.SetNode(l.view.Self())
	d.SetKind(kind)
	d.SetSubject(subject)
	d.SetQuery(query)
	d.SetReason(reason)
	l.journal.Note(d)
}
