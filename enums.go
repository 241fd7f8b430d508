package lagoon

import "github.com/pkg/errors"

// Errors of the Store interface.
var (
	ErrAbsent      = errors.New("object is absent")
	ErrConflict    = errors.New("object has another version")
	ErrUnavailable = errors.New("platform gave no answer")
	ErrHistory     = errors.New("history is gone")
)

// Status says how a call or a leg ended.
type Status uint8

// The ways a call or a leg ends. StatusNotSent, StatusRefused and
// StatusVersionGone are said only when the request surely did not run.
const (
	StatusUnknown     Status = iota // the request may have run
	StatusOK                        // the server answered
	StatusNotSent                   // no byte of the request left the node
	StatusRefused                   // the server or its owner refused the request before running it
	StatusVersionGone               // the server does not hold the snapshot
	StatusExpired                   // the deadline passed before the request was sent
	StatusFailed                    // the server ran the request and answered with a failure
)

// String returns the status in snake case.
func (s Status) String() string {
	names := [...]string{"unknown", "ok", "not_sent", "refused", "version_gone", "expired", "failed"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// NotRun reports whether the request surely did not run.
func (s Status) NotRun() bool { return s >= StatusNotSent && s <= StatusExpired }

// Outcome says how a query ended.
type Outcome uint8

// The outcomes of a query.
const (
	OutcomeUnknown  Outcome = iota // the request may have run, and its answer is lost
	OutcomeAnswered                // every shard is covered
	OutcomePartial                 // some shards are covered
	OutcomeNotRun                  // the request surely did not run
	OutcomeInvalid                 // the request is malformed; it did not run
)

// String returns the outcome in snake case.
func (o Outcome) String() string {
	names := [...]string{"unknown", "answered", "partial", "not_run", "invalid"}
	if int(o) >= len(names) {
		return "invalid"
	}
	return names[o]
}

// ClaimOutcome says what became of a claim on a request id.
type ClaimOutcome uint8

// The outcomes of a claim.
const (
	ClaimUnavailable ClaimOutcome = iota // surely not recorded, the platform gave no answer
	ClaimGranted                         // this attempt holds the claim
	ClaimHeld                            // another attempt holds the claim
	ClaimForgotten                       // the id is older than the claims remembered
	ClaimVoided                          // the claim is void again
	ClaimUnsure                          // the write may have taken effect
)

// Sample is what one finished request shows of a server's warmth.
type Sample uint8

// The samples of a RampPolicy.
const (
	SampleOK      Sample = iota // answered in the usual time, below the limit
	SampleFull                  // answered in the usual time, with the limit in use
	SampleCold                  // refused for overload, or as slow as a cold server
	SampleRestart               // the start id changed
)

// Topic says what News are about.
type Topic uint8

// The topics of News.
const (
	TopicCatalog  Topic = iota // what operators declared
	TopicReplicas              // servers
	TopicZones                 // availability zones taken out
	TopicMembers               // nodes
)

// Topics lists all topics.
var Topics = [...]Topic{TopicCatalog, TopicReplicas, TopicZones, TopicMembers}

// String returns the topic in snake case.
func (t Topic) String() string {
	names := [...]string{"catalog", "replicas", "zones", "members"}
	if int(t) >= len(names) {
		return "invalid"
	}
	return names[t]
}

// End says how a routed request ends.
type End uint8

// The ends of a routed request. EndRefused is said only when the request surely
// did not run and never will.
const (
	EndLost     End = iota // the request may have run, and its answer is lost
	EndServed              // one server answered
	EndFailed              // one server ran the request and answered with a failure
	EndGathered            // the answers of enough shards are there
	EndRefused             // the request did not run
	EndExpired             // the time ran out
	EndNoRoute             // no route is declared for it
	EndTooLarge            // the body is over the declared limit
	EndGone                // the caller went away
)

// String returns the end in snake case.
func (e End) String() string {
	names := [...]string{"lost", "served", "failed", "gathered", "refused", "expired", "no_route", "too_large", "gone"}
	if int(e) >= len(names) {
		return "invalid"
	}
	return names[e]
}
