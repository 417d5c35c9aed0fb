package dispatch

import (
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/query"
)

// refusal is the answer to a sub-query that is not served: why, and when the root may come back, zero for not here.
type refusal struct {
	reason     query.Reason
	retryAfter time.Duration
}

// minimumRetryAfter of a sub-query that is refused for a wait too short to say.
const minimumRetryAfter = time.Millisecond

// admit decides whether a sub-query is served. It is refused
//   - where it is under quarantine, for what is left of that;
//   - where the predicted wait for a slot is over Settings.MaximumQueueWait, or over half the time left, for that wait.
//
// Besides, Submit refuses what is of a group that this node does not own and drops what came before, and Refuse what comes to a
// node that is stopping.
func (c *Core) admit(now time.Duration, q *subQuery, verdict quarantine.Verdict) (refusal, bool) {
	if verdict == quarantine.Quarantined {
		return refusal{reason: query.ReasonLost, retryAfter: c.quarantine.Remaining(clock.FromDuration(now), identityOf(q.request)).Duration()}, false
	}
	wait := c.longestWait(now, q)
	remaining := q.deadline - now
	if remaining <= 0 || wait > c.settings.MaximumQueueWait || wait > remaining/2 {
		return refusal{reason: query.ReasonOverloaded, retryAfter: max(wait, minimumRetryAfter)}, false
	}
	return refusal{}, true
}

// longestWait predicts the wait for a slot of the shard that has to wait longest, each at its best replica. A shard without a
// replica waits for none.
func (c *Core) longestWait(now time.Duration, q *subQuery) time.Duration {
	var longest time.Duration
	for _, shard := range q.request.Shards {
		best := time.Duration(-1)
		for _, b := range c.candidates(now, q, shard) {
			wait := b.wait(len(b.queue))
			if now < b.notBefore {
				wait = max(wait, b.notBefore-now)
			}
			if best < 0 || wait < best {
				best = wait
			}
		}
		longest = max(longest, best)
	}
	return longest
}
