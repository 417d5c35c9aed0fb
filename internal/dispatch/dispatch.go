// Package dispatch sends sub-queries to back ends. A search arrives at one node, its root, which splits it into
// sub-queries, one per group of back ends. Each group is owned by one or more nodes, its dispatchers. Other nodes, its
// standbys, serve it when no dispatcher answers. A dispatcher decides which replica gets which shards of a sub-query,
// when an attempt is hedged or retried, and which sub-queries are refused. An attempt is one request to one back end.
//
// The rules are in these files: admission and refusals in admit.go, the choice of a replica in choose.go, hedging in
// hedge.go, retries in retry.go, the state of a back end and its ejection in backend.go and health.go, requests that
// crash back ends in quarantine.go. A sub-query passes through dispatch.go (received), assign.go and queue.go (sent to
// back ends), outcome.go (answers) and finish.go (final answer).
//
// The package owns what the node knows of the back ends of its groups, the sub-queries that it serves and their
// attempts. This state is in memory only. If the node is lost, roots ask a standby, and a new owner starts with
// concurrency windows of one. The package relies on package placement for the groups, on package limit for windows,
// budgets and latencies, and on its caller for the current time and for making one call at a time. It does no I/O,
// takes no locks and reads no clock. Invariants:
//   - The attempts in flight at a back end never exceed this node's share of its slots.
//   - A sub-query is reported as not run only if every attempt started for it is proved not to have run.
//   - An attempt that is not repeatable is started again only after such proof.
//   - One answer per shard is passed on: the first valid one, and only at the snapshot asked for.
//   - A hedge is sent only into a free slot and from a budget, so that hedges never add to an overload.
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
	// attempts holds the attempts in flight, by number.
	attempts map[uint64]*attempt
	// roots holds one replay window per generation of a root.
	roots  map[uint64]*replayWindow
	timers timerHeap
	// number is the last number given to an attempt or a timer.
	number  uint64
	actions []Action
	// drainingMachines holds the addresses of the back ends that the machine list reports as leaving.
	drainingMachines map[string]bool
	// refusals holds, by address, when a back end last refused an attempt as draining although its description does not
	// say so. It outlives the ownership of the group.
	refusals map[string]time.Duration
	// quarantine records the requests that have crashed back ends.
	quarantine *quarantine.Core
	// Counters may be read by the caller.
	Counters Counters
}

// New returns a core without groups.
func New(generation uint64, settings Settings, random *rand.Rand) *Core {
	return &Core{
		settings: settings, generation: generation, random: random,
		groups: map[groupKey]*group{}, subQueries: map[query.ID]*subQuery{}, attempts: map[uint64]*attempt{},
		roots: map[uint64]*replayWindow{}, drainingMachines: map[string]bool{}, refusals: map[string]time.Duration{},
		quarantine: quarantine.New(settings.Quarantine),
	}
}

// takeActions returns the actions collected since the last call.
func (c *Core) takeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *Core) emit(action Action) { c.actions = append(c.actions, action) }

// Idle reports whether no sub-query is in flight.
func (c *Core) Idle() bool { return len(c.subQueries) == 0 }

// Submit receives a sub-query from a root and serves it or refuses it as not run. A duplicate is dropped.
func (c *Core) Submit(now time.Duration, root string, request *message.SubQuery) []Action {
	c.Counters.ShardsAsked += uint64(len(request.Shards))
	if c.replayed(now, request.ID) {
		return c.takeActions()
	}
	g := c.groups[groupKey{service: request.Service, number: request.Group}]
	if g == nil {
		c.refuse(root, request, query.ReasonNoReplica, 0)
		return c.takeActions()
	}
	g.lastUsed = now
	q := newSubQuery(now, root, g, request)
	verdict := c.quarantine.Verdict(clock.FromDuration(now), identityOf(request))
	if refused, admitted := c.admit(now, q, verdict); !admitted {
		c.refuse(root, request, refused.reason, refused.retryAfter)
		return c.takeActions()
	}
	c.subQueries[q.id] = q
	c.schedule(q.deadline, q)
	g.hedges.Earn(len(request.Shards))
	g.retries.Earn(len(request.Shards))
	if verdict == quarantine.Suspect {
		q.serialTrials = serialTrials{suspect: true, held: slices.Clone(request.Shards)}
		c.sendHeld(now, q)
	} else {
		c.assign(now, q, request.Shards, false, query.ReasonNoReplica)
	}
	c.finishIfDone(now, q)
	return c.takeActions()
}

// Refuse refuses a sub-query as not run, for example while the node is stopping. A duplicate that arrives later is not
// served either.
func (c *Core) Refuse(now time.Duration, root string, request *message.SubQuery) []Action {
	if !c.replayed(now, request.ID) {
		c.refuse(root, request, query.ReasonNoReplica, 0)
	}
	return c.takeActions()
}

// refuse answers a sub-query as not run, with all its shards missing for the given reason.
func (c *Core) refuse(root string, request *message.SubQuery, reason query.Reason, retryAfter time.Duration) {
	answer := &message.SubAnswer{ID: request.ID, Snapshot: request.Snapshot, Done: true, NotRun: true}
	answer.RetryAfterMilliseconds = uint32(retryAfter.Milliseconds())
	for _, shard := range request.Shards {
		answer.Missing = append(answer.Missing, query.Missing{Shard: shard, Reason: reason})
	}
	c.emit(Reply{To: root, Message: answer})
}

// Cancel ends a sub-query that its root has cancelled. A request that is not repeatable cannot be cancelled.
func (c *Core) Cancel(now time.Duration, id query.ID) []Action {
	if q := c.subQueries[id]; q != nil && !q.request.Execute {
		c.end(now, q)
	}
	return c.takeActions()
}
