// Package budget bounds extra requests, hedges and retries, to a share of the
// ordinary ones.
//
// # Usage
//
//	var b budget.Tokens
//	b.Earn(requests, 5)       // five percent
//	if b.Take() { sendAgain() }
//
// Each node bounds its own extra requests to the same share of its own
// requests, so the bound holds for the sum over all nodes without exchange.
package budget

// Bounds of a budget, in tokens.
const (
	burst  = 20.0 // the most that may be saved up
	credit = 4.0  // what a new budget starts with, so that the first straggler can be fought
)

// Tokens is a budget. The zero value has its first credit.
type Tokens struct {
	spent float64 // credit less the tokens that are there
}

// Earn adds the tokens of a number of ordinary requests at a percentage.
func (t *Tokens) Earn(requests int, percent float64) { t.EarnUpTo(requests, percent, burst) }

// EarnUpTo is Earn with a bound on the tokens that are saved up.
func (t *Tokens) EarnUpTo(requests int, percent, most float64) {
	t.spent = max(credit-most, t.spent-float64(requests)*percent/100)
}

// Left returns the tokens left.
func (t *Tokens) Left() float64 { return credit - t.spent }

// Take spends one token and reports whether there was one.
func (t *Tokens) Take() bool {
	if t.Left() < 1 {
		return false
	}
	t.spent++
	return true
}
