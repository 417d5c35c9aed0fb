// Package dispatch decides, for the back ends of the groups a node owns, which replica gets which shards of a
// sub-query, when to hedge, when to retry and what to refuse.
//
// The core does no I/O and reads no clock. Invariants:
//   - attempts in flight at a back end never exceed this node's share of its slots;
//   - a sub-query is reported as not run only if every attempt handed out is proved not to have run;
//   - an attempt that is not repeatable is started again only after such proof;
//   - one answer per shard is passed on, the first valid one, and only at the snapshot asked for;
//   - a hedge is sent only into a free slot and from a budget, so hedges never feed an overload.
package dispatch

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/limit"
	"stiletrail/internal/message"
	"stiletrail/internal/placement"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/query"
)

// Action is something the driver must do. Exactly one of the fields is set.
type Action struct {
	// Start sends an attempt to a back end; its outcome comes back through Answered.
	Start *query.Attempt
	// Cancel gives up an attempt; its outcome still comes back through Answered.
	Cancel uint64
	// Describe asks a back end what it holds; the outcome comes back through Described.
	Describe *Describe
	// Reply goes to the root of a sub-query.
	Reply *Reply
}

// Describe names a back end to be asked what it holds for a service.
type Describe struct {
	Service string
	BackEnd string
}

// Reply is a message for the root of a sub-query.
type Reply struct {
	To      string
	Message message.Message
}

// Counters count what the dispatcher did since it started.
type Counters struct {
	SubQueries     uint64
	ShardsAsked    uint64
	Attempts       uint64
	ShardAttempts  uint64
	Hedges         uint64
	HedgesWon      uint64
	Retries        uint64
	Refused        uint64
	DroppedAnswers uint64
	InvalidAnswers uint64
	WrongSnapshot  uint64
	Ejections      uint64
	ShedByBackEnd  uint64
	ExpiredInQueue uint64
	// EndedBackEnds counts attempts whose back end ended, Quarantined the sub-queries that were given up or refused for ending them.
	EndedBackEnds uint64
	Quarantined   uint64
	Replayed      uint64
}

type group struct {
	placement.Group
	version   uint64
	changedAt time.Duration
	// lastUsed is when the last sub-query came.
	lastUsed  time.Duration
	backEnds  []*backEnd
	latencies limit.Latencies
	// late holds attempts that are due for a hedge and found no free slot.
	late    []*attempt
	hedges  limit.Budget
	retries limit.Budget
}

type groupKey struct {
	service string
	number  uint32
}

// item is an attempt that waits for a slot.
type item struct {
	work   *work
	shards []uint32
	hedge  bool
}

type attempt struct {
	number    uint64
	work      *work
	backEnd   *backEnd
	group     *group
	shards    []uint32
	startedAt time.Duration
	hedge     bool
	hedged    bool
	// abandoned: its outcome no longer matters to the sub-query.
	abandoned bool
}

type shardState struct {
	answered bool
	missing  query.Reason
	// live counts attempts queued or under way.
	live  int
	tried []*backEnd
}

// work is a sub-query being served.
type work struct {
	id       query.ID
	root     string
	group    *group
	request  *message.SubQuery
	deadline time.Duration
	shards   map[uint32]*shardState
	attempts []*attempt
	// mayHaveRun: an attempt was handed out that is not proved not to have run.
	mayHaveRun    int
	shardAttempts uint32
	retryAfter    time.Duration
	finished      bool
	caution       caution
}

