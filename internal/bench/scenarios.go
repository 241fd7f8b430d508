package bench

import (
	"context"
	"time"
)

// scenario is a load, a script of failures and the bounds on what comes of it.
type scenario struct {
	deployment string
	length     time.Duration
	load       func(r *run)
	script     func(ctx context.Context, r *run)
	cutOff     bool               // whether no query may end without an answer
	bounds     map[string]float64 // figures with their highest values
	after      func(r *run)       // further checks
}

// Rates of the ordinary load, in queries a second.
const (
	readRate  = 60.0
	writeRate = 15.0
)

// ordinary is the load of most scenarios: reads on the services with many
// shards and requests that are not idempotent, sent again when their outcome is
// unclear.
func ordinary(r *run) {
	for _, service := range r.rig.Deployment().Reads() {
		r.load.SetReads(service, readRate)
	}
	r.load.SetWrites(r.rig.Deployment().Writes(), writeRate)
	r.load.SetResend(true)
}

// sleep waits and reports false when the run is over.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func scenarios() map[string]scenario {
	tail := map[string]float64{"p99 ms": p99Bound}
	zone := map[string]float64{"last new work in zone s": zoneBound, "in force s": inForceBound}
	force := map[string]float64{"in force s": inForceBound}
	return map[string]scenario{
		"tour":               {deployment: "small", length: 12 * time.Second, load: tourLoad, script: tour, cutOff: true, bounds: zone},
		"steady":             {deployment: "nordlys", length: 10 * time.Second, load: ordinary, cutOff: true, bounds: tail},
		"straggler":          {deployment: "nordlys", length: 10 * time.Second, load: readsOnly, script: straggler, cutOff: true, bounds: map[string]float64{"p99 ms": p99Bound, "extra load %": extraBound}},
		"cold_start":         {deployment: "nordlys", length: 12 * time.Second, load: ordinary, script: coldStart, cutOff: true},
		"cold_rush":          {deployment: "small", length: 12 * time.Second, load: rush, script: coldStart, cutOff: true},
		"relapse":            {deployment: "nordlys", length: 12 * time.Second, load: ordinary, script: relapse, cutOff: true},
		"zone_out_and_back":  {deployment: "nordlys", length: 14 * time.Second, load: ordinary, script: zoneOutAndBack, cutOff: true, bounds: zone},
		"repartition":        {deployment: "small", length: 10 * time.Second, load: ordinary, script: repartition, cutOff: true, bounds: force},
		"version_change":     {deployment: "nordlys", length: 10 * time.Second, load: ordinary, script: versionChange, cutOff: true},
		"platform_outage":    {deployment: "nordlys", length: 14 * time.Second, load: ordinary, script: platformOutage, cutOff: true},
		"lost_reply":         {deployment: "nordlys", length: 10 * time.Second, load: ordinary, script: lostReply, cutOff: true},
		"paused_holder":      {deployment: "nordlys", length: 16 * time.Second, load: ordinary, script: pausedHolder},
		"node_loss":          {deployment: "nordlys", length: 14 * time.Second, load: ordinary, script: nodeLoss},
		"rolling_restart":    {deployment: "small", length: 40 * time.Second, load: ordinary, script: rollingRestart, cutOff: true},
		"two_operators":      {deployment: "nordlys", length: 10 * time.Second, load: ordinary, script: twoOperators, cutOff: true, bounds: force},
		"overload":           {deployment: "small", length: 16 * time.Second, load: overload, script: overloadScript, after: goodput},
		"cut_off_node":       {deployment: "nordlys", length: 16 * time.Second, load: ordinary, script: cutOffNode, bounds: zone},
		"zone_out_in_outage": {deployment: "nordlys", length: 16 * time.Second, load: ordinary, script: zoneOutInOutage, cutOff: true, bounds: zone},
		"loss_in_cold_start": {deployment: "nordlys", length: 14 * time.Second, load: ordinary, script: lossInColdStart},
		"draining":           {deployment: "nordlys", length: 8 * time.Second, load: ordinary, script: draining, cutOff: true, bounds: map[string]float64{"last new work after drain s": zoneBound}},
		"hung_server":        {deployment: "nordlys", length: 12 * time.Second, load: readsOnly, script: hungServer, cutOff: true, bounds: tail},
	}
}
