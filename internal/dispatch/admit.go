package dispatch

import (
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/query"
)

// refusal is the answer to a sub-query that is not served.
type refusal struct {
	reason query.Reason
	// retryAfter is the time after which the root may try again. Zero means that it should not try this node again.
	retryAfter time.Duration
}

// minimumRetryAfter is the lower bound of the retry-after time of a refused sub-query. The messages carry whole
// milliseconds, and zero would mean that the root should not try again.
const minimumRetryAfter = time.Millisecond

// admit decides whether a sub-query is served. It refuses a sub-query in these cases:
//   - The request is quarantined. The retry-after time is the remaining time of the quarantine.
//   - The predicted wait for a slot exceeds Settings.MaximumQueueWait or half the time left until the deadline. The
//     retry-after time is the predicted wait.
//
// Sub-queries are also refused elsewhere: Submit refuses those for groups that this node does not own and drops
// duplicates, and Refuse is called in place of Submit while the node is stopping.
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

// longestWait predicts how long the sub-query waits for slots: for each shard the shortest wait among its replicas, and
// of these the longest. A shard without a usable replica counts as no wait.
func (c *Core) longestWait(now time.Duration, q *subQuery) time.Duration {
	var longest time.Duration
	for _, shard := range q.request.Shards {
		best := time.Duration(-1)
		for _, b := range c.candidates(now, q, shard) {
			wait := b.expectedWait(len(b.queue))
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
