package dispatch

import (
	"time"

	"stiletrail/internal/message"
	"stiletrail/internal/query"
)

// AttemptEnded handles the outcome of an attempt. The outcome of an unknown attempt, such as a second outcome, is
// dropped.
func (c *Core) AttemptEnded(now time.Duration, result query.AttemptResult) []Action {
	a := c.attempts[result.Attempt]
	if a == nil {
		return c.takeActions()
	}
	delete(c.attempts, a.number)
	a.backEnd.window.Finish()
	if result.HasHolding {
		a.backEnd.observe(now, result.Holding)
	}
	status := c.verify(a, result)
	if status.NotRun() {
		a.subQuery.possiblyRun--
	}
	c.release(a.subQuery, a.shards)
	c.recordOutcome(now, a, status, result)
	switch {
	case status == query.StatusLost && result.BackEndCrashed:
		c.backEndCrashed(now, a)
	case !a.subQuery.finished:
		c.advance(now, a, status, result)
	}
	if a.backEnd.draining != 0 {
		c.requeue(now, a.group, a.backEnd)
	}
	c.startQueued(now, a.group, a.backEnd)
	return c.takeActions()
}

// verify checks that an answer matches its request: it must be at the snapshot of the sub-query, unless the request is
// not repeatable, and have exactly the requested shards in order. An answer that does not match gets StatusInvalid.
func (c *Core) verify(a *attempt, result query.AttemptResult) query.Status {
	if result.Status == query.StatusInvalid {
		c.Counters.InvalidAnswers++
	}
	if result.Status != query.StatusOK {
		return result.Status
	}
	if !a.subQuery.request.Execute && result.Snapshot != a.subQuery.request.Snapshot {
		c.Counters.WrongSnapshot++
		return query.StatusInvalid
	}
	if len(result.Results) != len(a.shards) {
		c.Counters.InvalidAnswers++
		return query.StatusInvalid
	}
	for i, documents := range result.Results {
		if documents.Shard != a.shards[i] {
			c.Counters.InvalidAnswers++
			return query.StatusInvalid
		}
	}
	return query.StatusOK
}

// advance continues the sub-query after the outcome of one of its attempts: it accepts the answer or retries elsewhere.
func (c *Core) advance(now time.Duration, a *attempt, status query.Status, result query.AttemptResult) {
	q := a.subQuery
	if status == query.StatusOK {
		c.accept(now, a, result)
		c.finishIfDone(now, q)
		return
	}
	if a.abandoned && !q.request.Execute {
		c.finishIfDone(now, q)
		return
	}
	q.retryAfter = max(q.retryAfter, result.RetryAfter)
	c.retry(now, a, status)
	c.finishIfDone(now, q)
}

// accept passes the first valid answer of each shard to the root and cancels attempts that are no longer needed.
func (c *Core) accept(now time.Duration, a *attempt, result query.AttemptResult) {
	q := a.subQuery
	answer := &message.SubAnswer{ID: q.id, Snapshot: result.Snapshot}
	for _, documents := range result.Results {
		state := q.shards[documents.Shard]
		if state.answered {
			continue
		}
		state.answered = true
		state.missing = query.ReasonNone
		answer.Results = append(answer.Results, documents)
	}
	if len(answer.Results) == 0 {
		return
	}
	if a.hedge {
		c.Counters.HedgesWon++
	}
	c.emit(Reply{To: q.root, Message: answer})
	for _, other := range q.attempts {
		if other != a && c.allAnswered(other) {
			c.abandon(now, other)
		}
	}
}

// allAnswered reports whether all shards of an attempt are answered.
func (c *Core) allAnswered(a *attempt) bool {
	for _, shard := range a.shards {
		if !a.subQuery.shards[shard].answered {
			return false
		}
	}
	return true
}
