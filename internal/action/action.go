// Package action defines the rows of the action log: what a node did and why.
//
// # Usage
//
//	_, a := t.Add("")
//	a.SetKind("placement_proposed")
//	a.SetReason("node entry-2 stopped, failed or restarted")
//
// On-call engineers read the log through a node's HTTP API. The control loop
// keeps the most recent rows.
package action

import "time"

//go:generate go run ../accgen -dir . -rows

// Row is one action of this node.
type Row struct {
	seq     uint64    // the sequence number of the action at this node, from 1
	time    time.Time // the wall time
	node    string    // the node that acted
	kind    string    // the kind of action, listed in docs/operate/actions.md
	subject string    // the server, zone, node or object that the action concerns
	reason  string    // the reason, in a sentence
}
