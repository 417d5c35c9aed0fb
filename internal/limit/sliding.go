package limit

import "time"

// The retry budget of a service at one node. Another extra attempt, a hedge or a retry, is allowed while
//
//	spent + 1 <= (1 - keptBack) x (share x asked + slack)
//
// with
//
//	spent     extra attempts of a little more than the window                                 counted here
//	asked     requests of a little less than the window                                       counted here
//	share     extra attempts for each request: the setting retry_share less a margin          gateway.Settings.RetryShare
//	slack     extra attempts beyond the share: this node's part of the setting retry_slack    gateway.Settings.RetrySlack
//	keptBack  the part, from 0 to 1, that hedges leave to retries; 0 for a retry              gateway.Settings.HedgeReserve

// A window is counted in parts. The present part is not over, so that the last windowParts reach back for less than a
// window, and one more for more than one: requests are counted in the former and extra attempts in the latter, which
// makes the sum hold for any window, wherever it begins.
const (
	windowParts = 10
	partsKept   = windowParts + 1
)

// SlidingBudget allows extra attempts as a share of the requests seen in a window of time. Each node counts only its own
// requests and spends only a share of them, so that the sum over all nodes keeps the same share without any exchange between
// them; a node that has just started has nothing to spend.
type SlidingBudget struct {
	share  float64
	window time.Duration
	// newest is the number of the present part of a window, counted from the start of the clock.
	newest int64
	// requests and extras of each part, by its number modulo partsKept.
	requests [partsKept]int
	extras   [partsKept]int
}

// NewSlidingBudget returns a budget of share extra attempts per request over any window.
func NewSlidingBudget(share float64, window time.Duration) SlidingBudget {
	return SlidingBudget{share: share, window: window}
}

// SetShare changes the share from now on.
func (b *SlidingBudget) SetShare(share float64) { b.share = share }

// CountRequests counts requests in.
func (b *SlidingBudget) CountRequests(now time.Duration, count int) {
	b.requests[b.present(now)] += count
}

// Spend takes one extra attempt out of the budget, or reports false. The part of the budget that is kept back, from 0 to 1,
// is left for more urgent uses. The slack is this node's part of what all nodes may spend in a window beyond the share.
func (b *SlidingBudget) Spend(now time.Duration, keptBack, slack float64) bool {
	present := b.present(now)
	if float64(b.spent()+1) > (1-keptBack)*(b.share*float64(b.asked())+slack) {
		return false
	}
	b.extras[present]++
	return true
}

// Remaining is the number of extra attempts that may be spent now, with this node's slack, at least 0.
func (b *SlidingBudget) Remaining(now time.Duration, slack float64) float64 {
	b.present(now)
	return max(0, b.share*float64(b.asked())+slack-float64(b.spent()))
}

// present clears what has left the window and returns the index of the present part.
func (b *SlidingBudget) present(now time.Duration) int64 {
	number := int64(now / (b.window / windowParts))
	for step := max(b.newest+1, number-partsKept+1); step <= number; step++ {
		b.requests[step%partsKept] = 0
		b.extras[step%partsKept] = 0
	}
	b.newest = max(b.newest, number)
	return b.newest % partsKept
}

// asked counts the requests of a little less than a window.
func (b *SlidingBudget) asked() int {
	oldest := (b.newest + 1) % partsKept
	return sum(b.requests) - b.requests[oldest]
}

// spent counts the extra attempts of a little more than a window.
func (b *SlidingBudget) spent() int { return sum(b.extras) }

func sum(counts [partsKept]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
