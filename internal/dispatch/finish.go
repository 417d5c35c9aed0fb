package dispatch

import (
	"time"

	"stiletrail/internal/message"
	"stiletrail/internal/query"
)

// finishIfDone sends held shards that may now be tried, and finishes the sub-query if every shard is answered or
// missing.
func (c *Core) finishIfDone(now time.Duration, q *subQuery) {
	c.sendHeld(now, q)
	if q.finished {
		return
	}
	for _, state := range q.shards {
		if !state.answered && state.missing == query.ReasonNone {
			return
		}
		if !state.answered && state.live > 0 {
			return
		}
	}
	c.finish(now, q, query.ReasonNone)
}

// finish sends the final answer of a sub-query. Shards that are still open are reported missing for the given reason.
func (c *Core) finish(now time.Duration, q *subQuery, reason query.Reason) {
	answer := &message.SubAnswer{
		ID: q.id, Snapshot: q.request.Snapshot, Done: true, ShardAttempts: q.shardAttempts,
		NotRun: q.possiblyRun == 0, RetryAfterMilliseconds: uint32(q.retryAfter.Milliseconds()),
	}
	versionLost := false
	for _, shard := range q.request.Shards {
		state := q.shards[shard]
		if state.answered {
			continue
		}
		if state.missing == query.ReasonNone {
			state.missing = reason
		}
		versionLost = versionLost || state.missing == query.ReasonVersionUnavailable
		answer.Missing = append(answer.Missing, query.Missing{Shard: shard, Reason: state.missing})
	}
	c.end(now, q)
	if versionLost {
		// The root will plan the query again at another snapshot, and needs the current holdings for that.
		if state, owned := c.GroupState(now, q.request.Service, q.request.Group); owned {
			c.emit(Reply{To: q.root, Message: state})
		}
	}
	c.emit(Reply{To: q.root, Message: answer})
}

// end removes a sub-query: its queued attempts are dropped and its attempts in flight are cancelled.
func (c *Core) end(now time.Duration, q *subQuery) {
	q.finished = true
	delete(c.subQueries, q.id)
	for _, a := range q.attempts {
		c.abandon(now, a)
	}
	for _, b := range q.group.backEnds {
		b.removeQueued(func(queued *queuedAttempt) bool { return queued.subQuery == q })
	}
}

// abandon gives up an attempt in flight and cancels it at the back end, unless the request is not repeatable. The slot
// of the attempt stays occupied until its outcome is known.
func (c *Core) abandon(now time.Duration, a *attempt) {
	if a.abandoned || c.attempts[a.number] == nil {
		return
	}
	a.abandoned = true
	if elapsed := now - a.startedAt; elapsed > a.backEnd.latency {
		a.backEnd.observeLatency(elapsed)
	}
	if !a.subQuery.request.Execute {
		c.emit(CancelAttempt{Number: a.number})
	}
}
