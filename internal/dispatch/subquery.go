package dispatch

import (
	"slices"
	"time"

	"stiletrail/internal/message"
	"stiletrail/internal/query"
)

// subQuery is what a root has asked this dispatcher for, while it is served.
type subQuery struct {
	id       query.ID
	root     string
	group    *group
	request  *message.SubQuery
	deadline time.Duration
	shards   map[uint32]*shardState
	attempts []*attempt
	// unproved counts the attempts that were handed out and are not proved not to have run.
	unproved int
	// shardAttempts counts the shards asked of back ends, hedges and retries included.
	shardAttempts uint32
	// retryAfter is the longest that a back end has asked for.
	retryAfter time.Duration
	finished   bool
	caution    caution
}

func newSubQuery(now time.Duration, root string, g *group, request *message.SubQuery) *subQuery {
	q := &subQuery{
		id: request.ID, root: root, group: g, request: request,
		deadline: now + time.Duration(request.RemainingMicroseconds)*time.Microsecond,
		shards:   make(map[uint32]*shardState, len(request.Shards)),
	}
	for _, shard := range request.Shards {
		q.shards[shard] = &shardState{}
	}
	return q
}

// shardState is what became of a shard of a sub-query so far: it is answered, or live, or held for a trial, or missing.
type shardState struct {
	answered bool
	// missing is why it is, ReasonNone while it is not.
	missing query.Reason
	// live counts attempts queued or under way.
	live int
	// tried are the replicas that were asked, or that it was queued at.
	tried []*backEnd
}

// askAt notes an attempt for the shard at a replica, queued or under way.
func (s *shardState) askAt(b *backEnd) {
	s.tried = append(s.tried, b)
	s.live++
}

// answered reports whether a shard of the sub-query was answered.
func (q *subQuery) answered() bool {
	for _, state := range q.shards {
		if state.answered {
			return true
		}
	}
	return false
}

// underWay reports whether an attempt of the sub-query may still be answered.
func (q *subQuery) underWay() bool {
	for _, state := range q.shards {
		if state.live > 0 {
			return true
		}
	}
	return false
}

// tried reports whether a replica of one of some shards was asked before.
func (q *subQuery) tried(shards []uint32) bool {
	return slices.ContainsFunc(shards, func(shard uint32) bool { return len(q.shards[shard].tried) > 0 })
}

// attempt is one request to a back end, under way.
type attempt struct {
	number    uint64
	subQuery  *subQuery
	backEnd   *backEnd
	group     *group
	shards    []uint32
	startedAt time.Duration
	// hedge: it is one itself; hedged: all that it left open was hedged.
	hedge  bool
	hedged bool
	// abandoned: its outcome no longer matters to the sub-query.
	abandoned bool
}

// queuedAttempt is an attempt that waits for a slot.
type queuedAttempt struct {
	subQuery *subQuery
	shards   []uint32
	hedge    bool
}
