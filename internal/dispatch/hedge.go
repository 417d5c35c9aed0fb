package dispatch

import (
	"slices"
	"time"

	"stiletrail/internal/query"
)

// The rule of hedges. An attempt is hedged once it takes hedgeDelay: HedgeMedians medians of the group's latencies or their
// HedgeQuantile, whichever is less, and MinimumHedgeDelay at least. It is hedged only into a free slot and from the group's
// budget of hedges, each shard on its own, and never where the request is not repeatable. Where that fails it is looked at again,
// hedgeRetries times per delay; after overdueDelays delays it also gets the next slot that frees at a replica that can help.
const (
	hedgeRetries      = 16
	minimumHedgeRetry = time.Millisecond
	overdueDelays     = 1.5
	// hedgeSamples are needed before the group's latencies say when to hedge; until then it is DefaultHedgeDelay.
	hedgeSamples = 20
)

// hedgeDelay is how long an attempt in a group may take before it is hedged.
func (c *Core) hedgeDelay(g *group) time.Duration {
	quantile := g.latencies.Quantile(c.settings.HedgeQuantile, hedgeSamples, c.settings.DefaultHedgeDelay)
	median := g.latencies.Quantile(0.5, hedgeSamples, c.settings.DefaultHedgeDelay)
	byMedian := time.Duration(c.settings.HedgeMedianFactor * float64(median))
	return max(min(quantile, byMedian), c.settings.MinimumHedgeDelay)
}

// hedge asks other replicas for the shards an attempt has not answered, if they have room and the budget allows.
func (c *Core) hedge(now time.Duration, a *attempt) {
	q := a.subQuery
	if c.needsNoHedge(a) {
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
		if c.roomFor(now, q, shard) {
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
		c.place(now, q, shards, true, query.ReasonNone)
	}
}

// hedgeLater looks at an attempt again soon: a slot may free, or the budget earn, at any moment. One that is very late gets the
// next slot that frees.
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

// roomFor reports whether a replica of the shard that was not asked yet could start at once.
func (c *Core) roomFor(now time.Duration, q *subQuery, shard uint32) bool {
	return slices.ContainsFunc(c.candidates(now, q, shard), func(b *backEnd) bool {
		return b.hasRoomNow(now)
	})
}

// hedgeOverdue returns a hedge for an attempt that is very late and that this back end, whose slot has just become free, can
// help.
func (c *Core) hedgeOverdue(now time.Duration, g *group, b *backEnd) *queuedAttempt {
	if len(g.overdue) == 0 || !b.usable(now) || now < b.notBefore {
		return nil
	}
	g.overdue = slices.DeleteFunc(g.overdue, func(a *attempt) bool { return c.needsNoHedge(a) })
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
			a.subQuery.shards[shard].askAt(b)
		}
		c.Counters.Hedges++
		return &queuedAttempt{subQuery: a.subQuery, shards: shards, hedge: true}
	}
	return nil
}

// needsNoHedge reports whether an attempt needs no hedge any more.
func (c *Core) needsNoHedge(a *attempt) bool {
	return a.subQuery.finished || a.abandoned || a.hedged || c.attempts[a.number] == nil
}
