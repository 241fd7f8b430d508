// Package budget limits extra requests, which are hedges and retries, to a
// percentage of the ordinary requests.
//
// # Usage
//
//	var b budget.Tokens
//	b.Deposit(requests, 5)    // 5 percent
//	if b.Take() { retry() }
//
// Each node limits its own extra requests to the same percentage of its own
// requests. The limit therefore holds for the sum over all nodes without
// coordination.
package budget

// Limits of a budget, in tokens.
const (
	maxTokens     = 20.0
	initialTokens = 4.0 // allows hedging before enough requests were counted
)

// Tokens is a token bucket. The zero value has initialTokens.
type Tokens struct {
	spent float64 // initialTokens minus the available tokens; may be negative
}

// Deposit adds a percentage of a number of ordinary requests to the tokens.
func (t *Tokens) Deposit(requests int, percent float64) { t.DepositUpTo(requests, percent, maxTokens) }

// DepositUpTo is like Deposit with a given maximum number of available tokens.
func (t *Tokens) DepositUpTo(requests int, percent, limit float64) {
	t.spent = max(initialTokens-limit, t.spent-float64(requests)*percent/100)
}

// Available returns the number of available tokens.
func (t *Tokens) Available() float64 { return initialTokens - t.spent }

// Take removes one token if one is available, and reports whether it was.
func (t *Tokens) Take() bool {
	if t.Available() < 1 {
		return false
	}
	t.spent++
	return true
}
