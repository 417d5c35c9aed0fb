package dispatch

import (
	"slices"
	"time"

	"stiletrail/internal/message"
	"stiletrail/internal/query"
)

// subQuery is a sub-query in flight at this dispatcher.
type subQuery struct {
	id       query.ID
	root     string
	group    *group
	request  *message.SubQuery
	deadline time.Duration
	shards   map[uint32]*shardState
	attempts []*attempt
	// possiblyRun counts the attempts that were started and are not proved not to have run.
	possiblyRun int
	// shardAttempts counts the shards in all attempts started, hedges and retries included.
	shardAttempts uint32
	// retryAfter is the longest retry-after time that a back end has sent.
	retryAfter   time.Duration
	finished     bool
	serialTrials serialTrials
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

// shardState is the state of one shard of a sub-query. The shard is answered, live, held for a trial, or missing.
type shardState struct {
	answered bool
	// missing is the reason why the shard is missing, ReasonNone if it is not.
	missing query.Reason
	// live counts the attempts for the shard that are queued or in flight.
	live int
	// tried are the replicas to which an attempt for the shard was assigned.
	tried []*backEnd
}

// addAttempt records an attempt for the shard at a replica, queued or in flight.
func (s *shardState) addAttempt(b *backEnd) {
	s.tried = append(s.tried, b)
	s.live++
}

// anyAnswered reports whether a shard of the sub-query is answered.
func (q *subQuery) anyAnswered() bool {
	for _, state := range q.shards {
		if state.answered {
			return true
		}
	}
	return false
}

// anyInFlight reports whether an attempt of the sub-query is queued or in flight.
func (q *subQuery) anyInFlight() bool {
	for _, state := range q.shards {
		if state.live > 0 {
			return true
		}
	}
	return false
}

// anyTried reports whether an attempt was assigned before for one of the given shards.
func (q *subQuery) anyTried(shards []uint32) bool {
	return slices.ContainsFunc(shards, func(shard uint32) bool { return len(q.shards[shard].tried) > 0 })
}

// attempt is one request in flight to a back end.
type attempt struct {
	number    uint64
	subQuery  *subQuery
	backEnd   *backEnd
	group     *group
	shards    []uint32
	startedAt time.Duration
	// hedge is true if the attempt is a hedge itself.
	hedge bool
	// hedged is true if all its open shards were hedged, or none was left open.
	hedged bool
	// abandoned is true if the attempt was given up because the sub-query no longer needs its outcome.
	abandoned bool
}

// queuedAttempt is an attempt that waits for a free slot of a back end.
type queuedAttempt struct {
	subQuery *subQuery
	shards   []uint32
	hedge    bool
}
