package dispatch

import (
	"slices"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/query"
)

// noteOutcome updates what is known of the back end from the outcome.
func (c *Core) noteOutcome(now time.Duration, a *attempt, status query.Status, result query.AttemptResult) {
	b := a.backEnd
	elapsed := now - a.startedAt
	switch status {
	case query.StatusOK:
		a.group.latencies.Record(elapsed)
		b.succeeded(now, elapsed)
		c.quarantine.RecordAnswer(clock.FromDuration(now), identityOf(a.subQuery.request), a.subQuery.request.Service, "")
	case query.StatusShed:
		c.Counters.ShedByBackEnd++
		b.window.Shed(now, max(b.latency, time.Millisecond))
		b.notBefore = now + result.RetryAfter
	case query.StatusDraining:
		if !result.HasHolding || result.Holding.State != query.StateDraining {
			// Its health contradicts it; else it is used again as soon as it says that it serves.
			b.draining |= drainByAttempt
			b.refusedAt = now
			c.refusals[b.address] = now
		}
	case query.StatusNotSent, query.StatusLost, query.StatusInvalid:
		c.noteLoss(now, a)
	}
}

func (c *Core) noteLoss(now time.Duration, a *attempt) {
	b := a.backEnd
	if a.abandoned {
		// It lost to a hedge or to the deadline; a few in a row mean that the back end hangs.
		b.slow++
	} else {
		b.failures++
	}
	hangs := b.slow > 0 && now-b.lastSuccess > max(hangMedians*b.expected(), minimumHang)
	if b.failures >= c.settings.FailuresToEject || hangs && b.failures+b.slow >= c.settings.FailuresToEject {
		c.eject(now, a.group, b)
	}
}

// A back end whose attempts lose to hedges hangs if it also answered nothing for hangMedians times its usual latency, and at
// least minimumHang. One that straggles now and then goes on answering in between.
const (
	hangMedians = 10
	minimumHang = 100 * time.Millisecond
)

// mostDoublings of an ejection, whatever MaximumEjection is.
const mostDoublings = 8

// eject takes a back end out for EjectFor, twice as long each time without an answer in between, unless too many of the group are
// out or a shard would be left without a holder.
func (c *Core) eject(now time.Duration, g *group, b *backEnd) {
	if b.ejected(now) || c.ejectedEnough(now, g) || lastHolder(now, g, b) {
		return
	}
	c.Counters.Ejections++
	b.ejections++
	b.failures, b.slow = 0, 0
	ejection := min(c.settings.EjectionTime<<min(b.ejections-1, mostDoublings), c.settings.MaximumEjectionTime)
	b.ejectedUntil = now + ejection
	b.window.Restart()
	c.requeue(now, g, b)
}

// ejectedEnough reports whether one more ejection would be over the share allowed, rounded to whole back ends.
func (c *Core) ejectedEnough(now time.Duration, g *group) bool {
	out := 0
	for _, other := range g.backEnds {
		if other.ejected(now) {
			out++
		}
	}
	return float64(out+1) > c.settings.MaximumEjectedShare*float64(len(g.backEnds))+0.5
}

// lastHolder reports whether a shard would be without a usable holder if the back end were out.
func lastHolder(now time.Duration, g *group, b *backEnd) bool {
	for _, shard := range b.holding.Shards {
		alone := !slices.ContainsFunc(g.backEnds, func(other *backEnd) bool {
			return other != b && other.usable(now) && other.holding.HasShard(shard)
		})
		if alone {
			return true
		}
	}
	return false
}
