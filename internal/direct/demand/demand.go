// Package demand holds what requests of one route ask of the servers, and whether the servers
// can serve them within the objective.
//
// # Usage
//
//	row := table.Ensure("look-browse")
//	row.SetWork(work)
//
// Rows are keyed by route name.
package demand

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

//go:generate go run ../../accgen -dir . -rows

// Row is the demand of one route.
type Row struct {
	route        *lagoon.Route   // the route in the catalog that pool was determined from
	pool         string          // the key of the pool that its services belong to
	work         time.Duration   // the moving average of the time that one attempt takes in a slot, at the usual speed
	late         bool            // whether too many of its services are late
	pressure     float64         // the mean wait at the best server of each service, relative to the wait that the objective allows
	lateSince    []time.Duration // since when each of its services has been late; 0 for one that is not
	expectedTime time.Duration   // when enough servers are expected to have responded, from the arrival of a request; 0 if it is unknown
	speedAt      time.Duration   // when a server of its services last reported its speed; 0 for never
	samples      int             // the number of samples of work
}
