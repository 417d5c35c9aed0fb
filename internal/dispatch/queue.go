package dispatch

import (
	"slices"
	"time"

	"stiletrail/internal/query"
)

// startQueued starts attempts at a back end while it has free slots: overdue hedges first, then queued attempts.
func (c *Core) startQueued(now time.Duration, g *group, b *backEnd) {
	for b.window.HasCapacity() {
		queued := c.hedgeOverdue(now, g, b)
		if queued == nil {
			queued = c.nextQueued(now, g, b)
		}
		if queued == nil {
			return
		}
		c.start(now, queued, b)
	}
}

// nextQueued removes and returns the next attempt that is still needed from the back end's queue. If there is none, it
// takes one that the back end can serve from the queue of another back end.
func (c *Core) nextQueued(now time.Duration, g *group, b *backEnd) *queuedAttempt {
	for len(b.queue) > 0 {
		queued := b.queue[0]
		b.queue = b.queue[1:]
		if c.stillNeeded(now, queued) {
			return queued
		}
	}
	if !b.usable(now) {
		return nil
	}
	for _, other := range g.backEnds {
		for i, queued := range other.queue {
			if other == b || queued.subQuery.finished || !c.canServe(now, queued, b) {
				continue
			}
			other.queue = slices.Delete(other.queue, i, i+1)
			for _, shard := range queued.shards {
				queued.subQuery.shards[shard].tried = append(queued.subQuery.shards[shard].tried, b)
			}
			return queued
		}
	}
	return nil
}

// canServe reports whether a back end may be asked for all shards of a queued attempt.
func (c *Core) canServe(now time.Duration, queued *queuedAttempt, b *backEnd) bool {
	for _, shard := range queued.shards {
		if !slices.Contains(c.candidates(now, queued.subQuery, shard), b) {
			return false
		}
	}
	return true
}

// stillNeeded reports whether a queued attempt is worth starting: a shard of it is unanswered and its deadline has not
// passed. If not, it releases the shards.
func (c *Core) stillNeeded(now time.Duration, queued *queuedAttempt) bool {
	if queued.subQuery.finished {
		return false
	}
	open := slices.ContainsFunc(queued.shards, func(shard uint32) bool { return !queued.subQuery.shards[shard].answered })
	if now < queued.subQuery.deadline && open {
		return true
	}
	c.release(queued.subQuery, queued.shards)
	return false
}

// release counts the shards of an attempt as no longer live when the attempt has ended or was removed from a queue.
func (c *Core) release(q *subQuery, shards []uint32) {
	for _, shard := range shards {
		q.shards[shard].live--
	}
}

// start starts an attempt and, if it may be hedged, schedules the hedge.
func (c *Core) start(now time.Duration, queued *queuedAttempt, b *backEnd) {
	c.number++
	q := queued.subQuery
	a := &attempt{number: c.number, subQuery: q, backEnd: b, group: q.group, shards: queued.shards, startedAt: now, hedge: queued.hedge}
	c.attempts[a.number] = a
	q.attempts = append(q.attempts, a)
	q.possiblyRun++
	q.shardAttempts += uint32(len(queued.shards))
	b.window.Start()
	c.Counters.Attempts++
	c.Counters.ShardAttempts += uint64(len(queued.shards))
	c.emit(StartAttempt{Attempt: query.Attempt{
		Number: a.number, Generation: c.generation, Service: q.request.Service, BackEnd: b.address, Shards: queued.shards,
		Snapshot: q.request.Snapshot, Body: q.request.Body, Execute: q.request.Execute, Deadline: q.deadline,
	}})
	if c.settings.Hedging && !q.request.Execute {
		c.schedule(now+c.hedgeDelay(q.group), a)
	}
}

// requeue gives the attempts that are queued at a back end to other replicas.
func (c *Core) requeue(now time.Duration, g *group, b *backEnd) {
	waiting := b.queue
	b.queue = nil
	for _, queued := range waiting {
		c.release(queued.subQuery, queued.shards)
		if !queued.subQuery.finished {
			c.assign(now, queued.subQuery, queued.shards, queued.hedge, query.ReasonDraining)
			c.finishIfDone(now, queued.subQuery)
		}
	}
}
