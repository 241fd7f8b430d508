// Package stdshp holds the shape of a stand-in server.
//
// # Usage
//
//	var shape stdshp.Shape
//	shape.SetSlots(4)
//	s := stdsrv.New(shape)
package stdshp

import "time"

//go:generate go run ../accgen -dir .

// Shape says how a stand-in server behaves.
type Shape struct {
	name           string        // the server's name
	slots          int           // requests that it runs at once while warm
	conns          int           // connections that it accepts
	open           time.Duration // time to open a connection
	mean           time.Duration // mean time of a request while warm
	straggle       float64       // share of requests that straggle, 0 to 1
	straggleFactor float64       // times the mean that a straggling request takes
	warmPerSlot    int           // requests served before the server bears one more at once
}
