// Package zones defines the control table of availability zones.
//
// # Usage
//
//	var t rows.Table[zones.Row]
//	t.Ensure("cph-1").SetOut(true)
//
// Adopting a configuration writes the rows; the publsh system reads them.
package zones

//go:generate go run ../accgen -dir . -rows

// Row is one availability zone, keyed by its name.
type Row struct {
	out             bool   // whether operators have taken the zone out
	version         uint64 // the resource version of the declaration
	restoredVersion uint64 // the latest resource version at which the zone may have returned to service; 0 if it was never out
	reason          string // the operator's reason for the last change
}
