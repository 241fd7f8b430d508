// Package acts holds the columns of one action that a node took, with its
// reason.
//
// # Usage
//
//	_, a := t.Add("")
//	a.SetKind("placement_written")
//	a.SetReason("node entry-2 was not heard for 1.6s")
//
// The rows are the night engineer's record. The world keeps the latest ones.
package acts

import "time"

//go:generate go run ../accgen -dir . -rows

// Row is one action.
type Row struct {
	seq     uint64    // the number of the action at this node, from 1
	at      time.Time // the wall time
	node    string    // the node that acted
	kind    string    // the kind of action, listed in docs/operate/actions.md
	subject string    // the server, zone, node or object that it is about
	reason  string    // why, in a sentence
}
