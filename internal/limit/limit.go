// Package limit holds the small pieces that bound load: budgets for extra attempts, windows of concurrency and
// a decaying histogram of latencies. None reads a clock.
package limit

import (
	"math"
	"time"
)

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

// Window bounds the attempts in flight at one back end. It never exceeds its ceiling, the node's part of the
// back end's slots; it is halved when the back end sheds and grows by one slot per window of good answers.
type Window struct {
	ceiling  float64
	size     float64
	inFlight int
	// lastCut limits cuts to one per round trip.
	lastCut time.Duration
}

// minimumWindow keeps one attempt going, by which recovery is noticed.
const minimumWindow = 1

// NewWindow returns a window that starts at one and may grow to the ceiling.
func NewWindow(ceiling int) Window {
	return Window{ceiling: float64(ceiling), size: math.Min(minimumWindow, float64(ceiling))}
}

// Restart puts the window back to one attempt, for a back end that comes back from an ejection.
func (w *Window) Restart() { w.size = math.Min(minimumWindow, w.ceiling) }

// SetCold keeps a back end that says it is cold at one attempt.
func (w *Window) SetCold() { w.Restart() }

// SetCeiling changes the part of the slots; attempts in flight stay counted.
func (w *Window) SetCeiling(ceiling int) {
	w.ceiling = float64(ceiling)
	w.size = math.Min(math.Max(w.size, minimumWindow), w.ceiling)
}

// Ceiling is the largest size.
func (w *Window) Ceiling() int { return int(w.ceiling) }

// Size is the number of attempts allowed at once.
func (w *Window) Size() int { return int(w.size) }

// InFlight is the number of attempts under way.
func (w *Window) InFlight() int { return w.inFlight }

// HasRoom reports whether another attempt may start.
func (w *Window) HasRoom() bool { return w.inFlight < int(w.size) }

// Start counts an attempt in.
func (w *Window) Start() { w.inFlight++ }

// Finish counts an attempt out.
func (w *Window) Finish() {
	if w.inFlight == 0 {
		panic("limit: attempt finished that was not started")
	}
	w.inFlight--
}

// Succeeded grows the window after an answer.
func (w *Window) Succeeded() {
	w.size = math.Min(w.ceiling, w.size+1/math.Max(w.size, 1))
}

// Shed halves the window after the back end refused for lack of slots, at most once per round trip.
func (w *Window) Shed(now, roundTrip time.Duration) {
	if w.lastCut > 0 && now-w.lastCut < roundTrip {
		return
	}
	w.lastCut = now
	w.size = math.Max(math.Min(minimumWindow, w.ceiling), w.size/2)
}

const (
	bucketsPerDoubling = 4
	buckets            = 80
	smallestLatency    = 50 * time.Microsecond
	// decayAfter samples all counts are halved, so that the histogram follows the last few hundred.
	decayAfter = 512
)

// Latencies is a decaying histogram of latencies with logarithmic buckets (a quarter of a doubling each, from
// 50 microseconds to about 50 seconds); 336 bytes.
type Latencies struct {
	counts [buckets]float32
	total  float32
}

func bucketOf(latency time.Duration) int {
	if latency <= smallestLatency {
		return 0
	}
	bucket := int(math.Log2(float64(latency)/float64(smallestLatency)) * bucketsPerDoubling)
	return min(bucket, buckets-1)
}

// Record adds a sample.
func (l *Latencies) Record(latency time.Duration) {
	l.counts[bucketOf(latency)]++
	l.total++
	if l.total < decayAfter {
		return
	}
	for i := range l.counts {
		l.counts[i] /= 2
	}
	l.total /= 2
}

// Samples is the weight of what was recorded, after decay.
func (l *Latencies) Samples() int { return int(l.total) }

// Quantile returns the upper edge of the bucket that holds the quantile, or otherwise while there are too few
// samples (fewer than minimum) to say.
func (l *Latencies) Quantile(quantile float64, minimum int, otherwise time.Duration) time.Duration {
	if l.Samples() < minimum {
		return otherwise
	}
	below := float32(quantile) * l.total
	var sum float32
	for i, count := range l.counts {
		sum += count
		if sum >= below {
			edge := math.Exp2(float64(i+1) / bucketsPerDoubling)
			return time.Duration(float64(smallestLatency) * edge)
		}
	}
	return otherwise
}
