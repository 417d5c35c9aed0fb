// Package limit bounds load. It has budgets for extra attempts, windows that limit concurrent attempts, and a
// histogram of latencies that decays.
//
// Each value belongs to its caller and needs the caller's lock. Nothing here reads a clock, does I/O or draws random
// numbers.
package limit

import "math"

// Budget allows extra attempts, such as hedges and retries, as a share of first attempts. It is a token bucket that
// is filled by first attempts and not by time, so that the extra load stays a share of the present load.
type Budget struct {
	share    float64
	capacity float64
	tokens   float64
}

// NewBudget returns a budget that earns share tokens for each first attempt and holds at most capacity. It starts
// full, so that a service with few requests can still be hedged.
func NewBudget(share, capacity float64) Budget {
	return Budget{share: share, capacity: capacity, tokens: capacity}
}

// Earn adds the tokens for a number of first attempts.
func (b *Budget) Earn(attempts int) {
	b.tokens = math.Min(b.capacity, b.tokens+b.share*float64(attempts))
}

// Spend takes a token for each of a number of extra attempts. If there are too few, it takes none and returns false.
func (b *Budget) Spend(attempts int) bool {
	if b.tokens < float64(attempts) {
		return false
	}
	b.tokens -= float64(attempts)
	return true
}
