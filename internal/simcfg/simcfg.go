// Package simcfg defines the configuration of a simulated server.
//
// # Usage
//
//	var config simcfg.Config
//	config.SetSlots(4)
//	s := simsrv.New(config)
package simcfg

import "time"

//go:generate go run ../accgen -dir .

// Config is the configuration of a simulated server.
type Config struct {
	name              string        // the server name
	slots             int           // the number of requests that the server runs concurrently while it is warm
	maxConns          int           // the maximum number of connections that the server accepts
	connectTime       time.Duration // the time to open a connection
	meanLatency       time.Duration // the mean response time while the server is warm
	stragglerFraction float64       // the fraction of requests that are stragglers, 0 to 1
	stragglerFactor   float64       // the duration of a straggler, as a multiple of the mean latency
	warmUpPerSlot     int           // the number of completed requests after which a cold server can run one more concurrently
}
