package dispatch

import (
	"math"
	"slices"
	"time"

	"stiletrail/internal/limit"
	"stiletrail/internal/query"
)

// latencyWeight is the weight of a new sample in a back end's moving average.
const latencyWeight = 0.2

// A back end that neither answered nor described itself for unheardAfter is taken for unheardFactor times as slow.
const (
	unheardAfter  = 2 * time.Second
	unheardFactor = 10
)

// backEnd is the dispatcher's view of one back end for one service.
type backEnd struct {
	address string
	window  limit.ConcurrencyWindow
	holding query.Holding
	// described: the holding is known.
	described bool
	draining  drainSignal
	// latency is a moving average, zero while nothing was answered.
	latency time.Duration
	queue   []*queuedAttempt
	// failures in a row of attempts; slow counts attempts in a row that lost to a hedge or the deadline.
	failures int
	slow     int
	// ejections since the last answer.
	ejections    int
	ejectedUntil time.Duration
	// notBefore is when the back end may be asked again: when it last shed, plus the retry-after it gave.
	notBefore   time.Duration
	lastSuccess time.Duration
	// refusedAt is when it last refused work as leaving.
	refusedAt time.Duration
	// lastHeard is when it last described itself or answered with what it holds.
	lastHeard     time.Duration
	nextDescribe  time.Duration
	describing    bool
	succeededOnce bool
}

func (b *backEnd) ejected(now time.Duration) bool { return now < b.ejectedUntil }

func (b *backEnd) usable(now time.Duration) bool {
	return b.described && b.draining == 0 && !b.ejected(now) && b.window.Ceiling() > 0
}

// hasRoomNow reports whether an attempt would start at once.
func (b *backEnd) hasRoomNow(now time.Duration) bool {
	return b.window.HasCapacity() && len(b.queue) == 0 && now >= b.notBefore
}

// assumedLatency of a back end that has answered nothing yet. Zero would draw all work to it, and no queue would ever look long.
const assumedLatency = 10 * time.Millisecond

func (b *backEnd) expected() time.Duration {
	if b.latency == 0 {
		return assumedLatency
	}
	return b.latency
}

// score estimates the time until an attempt given to the back end now would be answered.
func (b *backEnd) score(now time.Duration) float64 {
	waiting := float64(b.window.InFlight() + len(b.queue) + 1)
	turns := math.Max(1, waiting/math.Max(1, float64(b.window.Size())))
	estimate := turns * float64(b.expected())
	if now < b.notBefore {
		estimate += float64(b.notBefore - now)
	}
	if now-b.lastHeard > unheardAfter {
		// It may be leaving, or gone; one that was heard goes first.
		estimate *= unheardFactor
	}
	// Among equals the one with less in flight.
	return estimate * (1 + waiting/1000)
}

// wait predicts how long an attempt queued behind ahead others would wait for a slot.
func (b *backEnd) wait(ahead int) time.Duration {
	position := b.window.InFlight() + ahead + 1 - b.window.Size()
	if position <= 0 {
		return 0
	}
	return time.Duration(float64(b.expected()) * float64(position) / math.Max(1, float64(b.window.Size())))
}

func (b *backEnd) observeLatency(latency time.Duration) {
	if b.latency == 0 {
		b.latency = latency
		return
	}
	b.latency += time.Duration(latencyWeight * float64(latency-b.latency))
}

// observe takes in what the back end says of itself.
func (b *backEnd) observe(now time.Duration, holding query.Holding) {
	b.holding = holding
	b.described = true
	b.lastHeard = now
	b.setDraining(drainByHealth, holding.State == query.StateDraining)
	if now-b.refusedAt > drainBelief {
		b.setDraining(drainByAttempt, false)
	}
	if holding.State == query.StateCold {
		b.window.SetCold()
	}
}

func (b *backEnd) succeeded(now, latency time.Duration) {
	b.failures, b.slow, b.ejections = 0, 0, 0
	b.lastSuccess = now
	b.succeededOnce = true
	b.observeLatency(latency)
	if b.holding.State != query.StateCold {
		b.window.Succeeded()
	}
}

func (b *backEnd) removeQueued(match func(*queuedAttempt) bool) {
	b.queue = slices.DeleteFunc(b.queue, match)
}
