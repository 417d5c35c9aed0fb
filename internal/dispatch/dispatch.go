// Package dispatch decides, for the back ends of the groups a node owns, which replica gets which shards of a sub-query, when an
// attempt is hedged or retried, and what is refused.
//
// Where each rule stands: admission and refusals in admit.go, the choice of a replica in choose.go, hedges in hedge.go, retries
// in retry.go, what is known of a back end and when it is taken out of use in backend.go and health.go, queries that end back
// ends in quarantine.go. The way of a sub-query: dispatch.go (in), place.go and queue.go (to back ends), outcome.go (answers),
// finish.go (out).
//
// It owns what the node knows of the back ends of its groups, the sub-queries it serves and their attempts. All of that is lost
// with the node: roots ask a deputy, and a new owner starts with windows of one. It relies on package placement for the groups,
// on package limit for windows, budgets and latencies, and on its caller for the time, one call at a time; it does no I/O, takes
// no lock and reads no clock. Invariants:
//   - attempts in flight at a back end never exceed this node's share of its slots;
//   - a sub-query is reported as not run only if every attempt handed out is proved not to have run;
//   - an attempt that is not repeatable is started again only after such proof;
//   - one answer per shard is passed on, the first valid one, and only at the snapshot asked for;
//   - a hedge is sent only into a free slot and from a budget, so hedges never feed an overload.
package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/query"
)

// Core is the dispatcher of one node.
type Core struct {
	settings   Settings
	generation uint64
	random     *rand.Rand
	groups     map[groupKey]*group
	subQueries map[query.ID]*subQuery
	attempts   map[uint64]*attempt
	roots      map[uint64]*replayWindow
	timers     timerHeap
	number     uint64
	actions    []Action
	// leavingMachines are those that the machine list says are leaving.
	leavingMachines map[string]bool
	// refusals keeps when a back end whose health lies refused work as leaving, also while its group is not owned.
	refusals map[string]time.Duration
	// quarantine knows the queries that have ended back ends.
	quarantine *quarantine.Core
	// Counters may be read by the driver.
	Counters Counters
}

// New returns a core without groups.
func New(generation uint64, settings Settings, random *rand.Rand) *Core {
	return &Core{
		settings: settings, generation: generation, random: random,
		groups: map[groupKey]*group{}, subQueries: map[query.ID]*subQuery{}, attempts: map[uint64]*attempt{},
		roots: map[uint64]*replayWindow{}, leavingMachines: map[string]bool{}, refusals: map[string]time.Duration{},
		quarantine: quarantine.New(settings.Quarantine),
	}
}

// take returns the actions collected since the last call.
func (c *Core) take() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *Core) emit(action Action) { c.actions = append(c.actions, action) }

// Idle reports whether no sub-query is under way.
func (c *Core) Idle() bool { return len(c.subQueries) == 0 }

// Submit takes a sub-query from a root, and serves it or refuses it as not run.
func (c *Core) Submit(now time.Duration, root string, request *message.SubQuery) []Action {
	c.Counters.ShardsAsked += uint64(len(request.Shards))
	if c.replayed(now, request.ID) {
		return c.take()
	}
	g := c.groups[groupKey{service: request.Service, number: request.Group}]
	if g == nil {
		c.refuse(root, request, query.ReasonNoReplica, 0)
		return c.take()
	}
	g.lastUsed = now
	q := newSubQuery(now, root, g, request)
	verdict := c.quarantine.Verdict(clock.FromDuration(now), identityOf(request))
	if refused, admitted := c.admit(now, q, verdict); !admitted {
		c.refuse(root, request, refused.reason, refused.retryAfter)
		return c.take()
	}
	c.subQueries[q.id] = q
	c.schedule(q.deadline, q)
	g.hedges.Earn(len(request.Shards))
	g.retries.Earn(len(request.Shards))
	if verdict == quarantine.Suspect {
		q.caution = caution{suspect: true, held: slices.Clone(request.Shards)}
		c.sendHeld(now, q)
	} else {
		c.place(now, q, request.Shards, false, query.ReasonNoReplica)
	}
	c.finishIfDone(now, q)
	return c.take()
}

// Refuse turns a sub-query down as not run, as while the node is stopping; a copy of it that comes later is not served either.
func (c *Core) Refuse(now time.Duration, root string, request *message.SubQuery) []Action {
	if !c.replayed(now, request.ID) {
		c.refuse(root, request, query.ReasonNoReplica, 0)
	}
	return c.take()
}

func (c *Core) refuse(root string, request *message.SubQuery, reason query.Reason, retryAfter time.Duration) {
	answer := &message.SubAnswer{ID: request.ID, Snapshot: request.Snapshot, Done: true, NotRun: true}
	answer.RetryAfterMilliseconds = uint32(retryAfter.Milliseconds())
	for _, shard := range request.Shards {
		answer.Missing = append(answer.Missing, query.Missing{Shard: shard, Reason: reason})
	}
	c.emit(Reply{To: root, Message: answer})
}

// Cancel withdraws a sub-query for its root.
func (c *Core) Cancel(now time.Duration, id query.ID) []Action {
	if q := c.subQueries[id]; q != nil && !q.request.Execute {
		c.end(now, q)
	}
	return c.take()
}
