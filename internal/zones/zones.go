// Package zones holds the columns of one availability zone in the control
// tables.
//
// # Usage
//
//	var t rows.Table[zones.Row]
//	t.Ensure("cph-1").SetOut(true)
//
// The config system writes the rows; the publish system reads them.
package zones

//go:generate go run ../accgen -dir . -rows

// Row is one availability zone, keyed by its name.
type Row struct {
	out      bool   // whether operators have taken the zone out
	version  uint64 // the resource version of the declaration
	returned uint64 // the resource version at which the zone may have come back last; 0 when it never was out
	reason   string // the operator's words for the last change
}
