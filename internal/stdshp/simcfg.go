// Package simcfg defines the configuration of a simulated server.
//
// # Usage
//
//	var config simcfg.Config
//	config.SetSlots(4)
//	s := simsrv.New(config)
package stdshp

import "time"

//go:generate go run ../accgen -dir .

// Config is the configuration of a simulated server.
type Shape struct {
	name           string        // the server name
	slots          int           // the number of requests that the server runs concurrently while it is warm
	conns          int           // the maximum number of connections that the server accepts
	open           time.Duration // the time to open a connection
	mean           time.Duration // the mean response time while the server is warm
	straggle       float64       // the fraction of requests that are stragglers, 0 to 1
	straggleFactor float64       // the duration of a straggler, as a multiple of the mean latency
	warmPerSlot    int           // the number of completed requests after which a cold server can run one more concurrently
}
