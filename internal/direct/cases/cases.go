// Package cases holds the requests under which servers ended.
//
// # Usage
//
//	row := cases.Ensure(table, fingerprint, now)
//	row.RecordRef().End(end)
//	news := cases.Merge(table, requestCase, now)
//
// Rows are keyed by the fingerprint of the request. Control and traffic each have such a table.
package cases

import (
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/rows"
	"github.com/lagoontrail/lagoon/pkg/crash"
)

//go:generate go run ../../accgen -dir . -rows

// maxRows is the number of rows above which the one with the oldest evidence is forgotten.
const maxRows = 1024

// Row is a request under which servers ended.
type Row struct {
	changedAt time.Duration  // when this node learned of the last evidence that others are told of
	told      lagoon.Verdict // the verdict that was last logged

	record crash.Record
}

// RecordRef returns the evidence, to be modified in place.
func (r *Row) RecordRef() *crash.Record { return &r.record }

// Ensure returns the row of a request, and makes room for it if it is new.
func Ensure(table *rows.Table[Row], fingerprint string, now time.Duration) *Row {
	if row, ok := table.Find(fingerprint); ok {
		return row
	}
	if table.Len() >= maxRows {
		Sweep(table, now)
	}
	if table.Len() >= maxRows {
		forgetOldest(table)
	}
	return table.Ensure(fingerprint)
}

// End adds the end of a server run to the evidence against a request, and reports whether that is
// news. If it counts against others as well, it is shared by all of them.
func End(table *rows.Table[Row], fingerprint string, end lagoon.ServerEnd, now time.Duration) bool {
	for i := range table.Len() {
		if table.Key(i) != fingerprint && table.At(i).record.Share(end.Server(), end.StartedMilli()) {
			end.SetShared(true)
		}
	}
	row := Ensure(table, fingerprint, now)
	if !row.record.End(end) {
		return false
	}
	row.changedAt = now
	return true
}

// Merge adds what another node knows of a request, and reports whether that is news.
func Merge(table *rows.Table[Row], c lagoon.RequestCase, now time.Duration) bool {
	news := false
	for _, end := range c.Ends() {
		if end.Server() == "" {
			continue // no node sends that
		}
		end.SetSentAt(now - (c.Now() - end.SentAt()))
		end.SetEndedAt(now - (c.Now() - end.EndedAt()))
		news = End(table, c.Fingerprint(), end, now) || news
	}
	return news
}

// Judge decides whether a request is blamed for the ends of servers, and takes these from the evidence
// against others if it is.
func Judge(table *rows.Table[Row], fingerprint string) {
	row, ok := table.Find(fingerprint)
	if !ok {
		return
	}
	if row.record.Sufficient() && !row.record.Convicted() {
		for i := range table.Len() {
			if table.Key(i) != fingerprint && table.At(i).record.Outweighs(&row.record) {
				return
			}
		}
		row.record.Convict()
	}
	if !row.record.Convicted() {
		return
	}
	for i := range table.Len() {
		if table.Key(i) != fingerprint {
			table.At(i).record.Explain(&row.record)
		}
	}
}

// CaseOf returns what others are told of a request.
func CaseOf(fingerprint string, row *Row, now time.Duration) lagoon.RequestCase {
	var c lagoon.RequestCase
	c.SetFingerprint(fingerprint)
	c.SetNow(now)
	c.SetEnds(slices.Clone(row.record.Ends())) // the record changes while the message is on its way
	return c
}

// Sweep removes the rows that say nothing any more.
func Sweep(table *rows.Table[Row], now time.Duration) {
	for i := table.Len() - 1; i >= 0; i-- {
		if table.At(i).record.Expired(now) {
			table.RemoveKey(table.Key(i))
		}
	}
}

// forgetOldest removes the row with the oldest evidence.
func forgetOldest(table *rows.Table[Row]) {
	oldest := 0
	for i := range table.Len() {
		if table.At(i).record.LastEnd() < table.At(oldest).record.LastEnd() {
			oldest = i
		}
	}
	table.RemoveKey(table.Key(oldest))
}
