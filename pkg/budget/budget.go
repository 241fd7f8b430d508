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

// burst is the largest number of tokens that may be saved up.
const burst = 20.0

// Tokens is a budget. The zero value has none.
type Tokens struct {
	have float64
}

// Earn adds the tokens of a number of ordinary requests at a percentage.
func (t *Tokens) Earn(requests int, percent float64) {
	t.have = min(burst, t.have+float64(requests)*percent/100)
}

// Left returns the tokens left.
func (t *Tokens) Left() float64 { return t.have }

// Take spends one token and reports whether there was one.
func (t *Tokens) Take() bool {
	if t.have < 1 {
		return false
	}
	t.have--
	return true
}
