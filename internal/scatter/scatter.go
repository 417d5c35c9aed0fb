// Package scatter runs a search at its root, that is the node that received it from a caller. It decides at which
// snapshot the search runs, which group of back ends is asked for which shard, when another dispatcher is asked, and
// which coverage or failure the answer states. A dispatcher is a node that sends sub-queries to the back ends of a
// group.
//
// A query passes through scatter.go (start and plan, with routing.go for the choice of the snapshot), ask.go
// (sub-queries sent), receive.go (answers), retry.go (other dispatchers and other snapshots) and finish.go (the final
// answer, and each failure with its retry-after time).
//
// The package holds one Query per search in flight. It relies on its Environment for what is known of shards and
// dispatchers, and on its caller for the current time and for making one call at a time. It does no I/O, takes no locks
// and reads no clock. Invariants:
//   - All documents of one answer are of one snapshot.
//   - A shard counts as answered only by an answer to this query at that snapshot, and only once.
//   - The answered and the missing shards together are all shards of the epoch.
//   - A query is reported as not run only if every sub-query sent is proved not to have run.
package scatter

import (
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/message"
	"stiletrail/internal/query"
)

// Environment is what a query needs from the node on which it runs.
type Environment interface {
	// Routing returns what is known now of the service's back ends and their holdings.
	Routing(service string) Routing
	// PickDispatcher picks a node that dispatches to a group and is not excluded. With includeStandbys, it picks a standby
	// or a previous owner of the group if no dispatcher is left. It returns false if there is no such node.
	PickDispatcher(service string, group uint32, excluded []string, includeStandbys bool) (string, bool)
	// NextID returns a new unique id for a sub-query.
	NextID() query.ID
	// Region returns the region of the node.
	Region() string
	// SubQueryLatency returns a high quantile of the latency of sub-queries, or zero while it is unknown.
	SubQueryLatency() time.Duration
	// SpendReissue takes a number of shards from the budget for asking a second dispatcher while the first is silent.
	// It returns false if the budget is too small.
	SpendReissue(shards int) bool
	// MarkSuspect records that a dispatcher is silent or cannot be reached, so that others are preferred for a while.
	MarkSuspect(address string)
}

// Request is a search as its root received it.
type Request struct {
	Service        string
	Body           []byte
	Deadline       time.Duration
	MinimumVersion uint64
	Document       catalog.Document
}

// Query is the state of one search in flight.
type Query struct {
	environment Environment
	request     Request
	startedAt   time.Duration
	// planned is the current plan, plans the number of plans so far.
	planned Plan
	plans   int
	// excluded are the snapshots that a back end turned out not to hold.
	excluded []query.Snapshot
	shards   []shard
	// holders are the numbers of the groups that can answer, by shard.
	holders    [][]uint32
	results    map[uint32]query.ShardDocuments
	answered   uint32
	subQueries map[query.ID]*subQuery
	// sendOrder lists the sub-queries in flight in the order in which they were sent. It makes the simulation
	// reproducible from its seed.
	sendOrder []query.ID
	// shardAttempts counts the shards in all requests to back ends so far, as reported by the dispatchers.
	shardAttempts uint32
	// mayHaveRun is true if there is a sub-query that is not proved not to have run.
	mayHaveRun bool
	// retryAfter is the longest retry-after time that a dispatcher has sent.
	retryAfter time.Duration
	actions    []Action
	done       bool
}

// shard is the state of one shard of the query. The shard is answered, asked for, or missing for a reason.
type shard struct {
	answered bool
	reason   query.Reason
	// live counts the sub-queries in flight for the shard.
	live int
	// tried are the targets to which a sub-query for the shard was sent.
	tried []target
}

// target is a group together with a dispatcher for it, to which a sub-query can be sent.
type target struct {
	group      uint32
	dispatcher string
}

// subQuery is a sub-query in flight.
type subQuery struct {
	dispatcher string
	shards     []uint32
	// responded is true once the dispatcher has sent an answer.
	responded bool
	// reissued is true once a second dispatcher was asked for the shards.
	reissued bool
	// waitUntil is when the dispatcher counts as silent, or the results that are still outstanding as lost.
	waitUntil time.Duration
	// finalAnswer is the final answer, kept while results that were sent before it have not arrived.
	finalAnswer *message.SubAnswer
}

// Start plans a search, and returns its state and its first actions.
func Start(now time.Duration, request Request, environment Environment) (*Query, []Action) {
	q := &Query{
		environment: environment, request: request, startedAt: now,
		results: map[uint32]query.ShardDocuments{}, subQueries: map[query.ID]*subQuery{},
	}
	q.plan(now)
	return q, q.takeActions()
}

// Done reports whether the answer was emitted.
func (q *Query) Done() bool { return q.done }

// HasSubQuery reports whether the id belongs to a sub-query of this query that is in flight.
func (q *Query) HasSubQuery(id query.ID) bool { return q.subQueries[id] != nil }

// takeActions returns the actions collected since the last call.
func (q *Query) takeActions() []Action {
	actions := q.actions
	q.actions = nil
	return actions
}

func (q *Query) send(to string, m message.Message) {
	q.actions = append(q.actions, Send{To: to, Message: m})
}

// plan plans the whole query at a snapshot and sends its sub-queries. It discards the results of an earlier plan.
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
