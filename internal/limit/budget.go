// Package limit bounds load: budgets for extra attempts, windows of concurrency, and a decaying histogram of latencies.
//
// Each value is owned by its caller, under the caller's lock; none reads a clock, does I/O or draws a random number.
package limit

import "math"

// Budget allows extra work, such as hedges or retries, as a share of first attempts. It is a token bucket whose
// tokens come from work done and not from time, so extra load stays a share of the load there is.
type Budget struct {
	share    float64
	capacity float64
	tokens   float64
}

// NewBudget returns a budget that earns share tokens for each first attempt and holds at most capacity.
// It starts full, so that a rare request may still be hedged.
func NewBudget(share, capacity float64) Budget {
	return Budget{share: share, capacity: capacity, tokens: capacity}
}

// Earn adds the share of the given number of first attempts.
func (b *Budget) Earn(attempts int) {
	b.tokens = math.Min(b.capacity, b.tokens+b.share*float64(attempts))
}

// Spend takes tokens for extra attempts, or none and returns false.
func (b *Budget) Spend(attempts int) bool {
	if b.tokens < float64(attempts) {
		return false
	}
	b.tokens -= float64(attempts)
	return true
}
