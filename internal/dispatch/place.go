package dispatch

import (
	"slices"
	"time"

	"stiletrail/internal/query"
)

// placedAttempt is an attempt with the replica that it was given to.
type placedAttempt struct {
	*queuedAttempt
	backEnd *backEnd
}

// place gives each shard to a replica, as few attempts as the sampling allows, and starts or queues them; hedges only where they
// start at once. Shards without a replica become missing for the given reason.
func (c *Core) place(now time.Duration, q *subQuery, shards []uint32, hedge bool, reason query.Reason) {
	var placed []placedAttempt
	for i, shard := range shards {
		candidates := c.candidates(now, q, shard)
		if hedge {
			candidates = slices.DeleteFunc(candidates, func(b *backEnd) bool { return !b.hasRoomNow(now) })
		}
		if len(candidates) == 0 {
			c.noReplica(q, shard, reason)
			continue
		}
		chosen := slices.IndexFunc(placed, func(p placedAttempt) bool { return slices.Contains(candidates, p.backEnd) })
		if chosen < 0 || len(placed[chosen].shards) >= c.settings.ShardsPerAttempt {
			b := c.choose(now, candidates, shards[i:])
			placed = append(placed, placedAttempt{queuedAttempt: &queuedAttempt{subQuery: q, hedge: hedge}, backEnd: b})
			chosen = len(placed) - 1
		}
		p := placed[chosen]
		p.shards = append(p.shards, shard)
		q.shards[shard].askAt(p.backEnd)
	}
	for _, p := range placed {
		p.backEnd.queue = append(p.backEnd.queue, p.queuedAttempt)
		c.pump(now, q.group, p.backEnd)
	}
}

// noReplica marks a shard missing that nobody is left to ask for.
func (c *Core) noReplica(q *subQuery, shard uint32, reason query.Reason) {
	state := q.shards[shard]
	if state.answered || state.live > 0 {
		return
	}
	if reason == query.ReasonNoReplica && c.heldElsewhere(q, shard) {
		reason = query.ReasonVersionUnavailable
	}
	state.missing = reason
}

// heldElsewhere reports whether some replica holds the shard at another snapshot.
func (c *Core) heldElsewhere(q *subQuery, shard uint32) bool {
	for _, b := range q.group.backEnds {
		if b.described && b.draining == 0 && b.holding.HasShard(shard) && !b.holding.HasShardAt(shard, q.request.Snapshot) {
			return true
		}
	}
	return false
}