// Core is the dispatcher of one node.
type Core struct {
	settings   Settings
	generation uint64
	random     *rand.Rand
	groups     map[groupKey]*group
	works      map[query.ID]*work
	attempts   map[uint64]*attempt
	roots      map[uint64]*replayWindow
	timers     timerHeap
	number     uint64
	actions    []Action
	machines   map[string]bool
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
		groups: map[groupKey]*group{}, works: map[query.ID]*work{}, attempts: map[uint64]*attempt{},
		roots: map[uint64]*replayWindow{}, machines: map[string]bool{}, refusals: map[string]time.Duration{},
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
func (c *Core) Idle() bool { return len(c.works) == 0 }

// Submit takes a sub-query from a root.
func (c *Core) Submit(now time.Duration, root string, request *message.SubQuery) []Action {
	c.Counters.SubQueries++
	c.Counters.ShardsAsked += uint64(len(request.Shards))
	if c.replayed(now, request.ID) {
		c.Counters.Replayed++
		return c.take()
	}
	g := c.groups[groupKey{service: request.Service, number: request.Group}]
	if g == nil {
		c.refuse(root, request, query.ReasonNoReplica, 0)
		return c.take()
	}
	g.lastUsed = now
	w := &work{
		id: request.ID, root: root, group: g, request: request,
		deadline: now + time.Duration(request.RemainingMicroseconds)*time.Microsecond,
		shards:   make(map[uint32]*shardState, len(request.Shards)),
	}
	for _, shard := range request.Shards {
		w.shards[shard] = &shardState{}
	}
	verdict := c.quarantine.Verdict(clock.Of(now), identityOf(request))
	if verdict == quarantine.Quarantined {
		c.Counters.Quarantined++
		c.refuse(root, request, query.ReasonLost, c.quarantine.Left(clock.Of(now), identityOf(request)).Duration())
		return c.take()
	}
	wait, admitted := c.admit(now, w)
	if !admitted {
		c.refuse(root, request, query.ReasonOverloaded, wait)
		return c.take()
	}
	c.works[w.id] = w
	c.schedule(timer{at: w.deadline, work: w})
	g.hedges.Earn(len(request.Shards))
	g.retries.Earn(len(request.Shards))
	if verdict == quarantine.Suspect {
		w.caution = caution{suspect: true, held: slices.Clone(request.Shards)}
		c.goOn(now, w)
	} else {
		c.place(now, w, request.Shards, false, query.ReasonNoReplica)
	}
	c.finishIfDone(now, w)
	return c.take()
}

// Refuse turns a sub-query down as not run, as while the node is stopping; a copy of it that comes later is not served either.
func (c *Core) Refuse(now time.Duration, root string, request *message.SubQuery) []Action {
	if !c.replayed(now, request.ID) {
		c.refuse(root, request, query.ReasonNoReplica, 0)
	}
	return c.take()
}

func (c *Core) refuse(root string, request *message.SubQuery, reason query.Reason, wait time.Duration) {
	c.Counters.Refused++
	answer := &message.SubAnswer{ID: request.ID, Snapshot: request.Snapshot, Done: true, NotRun: true}
	answer.RetryAfterMilliseconds = uint32(wait.Milliseconds())
	for _, shard := range request.Shards {
		answer.Missing = append(answer.Missing, query.Missing{Shard: shard, Reason: reason})
	}
	c.emit(Action{Reply: &Reply{To: root, Message: answer}})
}

func (c *Core) hedgeDelay(g *group) time.Duration {
	const minimumSamples = 20
	quantile := g.latencies.Quantile(c.settings.HedgeQuantile, minimumSamples, c.settings.DefaultHedgeDelay)
	median := g.latencies.Quantile(0.5, minimumSamples, c.settings.DefaultHedgeDelay)
	byMedian := time.Duration(c.settings.HedgeMedians * float64(median))
	return max(min(quantile, byMedian), c.settings.MinimumHedgeDelay)
}

// Cancel withdraws a sub-query for its root.
func (c *Core) Cancel(now time.Duration, id query.ID) []Action {
	if w := c.works[id]; w != nil && !w.request.Execute {
		c.end(now, w)
	}
	return c.take()
}

// end closes a sub-query: what is queued is dropped, what is under way is cancelled.
func (c *Core) end(now time.Duration, w *work) {
	w.finished = true
	delete(c.works, w.id)
	for _, a := range w.attempts {
		c.abandon(now, a)
	}
	for _, b := range w.group.backEnds {
		b.removeQueued(func(it *item) bool { return it.work == w })
	}
}

// abandon gives up an attempt that is under way; its slot stays counted until its outcome is known.
func (c *Core) abandon(now time.Duration, a *attempt) {
	if a.abandoned || c.attempts[a.number] == nil {
		return
	}
	a.abandoned = true
	if elapsed := now - a.startedAt; elapsed > a.backEnd.latency {
		a.backEnd.observeLatency(elapsed)
	}
	if !a.work.request.Execute {
		c.emit(Action{Cancel: a.number})
	}
}

// NextWake returns when Tick must be called at the latest.
func (c *Core) NextWake() (time.Duration, bool) {
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].at, true
}

// Tick fires what is due: hedges, deadlines and the probes of idle back ends.
func (c *Core) Tick(now time.Duration) []Action {
	for len(c.timers) > 0 && c.timers[0].at <= now {
		due := heap.Pop(&c.timers).(timer)
		if due.attempt != nil {
			c.hedge(now, due.attempt)
		} else if !due.work.finished {
			c.finish(now, due.work, query.ReasonDeadline)
		}
	}
	return c.take()
}

// A group without a sub-query for quietAfter has its back ends described quietFactor times as rarely.
const (
	quietAfter  = 10 * time.Second
	quietFactor = 4
)

func (c *Core) describeInterval(now time.Duration, g *group) time.Duration {
	if now-g.lastUsed > quietAfter {
		return quietFactor * c.settings.DescribeInterval
	}
	return c.settings.DescribeInterval
}

// TickBackEnds starts the probes that are due; call it a few times per describe interval.
func (c *Core) TickBackEnds(now time.Duration) []Action {
	c.forgetRoots(now)
	for _, g := range c.orderedGroups() {
		interval := c.describeInterval(now, g)
		for _, b := range g.backEnds {
			if b.describing || now < b.nextDescribe || now-b.lastHeard < interval && b.described {
				continue
			}
			b.describing = true
			c.emit(Action{Describe: &Describe{Service: g.Service, BackEnd: b.address}})
		}
	}
	return c.take()
}
