package dispatch

import (
	"slices"
	"time"

	"stiletrail/internal/query"
)

// assignedAttempt is an attempt together with the replica that was chosen for it.
type assignedAttempt struct {
	*queuedAttempt
	backEnd *backEnd
}

// assign chooses a replica for each shard, combines shards with the same replica into one attempt, and starts or queues
// the attempts. Hedges are only assigned to replicas where they start at once. Shards without a replica become missing
// for the given reason.
func (c *Core) assign(now time.Duration, q *subQuery, shards []uint32, hedge bool, reason query.Reason) {
	var placed []assignedAttempt
	for i, shard := range shards {
		candidates := c.candidates(now, q, shard)
		if hedge {
			candidates = slices.DeleteFunc(candidates, func(b *backEnd) bool { return !b.canStartNow(now) })
		}
		if len(candidates) == 0 {
			c.markMissing(q, shard, reason)
			continue
		}
		chosen := slices.IndexFunc(placed, func(p assignedAttempt) bool { return slices.Contains(candidates, p.backEnd) })
		if chosen < 0 || len(placed[chosen].shards) >= c.settings.ShardsPerAttempt {
			b := c.choose(now, candidates, shards[i:])
			placed = append(placed, assignedAttempt{queuedAttempt: &queuedAttempt{subQuery: q, hedge: hedge}, backEnd: b})
			chosen = len(placed) - 1
		}
		p := placed[chosen]
		p.shards = append(p.shards, shard)
		q.shards[shard].addAttempt(p.backEnd)
	}
	for _, p := range placed {
		p.backEnd.queue = append(p.backEnd.queue, p.queuedAttempt)
		c.startQueued(now, q.group, p.backEnd)
	}
}

// markMissing marks a shard as missing when no replica is left to ask, unless it is answered or still in flight.
func (c *Core) markMissing(q *subQuery, shard uint32, reason query.Reason) {
	state := q.shards[shard]
	if state.answered || state.live > 0 {
		return
	}
	if reason == query.ReasonNoReplica && c.heldAtOtherSnapshot(q, shard) {
		reason = query.ReasonVersionUnavailable
	}
	state.missing = reason
}

// heldAtOtherSnapshot reports whether a replica that is not draining holds the shard, but at another snapshot.
func (c *Core) heldAtOtherSnapshot(q *subQuery, shard uint32) bool {
	for _, b := range q.group.backEnds {
		if b.described && b.draining == 0 && b.holding.HasShard(shard) && !b.holding.HasShardAt(shard, q.request.Snapshot) {
			return true
		}
	}
	return false
}
