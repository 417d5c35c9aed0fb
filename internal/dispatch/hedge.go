package dispatch

import (
	"slices"
	"time"

	"stiletrail/internal/query"
)

// A hedge is a second attempt for the shards of a slow attempt, at other replicas. The rules are:
//   - An attempt is hedged once it has taken the hedge delay. This is HedgeMedianFactor times the median of the group's
//     latencies or their HedgeQuantile, whichever is less, and at least MinimumHedgeDelay.
//   - A hedge is sent only into a free slot and from the group's hedge budget, for each shard separately. Requests that
//     are not repeatable are never hedged.
//   - If no hedge can be sent, the attempt is checked again hedgeRetries times per hedge delay.
//   - After overdueDelays hedge delays it also gets the next slot that becomes free at a replica of its shards.
const (
	// hedgeRetries is the number of checks per hedge delay, minimumHedgeRetry the minimum time between two checks.
	hedgeRetries      = 16
	minimumHedgeRetry = time.Millisecond
	// overdueDelays is the number of hedge delays after which an attempt counts as overdue.
	overdueDelays = 1.5
	// hedgeSamples is the number of latency samples needed to derive the hedge delay. With fewer samples the hedge
	// delay is Settings.DefaultHedgeDelay.
	hedgeSamples = 20
)

// hedgeDelay returns how long an attempt in a group may take before it is hedged.
func (c *Core) hedgeDelay(g *group) time.Duration {
	quantile := g.latencies.Quantile(c.settings.HedgeQuantile, hedgeSamples, c.settings.DefaultHedgeDelay)
	median := g.latencies.Quantile(0.5, hedgeSamples, c.settings.DefaultHedgeDelay)
	byMedian := time.Duration(c.settings.HedgeMedianFactor * float64(median))
	return max(min(quantile, byMedian), c.settings.MinimumHedgeDelay)
}

// hedge asks other replicas for the shards that an attempt has not answered, if they have free slots and the budget
// allows.
func (c *Core) hedge(now time.Duration, a *attempt) {
	q := a.subQuery
	if c.hedgeNotNeeded(a) {
		return
	}
	var shards []uint32
	open := 0
	for _, shard := range a.shards {
		state := q.shards[shard]
		if state.answered || state.live != 1 {
			continue
		}
		open++
		if c.freeSlotFor(now, q, shard) {
			shards = append(shards, shard)
		}
	}
	allowed := len(shards) > 0 && q.group.hedges.Spend(len(shards))
	if open == 0 || allowed && len(shards) == open {
		a.hedged = true
	} else {
		c.hedgeLater(now, a)
	}
	if allowed {
		c.Counters.Hedges++
		c.assign(now, q, shards, true, query.ReasonNone)
	}
}

// hedgeLater schedules another check of an attempt, since a slot may become free or the budget may grow at any moment.
// An attempt that is overdue is also put on the group's list of overdue attempts.
func (c *Core) hedgeLater(now time.Duration, a *attempt) {
	g := a.subQuery.group
	delay := c.hedgeDelay(g)
	next := now + max(delay/hedgeRetries, minimumHedgeRetry)
	if next >= a.subQuery.deadline {
		return
	}
	c.schedule(next, a)
	if float64(now-a.startedAt) > overdueDelays*float64(delay) && !slices.Contains(g.overdue, a) {
		g.overdue = append(g.overdue, a)
	}
}

// freeSlotFor reports whether an untried replica of the shard could start an attempt at once.
func (c *Core) freeSlotFor(now time.Duration, q *subQuery, shard uint32) bool {
	return slices.ContainsFunc(c.candidates(now, q, shard), func(b *backEnd) bool {
		return b.canStartNow(now)
	})
}

// hedgeOverdue returns a hedge for an overdue attempt whose shards the back end holds, or nil. It is called when a slot
// of the back end has become free.
func (c *Core) hedgeOverdue(now time.Duration, g *group, b *backEnd) *queuedAttempt {
	if len(g.overdue) == 0 || !b.usable(now) || now < b.notBefore {
		return nil
	}
	g.overdue = slices.DeleteFunc(g.overdue, func(a *attempt) bool { return c.hedgeNotNeeded(a) })
	for _, a := range g.overdue {
		var shards []uint32
		for _, shard := range a.shards {
			state := a.subQuery.shards[shard]
			if !state.answered && state.live == 1 && slices.Contains(c.candidates(now, a.subQuery, shard), b) {
				shards = append(shards, shard)
			}
		}
		if len(shards) == 0 || !g.hedges.Spend(len(shards)) {
			continue
		}
		for _, shard := range shards {
			a.subQuery.shards[shard].addAttempt(b)
		}
		c.Counters.Hedges++
		return &queuedAttempt{subQuery: a.subQuery, shards: shards, hedge: true}
	}
	return nil
}

// hedgeNotNeeded reports whether an attempt no longer needs a hedge: it or its sub-query has ended, or it was hedged.
func (c *Core) hedgeNotNeeded(a *attempt) bool {
	return a.subQuery.finished || a.abandoned || a.hedged || c.attempts[a.number] == nil
}
