package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"
)

// candidates returns the usable replicas of a shard that the sub-query has not tried yet. For a search, a replica must
// hold the shard at the snapshot of the sub-query. For a request that is not repeatable, it must hold the shard in the
// same epoch.
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

// choose picks the cheaper of two random candidates (Mitzenmacher, "The power of two choices", 2001). The cost is the
// expected time divided by the number of the remaining shards that the candidate could answer.
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

// TwoDistinct draws two different random numbers from 0 to count-1. The count must be at least 2.
func TwoDistinct(random *rand.Rand, count int) (first, second int) {
	first = random.IntN(count)
	second = random.IntN(count - 1)
	if second >= first {
		second++
	}
	return first, second
}

// cost returns the expected time at a back end in nanoseconds, per remaining shard that it could answer in one attempt.
// A back end that holds more of the remaining shards is preferred, because the sub-query then needs fewer attempts.
func (c *Core) cost(now time.Duration, b *backEnd, left []uint32) float64 {
	held := 0
	for _, shard := range left {
		if b.holding.HasShard(shard) {
			held++
		}
	}
	return b.score(now) / float64(max(1, min(held, c.settings.ShardsPerAttempt)))
}
