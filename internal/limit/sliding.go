package limit

import (
	"slices"
	"time"
)

// The retry budget of a service at one node. One more extra attempt, a hedge or a retry, is allowed while
//
//	extras + 1 <= (1 - reserved) x (share x requests + slack)
//
// with
//
//	extras    extra attempts in a little more than the window                             counted here
//	requests  requests in a little less than the window                                   counted here
//	share     extra attempts per request: the setting retry_share less a margin           gateway.RetrySettings.Share
//	slack     extra attempts beyond the share: this node's part of retry_slack            gateway.RetrySettings.FleetSlack
//	reserved  the part, from 0 to 1, that hedges leave to retries; 0 for a retry          gateway.RetrySettings.HedgeReserve

// A window is counted in parts. The current part is not over, so the last windowParts parts cover less than a window,
// and one part more covers more than a window. Requests are counted in the former and extra attempts in the latter.
// The budget therefore holds over any window, wherever it begins.
const (
	windowParts = 10
	partsHeld   = windowParts + 1
)

// SlidingBudget allows extra attempts as a share of the requests in a sliding window of time. Each node counts only
// its own requests and spends only a share of them, so all nodes together keep the same share without exchanging
// anything. A node that has just started has nothing to spend.
type SlidingBudget struct {
	share  float64
	window time.Duration
	// newestPart is the number of the current part, counted from the start of the clock.
	newestPart int64
	// requests and extras have the counts of each part, at its number modulo partsHeld.
	requests [partsHeld]int
	extras   [partsHeld]int
}

// NewSlidingBudget returns a budget that allows share extra attempts per request over any window.
func NewSlidingBudget(share float64, window time.Duration) SlidingBudget {
	return SlidingBudget{share: share, window: window}
}

// SetShare changes the share from now on.
func (b *SlidingBudget) SetShare(share float64) { b.share = share }

// CountRequests counts requests that arrived now.
func (b *SlidingBudget) CountRequests(now time.Duration, count int) {
	b.requests[b.currentPart(now)] += count
}

// Spend takes one extra attempt out of the budget, or returns false if the budget does not allow it. The part
// reserved, from 0 to 1, stays in the budget for more urgent uses. slack is this node's part of the extra attempts
// that all nodes together may send in a window beyond the share.
func (b *SlidingBudget) Spend(now time.Duration, reserved, slack float64) bool {
	present := b.currentPart(now)
	if float64(b.extrasInWindow()+1) > (1-reserved)*(b.share*float64(b.requestsInWindow())+slack) {
		return false
	}
	b.extras[present]++
	return true
}

// Remaining returns the number of extra attempts that may be spent now with this node's slack, at least 0.
func (b *SlidingBudget) Remaining(now time.Duration, slack float64) float64 {
	b.currentPart(now)
	return max(0, b.share*float64(b.requestsInWindow())+slack-float64(b.extrasInWindow()))
}

// NextAt returns the earliest time at which the budget allows an extra attempt, if no part of the window until then brings
// more requests than the busiest part of the last window, and no extra attempts are spent before.
func (b *SlidingBudget) NextAt(now time.Duration, slack float64) time.Duration {
	b.currentPart(now)
	busiest := slices.Max(b.requests[:])
	ahead := *b
	part := b.window / windowParts
	for range partsHeld {
		if float64(ahead.extrasInWindow()+1) <= ahead.share*float64(ahead.requestsInWindow())+slack {
			break
		}
		next := ahead.newestPart + 1
		ahead.requests[ahead.newestPart%partsHeld] = busiest
		ahead.requests[next%partsHeld], ahead.extras[next%partsHeld] = busiest, 0
		ahead.newestPart = next
	}
	return max(now, time.Duration(ahead.newestPart)*part)
}

// currentPart clears the parts that have left the window and returns the index of the current part.
func (b *SlidingBudget) currentPart(now time.Duration) int64 {
	number := int64(now / (b.window / windowParts))
	for step := max(b.newestPart+1, number-partsHeld+1); step <= number; step++ {
		b.requests[step%partsHeld] = 0
		b.extras[step%partsHeld] = 0
	}
	b.newestPart = max(b.newestPart, number)
	return b.newestPart % partsHeld
}

// requestsInWindow returns the requests of a little less than a window.
func (b *SlidingBudget) requestsInWindow() int {
	oldest := (b.newestPart + 1) % partsHeld
	return sum(b.requests) - b.requests[oldest]
}

// extrasInWindow returns the extra attempts of a little more than a window.
func (b *SlidingBudget) extrasInWindow() int { return sum(b.extras) }

func sum(counts [partsHeld]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
