package dispatch

import (
	"slices"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/query"
)

// recordOutcome updates the state of the back end from the outcome of an attempt.
func (c *Core) recordOutcome(now time.Duration, a *attempt, status query.Status, result query.AttemptResult) {
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
			// The description does not say draining, so the refusal counts for refusalValidity. If it does say
			// draining, the back end is used again as soon as it describes itself as serving.
			b.draining |= drainByAttempt
			b.refusedAt = now
			c.refusals[b.address] = now
		}
	case query.StatusNotSent, query.StatusLost, query.StatusInvalid:
		c.recordLoss(now, a)
	}
}

// recordLoss counts an attempt without a valid answer, and ejects the back end if there were too many in a row.
func (c *Core) recordLoss(now time.Duration, a *attempt) {
	b := a.backEnd
	if a.abandoned {
		// The attempt was cancelled because a hedge was faster or the deadline passed. Several in a row without an
		// answer mean that the back end hangs.
		b.slow++
	} else {
		b.failures++
	}
	hangs := b.slow > 0 && now-b.lastSuccess > max(hangLatencies*b.expectedLatency(), minimumHang)
	if b.failures >= c.settings.FailuresToEject || hangs && b.failures+b.slow >= c.settings.FailuresToEject {
		c.eject(now, a.group, b)
	}
}

// A back end whose attempts are overtaken by hedges counts as hanging only if it has also answered nothing for
// hangLatencies times its average latency, and for at least minimumHang. A back end that is only slow at times answers
// other attempts meanwhile.
const (
	hangLatencies = 10
	minimumHang   = 100 * time.Millisecond
)

// maximumDoublings bounds how often the ejection time is doubled, whatever Settings.MaximumEjectionTime is.
const maximumDoublings = 8

// eject takes a back end out of use for Settings.EjectionTime, and for twice as long each time it is ejected again
// without an answer in between. It does nothing if too many back ends of the group are ejected already or if a shard
// would be left without a usable replica.
func (c *Core) eject(now time.Duration, g *group, b *backEnd) {
	if b.ejected(now) || c.ejectionLimitReached(now, g) || lastHolder(now, g, b) {
		return
	}
	c.Counters.Ejections++
	b.ejections++
	b.failures, b.slow = 0, 0
	ejection := min(c.settings.EjectionTime<<min(b.ejections-1, maximumDoublings), c.settings.MaximumEjectionTime)
	b.ejectedUntil = now + ejection
	b.window.Restart()
	c.requeue(now, g, b)
}

// ejectionLimitReached reports whether one more ejection would exceed Settings.MaximumEjectedShare of the group,
// rounded to whole back ends.
func (c *Core) ejectionLimitReached(now time.Duration, g *group) bool {
	out := 0
	for _, other := range g.backEnds {
		if other.ejected(now) {
			out++
		}
	}
	return float64(out+1) > c.settings.MaximumEjectedShare*float64(len(g.backEnds))+0.5
}

// lastHolder reports whether the back end is the only usable replica of one of its shards.
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
