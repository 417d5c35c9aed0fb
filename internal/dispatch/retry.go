package dispatch

import (
	"time"

	"stiletrail/internal/query"
)

// retry asks another replica for what a failed attempt left open, each replica once at most. It gives up, and the shards are
// missing for the reason that the attempt failed for, where
//   - the deadline has passed;
//   - the request is not repeatable, and an attempt of it is not proved not to have run;
//   - the group's budget of retries is spent, unless the retry costs none (costsBudget).
func (c *Core) retry(now time.Duration, a *attempt, status query.Status) {
	q := a.subQuery
	var open []uint32
	for _, shard := range a.shards {
		state := q.shards[shard]
		if !state.answered && state.live == 0 {
			open = append(open, shard)
		}
	}
	if len(open) == 0 {
		return
	}
	reason := status.Reason()
	if !c.mayRetry(now, q, status, len(open)) {
		for _, shard := range open {
			q.shards[shard].missing = reason
		}
		return
	}
	c.Counters.Retries++
	c.place(now, q, open, false, reason)
}

// mayRetry decides whether some shards are asked for again, and takes that from the budget.
func (c *Core) mayRetry(now time.Duration, q *subQuery, status query.Status, shards int) bool {
	if now >= q.deadline || q.request.Execute && q.unproved > 0 {
		return false
	}
	return !costsBudget(status) || q.group.retries.Spend(shards)
}

// costsBudget: moving on from a back end that is leaving or holds another snapshot is not a reaction to trouble.
func costsBudget(status query.Status) bool {
	switch status {
	case query.StatusDraining, query.StatusVersionUnavailable, query.StatusNotHeld:
		return false
	}
	return true
}
