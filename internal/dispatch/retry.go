package dispatch

import (
	"time"

	"stiletrail/internal/query"
)

// retry asks other replicas for the shards that a failed attempt left open. Each replica is asked at most once per
// shard. In these cases there is no retry, and the shards become missing for the reason of the failed attempt:
//   - The deadline has passed.
//   - The request is not repeatable and an attempt of it may have run.
//   - The group's retry budget is spent, unless the retry is free (see costsBudget).
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
	c.assign(now, q, open, false, reason)
}

// mayRetry decides whether a number of shards may be retried, and takes them from the retry budget.
func (c *Core) mayRetry(now time.Duration, q *subQuery, status query.Status, shards int) bool {
	if now >= q.deadline || q.request.Execute && q.possiblyRun > 0 {
		return false
	}
	return !costsBudget(status) || q.group.retries.Spend(shards)
}

// costsBudget reports whether a retry after the status is taken from the retry budget. Retries after a draining back
// end, or one that does not hold the shard or the snapshot, are free: they are not caused by failures or overload.
func costsBudget(status query.Status) bool {
	switch status {
	case query.StatusDraining, query.StatusVersionUnavailable, query.StatusNotHeld:
		return false
	}
	return true
}
