package dispatch

import (
	"slices"
	"time"

	"stiletrail/internal/query"
)

// pump starts what waits at a back end while it has room.
func (c *Core) pump(now time.Duration, g *group, b *backEnd) {
	for b.window.HasCapacity() {
		it := c.hedgeOverdue(now, g, b)
		if it == nil {
			it = c.nextQueued(now, g, b)
		}
		if it == nil {
			return
		}
		c.start(now, it, b)
	}
}

// nextQueued takes the next item that still matters from the back end's queue, or one from another's that it can serve.
func (c *Core) nextQueued(now time.Duration, g *group, b *backEnd) *queuedAttempt {
	for len(b.queue) > 0 {
		it := b.queue[0]
		b.queue = b.queue[1:]
		if c.stillWanted(now, it) {
			return it
		}
	}
	if !b.usable(now) {
		return nil
	}
	for _, other := range g.backEnds {
		for i, it := range other.queue {
			if other == b || it.subQuery.finished || !c.canServe(now, it, b) {
				continue
			}
			other.queue = slices.Delete(other.queue, i, i+1)
			for _, shard := range it.shards {
				it.subQuery.shards[shard].tried = append(it.subQuery.shards[shard].tried, b)
			}
			return it
		}
	}
	return nil
}

// canServe reports whether a back end may be asked for all shards of an attempt that waits.
func (c *Core) canServe(now time.Duration, it *queuedAttempt, b *backEnd) bool {
	for _, shard := range it.shards {
		if !slices.Contains(c.candidates(now, it.subQuery, shard), b) {
			return false
		}
	}
	return true
}

// stillWanted drops work whose answer would come too late or is not needed any more.
func (c *Core) stillWanted(now time.Duration, it *queuedAttempt) bool {
	if it.subQuery.finished {
		return false
	}
	open := slices.ContainsFunc(it.shards, func(shard uint32) bool { return !it.subQuery.shards[shard].answered })
	if now < it.subQuery.deadline && open {
		return true
	}
	c.release(it.subQuery, it.shards)
	return false
}

// release counts shards out of an attempt that will not answer.
func (c *Core) release(q *subQuery, shards []uint32) {
	for _, shard := range shards {
		q.shards[shard].live--
	}
}

// start hands out an attempt, and sets the time at which it is hedged.
func (c *Core) start(now time.Duration, it *queuedAttempt, b *backEnd) {
	c.number++
	q := it.subQuery
	a := &attempt{number: c.number, subQuery: q, backEnd: b, group: q.group, shards: it.shards, startedAt: now, hedge: it.hedge}
	c.attempts[a.number] = a
	q.attempts = append(q.attempts, a)
	q.unproved++
	q.shardAttempts += uint32(len(it.shards))
	b.window.Start()
	c.Counters.Attempts++
	c.Counters.ShardAttempts += uint64(len(it.shards))
	c.emit(StartAttempt{Attempt: query.Attempt{
		Number: a.number, Generation: c.generation, Service: q.request.Service, BackEnd: b.address, Shards: it.shards,
		Snapshot: q.request.Snapshot, Body: q.request.Body, Execute: q.request.Execute, Deadline: q.deadline,
	}})
	if c.settings.Hedging && !q.request.Execute {
		c.schedule(now+c.hedgeDelay(q.group), a)
	}
}

// requeue gives what waits at a back end to other replicas.
func (c *Core) requeue(now time.Duration, g *group, b *backEnd) {
	waiting := b.queue
	b.queue = nil
	for _, it := range waiting {
		c.release(it.subQuery, it.shards)
		if !it.subQuery.finished {
			c.place(now, it.subQuery, it.shards, it.hedge, query.ReasonDraining)
			c.finishIfDone(now, it.subQuery)
		}
	}
}
