package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"
)

// candidates returns the replicas that may be asked for a shard of the work and were not yet.
func (c *Core) candidates(now time.Duration, q *subQuery, shard uint32) []*backEnd {
	var result []*backEnd
	state := q.shards[shard]
	for _, b := range q.group.backEnds {
		if !b.usable(now) || slices.Contains(state.tried, b) {
			continue
		}
		holds := b.holding.HasShardAt(shard, q.request.Snapshot)
		if q.request.Execute {
			holds = b.holding.Epoch == q.request.Snapshot.Epoch && b.holding.HasShard(shard)
		}
		if holds {
			result = append(result, b)
		}
	}
	return result
}

// choose picks the better of two random candidates (Mitzenmacher, "The power of two choices", 2001): the one with the less
// expected time, per shard it could answer of those that are left.
func (c *Core) choose(now time.Duration, candidates []*backEnd, left []uint32) *backEnd {
	if len(candidates) == 1 {
		return candidates[0]
	}
	first, second := TwoDistinct(c.random, len(candidates))
	if c.cost(now, candidates[second], left) < c.cost(now, candidates[first], left) {
		return candidates[second]
	}
	return candidates[first]
}

// TwoDistinct draws two different numbers from 0 to below count, which is at least 2.
func TwoDistinct(random *rand.Rand, count int) (first, second int) {
	first = random.IntN(count)
	second = random.IntN(count - 1)
	if second >= first {
		second++
	}
	return first, second
}

// cost is the expected time at a back end per shard it could answer, in nanoseconds: one that holds more of what is left takes
// fewer requests.
func (c *Core) cost(now time.Duration, b *backEnd, left []uint32) float64 {
	held := 0
	for _, shard := range left {
		if b.holding.HasShard(shard) {
			held++
		}
	}
	return b.score(now) / float64(max(1, min(held, c.settings.ShardsPerAttempt)))
}
