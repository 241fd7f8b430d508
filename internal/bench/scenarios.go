package bench

import (
	"context"
	"time"
)

// scenario is a load, a script of faults and the limits for the figures of the run.
type scenario struct {
	deployment  string
	duration    time.Duration
	load        func(r *run)
	script      func(ctx context.Context, r *run)
	mustAnswer  bool               // whether every query must get an answer
	limits      map[string]float64 // maximum of each figure, by the figure's name
	extraChecks func(r *run)
}

// Rates of mixedLoad.
const (
	readsPerSecond  = 60.0
	writesPerSecond = 15.0
)

// mixedLoad loads the sharded services with reads and one service with requests
// that are not idempotent, which callers resend after an error or an unknown outcome.
func mixedLoad(r *run) {
	for _, service := range r.cluster.Deployment().ReadServices() {
		r.load.AddReadStream(service, readsPerSecond)
	}
	r.load.AddWriteStream(r.cluster.Deployment().WriteService(), writesPerSecond)
	r.load.SetResendWrites(true)
}

// sleep waits for d and returns false if the run ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func scenarios() map[string]scenario {
	latency := map[string]float64{"p99 ms": maxP99Millis}
	zoneOut := map[string]float64{"last new work in zone s": maxLastNewWorkSeconds, "in force s": maxInForceSeconds}
	inForce := map[string]float64{"in force s": maxInForceSeconds}
	return map[string]scenario{
		"tour":               {deployment: "small", duration: 12 * time.Second, load: tourLoad, script: tour, mustAnswer: true, limits: zoneOut},
		"steady":             {deployment: "nordlys", duration: 10 * time.Second, load: mixedLoad, mustAnswer: true, limits: latency},
		"straggler":          {deployment: "nordlys", duration: 10 * time.Second, load: readLoad, script: straggler, mustAnswer: true, limits: map[string]float64{"p99 ms": maxP99Millis, "extra load %": maxExtraLoadPercent}},
		"cold_start":         {deployment: "nordlys", duration: 12 * time.Second, load: mixedLoad, script: coldStart, mustAnswer: true},
		"cold_rush":          {deployment: "small", duration: 12 * time.Second, load: rushLoad, script: coldStart, mustAnswer: true},
		"relapse":            {deployment: "nordlys", duration: 12 * time.Second, load: mixedLoad, script: relapse, mustAnswer: true},
		"zone_out_and_back":  {deployment: "nordlys", duration: 14 * time.Second, load: mixedLoad, script: zoneOutAndBack, mustAnswer: true, limits: zoneOut},
		"repartition":        {deployment: "small", duration: 10 * time.Second, load: mixedLoad, script: repartition, mustAnswer: true, limits: inForce},
		"version_change":     {deployment: "nordlys", duration: 10 * time.Second, load: mixedLoad, script: versionChange, mustAnswer: true},
		"platform_outage":    {deployment: "nordlys", duration: 14 * time.Second, load: mixedLoad, script: platformOutage, mustAnswer: true},
		"lost_reply":         {deployment: "nordlys", duration: 10 * time.Second, load: mixedLoad, script: lostReply, mustAnswer: true},
		"paused_holder":      {deployment: "nordlys", duration: 16 * time.Second, load: mixedLoad, script: pausedHolder},
		"node_loss":          {deployment: "nordlys", duration: 14 * time.Second, load: mixedLoad, script: nodeLoss},
		"rolling_restart":    {deployment: "small", duration: 40 * time.Second, load: mixedLoad, script: rollingRestart, mustAnswer: true},
		"two_operators":      {deployment: "nordlys", duration: 10 * time.Second, load: mixedLoad, script: twoOperators, mustAnswer: true, limits: inForce},
		"overload":           {deployment: "small", duration: 16 * time.Second, load: overloadLoad, script: overloadScript, extraChecks: compareGoodput},
		"cut_off_node":       {deployment: "nordlys", duration: 16 * time.Second, load: mixedLoad, script: cutOffNode, limits: zoneOut},
		"zone_out_in_outage": {deployment: "nordlys", duration: 16 * time.Second, load: mixedLoad, script: zoneOutInOutage, mustAnswer: true, limits: zoneOut},
		"loss_in_cold_start": {deployment: "nordlys", duration: 14 * time.Second, load: mixedLoad, script: lossInColdStart},
		"draining":           {deployment: "nordlys", duration: 8 * time.Second, load: mixedLoad, script: draining, mustAnswer: true, limits: map[string]float64{"last new work after drain s": maxLastNewWorkSeconds}},
		"hung_server":        {deployment: "nordlys", duration: 12 * time.Second, load: readLoad, script: hungServer, mustAnswer: true, limits: latency},
	}
}
