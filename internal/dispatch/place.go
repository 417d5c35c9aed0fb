package dispatch

import (
	"slices"
	"time"

	"stiletrail/internal/query"
)

// place gives each shard to a replica, as few attempts as the sampling allows, and starts or queues them. Shards
// without a replica become missing for the given reason.
func (c *Core) place(now time.Duration, q *subQuery, shards []uint32, hedge bool, reason query.Reason) {
	var items []*queuedAttempt
	var targets []*backEnd
	for i, shard := range shards {
		candidates := c.candidates(now, q, shard)
		if hedge {
			candidates = slices.DeleteFunc(candidates, func(b *backEnd) bool { return !b.hasRoomNow(now) })
		}
		if len(candidates) == 0 {
			c.noReplica(q, shard, reason)
			continue
		}
		slot := slices.IndexFunc(targets, func(b *backEnd) bool { return slices.Contains(candidates, b) })
		if slot < 0 || len(items[slot].shards) >= c.settings.ShardsPerAttempt {
			targets = append(targets, c.choose(now, candidates, shards[i:]))
			items = append(items, &queuedAttempt{subQuery: q, hedge: hedge})
			slot = len(items) - 1
		}
		items[slot].shards = append(items[slot].shards, shard)
		state := q.shards[shard]
		state.tried = append(state.tried, targets[slot])
		state.live++
	}
	for i, it := range items {
		targets[i].queue = append(targets[i].queue, it)
		c.pump(now, q.group, targets[i])
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
		if b.described && b.draining == 0 && b.holding.HasShard(shard) && !b.holding.Holds(shard, q.request.Snapshot) {
			return true
		}
	}
	return false
}
