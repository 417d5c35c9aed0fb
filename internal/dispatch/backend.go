package dispatch

import (
	"math"
	"slices"
	"time"

	"stiletrail/internal/limit"
	"stiletrail/internal/query"
)

// latencyWeight is the weight of a new sample in the exponential moving average of a back end's latency.
const latencyWeight = 0.2

// A back end that has neither answered an attempt nor described itself for silentAfter is ranked as if it were
// silentFactor times as slow. It may be draining or down.
const (
	silentAfter  = 2 * time.Second
	silentFactor = 10
)

// backEnd is what the dispatcher knows of one back end of one service.
type backEnd struct {
	address string
	// window limits the attempts in flight to this node's share of the back end's slots.
	window  limit.ConcurrencyWindow
	holding query.Holding
	// described is true once the back end has said what it holds.
	described bool
	// draining is the set of sources that report the back end as draining.
	draining drainSignal
	// latency is the moving average of the latency of its answers, zero before the first one. Abandoned attempts count
	// with the time until then, if that exceeds the average.
	latency time.Duration
	queue   []*queuedAttempt
	// failures counts the attempts that failed since the last answer, and the descriptions missing while it answered
	// nothing.
	failures int
	// slow counts the attempts since the last answer that were cancelled because a hedge was faster or the deadline
	// passed.
	slow int
	// ejections counts the ejections since the last answer.
	ejections    int
	ejectedUntil time.Duration
	// notBefore is the earliest time of the next attempt: when the back end last shed one, plus the retry-after it
	// gave.
	notBefore   time.Duration
	lastSuccess time.Duration
	// refusedAt is when it last refused an attempt because it is draining.
	refusedAt time.Duration
	// lastHeard is when it last described itself or sent an answer that states what it holds.
	lastHeard    time.Duration
	nextDescribe time.Duration
	// describing is true while a Describe is in flight.
	describing    bool
	succeededOnce bool
}

// ejected reports whether the back end is taken out of use after failures.
func (b *backEnd) ejected(now time.Duration) bool { return now < b.ejectedUntil }

// usable reports whether new attempts may be sent to the back end.
func (b *backEnd) usable(now time.Duration) bool {
	return b.described && b.draining == 0 && !b.ejected(now) && b.window.Ceiling() > 0
}

// canStartNow reports whether an attempt given to the back end would start at once, without queueing.
func (b *backEnd) canStartNow(now time.Duration) bool {
	return b.window.HasCapacity() && len(b.queue) == 0 && now >= b.notBefore
}

// assumedLatency is the expected latency of a back end before its first answer. With zero the back end would be chosen
// for all work, and no queue at it would ever seem long.
const assumedLatency = 10 * time.Millisecond

// expectedLatency returns the average latency, or assumedLatency before the first answer.
func (b *backEnd) expectedLatency() time.Duration {
	if b.latency == 0 {
		return assumedLatency
	}
	return b.latency
}

// score estimates in nanoseconds how long an attempt given to the back end now takes until it is answered.
func (b *backEnd) score(now time.Duration) float64 {
	waiting := float64(b.window.InFlight() + len(b.queue) + 1)
	turns := math.Max(1, waiting/math.Max(1, float64(b.window.Size())))
	estimate := turns * float64(b.expectedLatency())
	if now < b.notBefore {
		estimate += float64(b.notBefore - now)
	}
	if now-b.lastHeard > silentAfter {
		// The back end may be draining or down. One that was heard from recently is preferred.
		estimate *= silentFactor
	}
	// Between otherwise equal back ends, the one with fewer attempts in flight and queued is preferred.
	return estimate * (1 + waiting/1000)
}

// expectedWait predicts how long an attempt waits for a slot if ahead other attempts are queued before it.
func (b *backEnd) expectedWait(ahead int) time.Duration {
	position := b.window.InFlight() + ahead + 1 - b.window.Size()
	if position <= 0 {
		return 0
	}
	return time.Duration(float64(b.expectedLatency()) * float64(position) / math.Max(1, float64(b.window.Size())))
}

// observeLatency adds a sample to the moving average of the latency.
func (b *backEnd) observeLatency(latency time.Duration) {
	if b.latency == 0 {
		b.latency = latency
		return
	}
	b.latency += time.Duration(latencyWeight * float64(latency-b.latency))
}

// observe records what the back end reports about itself.
func (b *backEnd) observe(now time.Duration, holding query.Holding) {
	b.holding = holding
	b.described = true
	b.lastHeard = now
	b.setDraining(drainByHealth, holding.State == query.StateDraining)
	if now-b.refusedAt > refusalValidity {
		b.setDraining(drainByAttempt, false)
	}
	if holding.State == query.StateCold {
		b.window.SetCold()
	}
}

// succeeded records that the back end answered an attempt after the given latency.
func (b *backEnd) succeeded(now, latency time.Duration) {
	b.failures, b.slow, b.ejections = 0, 0, 0
	b.lastSuccess = now
	b.succeededOnce = true
	b.observeLatency(latency)
	if b.holding.State != query.StateCold {
		b.window.Succeeded()
	}
}

// removeQueued removes the matching attempts from the back end's queue.
func (b *backEnd) removeQueued(match func(*queuedAttempt) bool) {
	b.queue = slices.DeleteFunc(b.queue, match)
}
