// Package scatter decides, at the node a caller reached, at which snapshot a query runs, which group is asked for which shard,
// when another dispatcher is asked, and what the answer may claim.
//
// The way of a query: scatter.go (start and plan, with routing.go for the choice of the snapshot), ask.go (sub-queries out),
// receive.go (answers in), retry.go (other dispatchers and other snapshots), finish.go (the answer, and each failure with its
// time to come back).
//
// It owns one Query per search under way. It relies on its Environment for what is known of shards and dispatchers, and on its
// caller for the time, one call at a time; it does no I/O, takes no lock and reads no clock. Invariants:
//   - documents of one answer are all of one snapshot;
//   - a shard counts as answered only with an answer to this query at that snapshot, once;
//   - answered and missing shards together are all the shards of the epoch;
//   - a query is reported as not run only if every sub-query sent is proved not to have run.
package scatter

import (
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/message"
	"stiletrail/internal/query"
)

// Environment is what a query needs of the node it runs on.
type Environment interface {
	// Routing is what is known now of the service's shards.
	Routing(service string) Routing
	// PickDispatcher picks a node that dispatches to a group, none of those excluded. With deputiesToo, deputies and earlier
	// dispatchers are picked too where no other is left.
	PickDispatcher(service string, group uint32, excluded []string, deputiesToo bool) (string, bool)
	// NextID returns an id never given before.
	NextID() query.ID
	// Region of the node.
	Region() string
	// SubQueryLatency is a high quantile of the latency of sub-queries, zero while unknown.
	SubQueryLatency() time.Duration
	// SpendReissue takes from the budget for asking a second dispatcher while the first is silent.
	SpendReissue(shards int) bool
	// MarkSuspect notes that a dispatcher is silent.
	MarkSuspect(address string)
}

// Request is a search as its root takes it.
type Request struct {
	Service        string
	Body           []byte
	Deadline       time.Duration
	MinimumVersion uint64
	Document       catalog.Document
}

// Query is one search under way.
type Query struct {
	environment Environment
	request     Request
	startedAt   time.Duration
	planned     Plan
	plans       int
	// excluded are the snapshots that back ends turned out not to hold.
	excluded []query.Snapshot
	shards   []shard
	// holders are, per shard, the groups that can answer.
	holders    [][]uint32
	results    map[uint32]query.ShardDocuments
	answered   uint32
	subQueries map[query.ID]*subQuery
	// sendOrder of the sub-queries, so that a seed gives one trace.
	sendOrder []query.ID
	// shardAttempts counts the shards asked of back ends so far.
	shardAttempts uint32
	// mayHaveRun: a sub-query is not proved not to have run.
	mayHaveRun bool
	retryAfter time.Duration
	actions    []Action
	done       bool
}

// shard is what became of a shard so far: it is answered, or live, or missing for a reason.
type shard struct {
	answered bool
	reason   query.Reason
	// live counts sub-queries under way that were asked for the shard.
	live  int
	tried []target
}

// target is a dispatcher of a group that was asked for a shard.
type target struct {
	group      uint32
	dispatcher string
}

// subQuery is what one dispatcher was asked for.
type subQuery struct {
	dispatcher string
	shards     []uint32
	// responded: something came back.
	responded bool
	reissued  bool
	// waitUntil is when another dispatcher is asked for what did not come.
	waitUntil time.Duration
	// finalAnswer is the final answer, kept while results that were sent before it are still on their way.
	finalAnswer *message.SubAnswer
}

// Start plans a search and returns it with its first actions.
func Start(now time.Duration, request Request, environment Environment) (*Query, []Action) {
	q := &Query{
		environment: environment, request: request, startedAt: now,
		results: map[uint32]query.ShardDocuments{}, subQueries: map[query.ID]*subQuery{},
	}
	q.plan(now)
	return q, q.takeActions()
}

// Done reports whether the answer was given.
func (q *Query) Done() bool { return q.done }

// HasSubQuery reports whether the id is of a sub-query of this query.
func (q *Query) HasSubQuery(id query.ID) bool { return q.subQueries[id] != nil }

func (q *Query) takeActions() []Action {
	actions := q.actions
	q.actions = nil
	return actions
}

func (q *Query) send(to string, m message.Message) {
	q.actions = append(q.actions, Send{To: to, Message: m})
}

// plan plans the whole query at a snapshot and sends it out. Nothing of an earlier plan is kept.
func (q *Query) plan(now time.Duration) {
	routing := q.environment.Routing(q.request.Service)
	plan, found := routing.ChoosePlan(q.request.MinimumVersion, q.excluded)
	if !found {
		q.finishWithoutPlan(routing)
		return
	}
	q.plans++
	q.planned = plan
	q.answered = 0
	clear(q.results)
	q.shards = make([]shard, plan.Total)
	q.holders = routing.holders(plan.Snapshot, plan.Total, q.environment.Region())
	all := make([]uint32, plan.Total)
	for i := range all {
		all[i] = uint32(i)
	}
	q.ask(now, all, query.ReasonNoReplica)
	q.finishIfDone(now)
}
