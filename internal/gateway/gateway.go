// Package gateway serves requests on a node that sends them to back ends itself. It also keeps the state that such a node
// needs: the routing table in force, the known back ends, a copy of the store, the other nodes, and the requests that
// crash back ends.
//
// The decisions are made in packages without I/O: forward, replica, tenant, admit, priority, limit, quota and routing for
// requests; follow, spread, membership, healthreport, sharedhealth and quarantine for the state. This package has the clock,
// the goroutines, the calls to the store and to peers, and the one lock, Gateway.mu. The types that Gateway.mu guards do not
// lock it themselves. The methods of Gateway that use them either lock it or are called with it held.
//
// Requests:
//   - call.go, serve.go, starting.go, trial.go, run.go, node_view.go and attempt.go take a call from its arrival to its
//     answer.
//   - authenticate.go finds the tenant of a call.
//   - turns.go gives capacity to the requests that wait for the same back ends, in the order of package priority.
//   - refusals.go has the answers to calls that are refused, outcome.go the names of outcomes.
//
// State of the node, one type for each subject:
//   - store_copy.go: storeCopy holds what is known of the store and how old that is. store_reading.go makes the calls to
//     the store, store_changes.go applies the changes that come from the store and from peers, and propagation_times.go
//     derives the timeouts. store_item.go and store.go describe the store as the adapter offers it. first_listing.go is
//     about a node that starts.
//   - fleet.go: fleet holds the other nodes. peers.go exchanges messages with them. watch_assignment.go decides which
//     nodes watch the store for which others, and change_tree.go which nodes forward a large change. fleet_share.go
//     divides what the nodes share: the connections of back ends and the load on cold back ends.
//   - quarantine_writes.go: quarantineWrites holds the quarantines to be written to the store, and the claims of
//     retrials. quarantine_evidence.go: evidenceSchedule decides when evidence is sent to other nodes.
//   - health_reports.go: healthReports holds the reports on slow and faulty back ends that go to other nodes.
//   - shared_health.go: sharedHealth is this node's part in finding refusing and unreachable back ends together with others.
//   - quotas.go: quotas takes and lends the tokens of limits over all nodes (package quota). retry_slack.go borrows extra
//     attempts as such tokens.
//   - roster.go: rosterState is this node's part in the roster of running nodes, which is kept in the store for the limits.
//     quota_members.go tells the holder of tokens which nodes there are.
//   - maintain.go ends doubtful states whose time has passed. suspensions.go tracks suspensions of the machine.
//   - status.go and decision_log.go show the state to operators.
package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"stiletrail/internal/admit"
	"stiletrail/internal/clock"
	"stiletrail/internal/limit"
	"stiletrail/internal/peerclock"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/replica"
	"stiletrail/internal/routing"
)

// Gateway serves the requests that arrive at one node. Its methods are safe for concurrent use.
type Gateway struct {
	settings atomic.Pointer[Settings]
	backEnds BackEndClient
	store    Store
	log      DecisionLog
	clock    clock.Clock
	table    atomic.Pointer[routing.Table]
	inFlight atomic.Int64
	leaving  atomic.Bool
	// finishAt is when the requests in flight are answered because the node stops, as a time.Duration on the node's clock. It is
	// valid while leaving is set.
	finishAt atomic.Int64
	// firstListing tracks whether the node has read the whole content of the store since its start.
	firstListing firstListing
	// finishNow is closed when all requests in flight must be answered at once.
	finishNow  chan struct{}
	finishOnce sync.Once
	// suspensions wakes goroutines that wait on timers after the machine was suspended.
	suspensions suspensions
	// storeReadWanted is signalled when a request lacks back ends, so that the store is read again soon.
	storeReadWanted chan struct{}

	// mu guards all fields below.
	mu       sync.Mutex
	replicas *replica.Set
	budgets  map[string]*limit.SlidingBudget
	splitter *routing.Splitter
	// admissionController rejects a part of the requests while there are more than the back ends can answer in time.
	admissionController admit.Controller
	// turns knows which shards of requests wait for capacity of back ends.
	turns turns
	// quarantine knows the requests that have crashed back ends. trials counts, for each such request, the calls that are
	// being sent to one back end at a time now.
	quarantine       *quarantine.Core
	trials           map[quarantine.Fingerprint]int
	quarantineWrites quarantineWrites
	evidence         evidenceSchedule
	heldEvidence     []heldEvidence
	storeCopy        *storeCopy
	clocks           *peerclock.Core
	reports          healthReports
	shared           sharedHealth
	quotas           quotas
	roster           rosterState
	fleet            fleet
}

// New returns a gateway that knows no configuration and no back ends yet. Run makes it follow the store.
func New(settings Settings, backEnds BackEndClient, store Store, log DecisionLog) *Gateway {
	random := rand.New(rand.NewPCG(settings.Seed, settings.Seed))
	g := &Gateway{
		backEnds:         backEnds,
		store:            store,
		log:              log,
		clock:            clock.Start(),
		firstListing:     firstListing{complete: make(chan struct{})},
		finishNow:        make(chan struct{}),
		storeReadWanted:  make(chan struct{}, 1),
		replicas:         replica.NewSet(settings.Replica, settings.Topology, random),
		budgets:          map[string]*limit.SlidingBudget{},
		splitter:         routing.NewSplitter(),
		quarantine:       quarantine.New(settings.Quarantine),
		turns:            newTurns(),
		trials:           map[quarantine.Fingerprint]int{},
		quarantineWrites: newQuarantineWrites(random),
		evidence:         evidenceSchedule{random: random},
		clocks:           peerclock.New(rand.Uint64()),
		reports:          newHealthReports(),
		shared:           newSharedHealth(),
	}
	g.quotas = newQuotas(g.nowMs(), localProcess)
	g.settings.Store(&settings)
	g.storeCopy = newStoreCopy(&settings, log, g.pickSpreadPeers, g.clocks, random.Float64)
	return g
}

// Reconfigure applies new settings. Requests in flight keep the settings that they started with.
func (g *Gateway) Reconfigure(settings Settings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settings.Store(&settings)
	g.storeCopy.configure(&settings)
	g.replicas.Reconfigure(settings.Replica, settings.Topology)
	g.quarantine.Reconfigure(settings.Quarantine)
	g.applyRejectedConfiguration()
	g.updateLimits(g.table.Load())
	for _, budget := range g.budgets {
		budget.SetShare(settings.Retries.Share)
	}
	g.divideAmongNodes()
}

// Run follows the store and runs all periodic work until the context ends.
func (g *Gateway) Run(ctx context.Context) {
	go g.maintain(ctx)
	go g.writeQuarantines(ctx)
	go g.tickQuotas(ctx)
	if g.fleet.members != nil {
		go g.tickPeers(ctx)
		go g.sendReports(ctx)
		go g.runSharedHealth(ctx)
		go g.keepRoster(ctx)
	}
	g.readStore(ctx)
}

// nowMs returns the time since the start in milliseconds.
func (g *Gateway) nowMs() clock.Ms { return clock.FromDuration(g.now()) }

// now returns the time since the start, including the time for which the machine was suspended.
func (g *Gateway) now() time.Duration { return g.clock.Elapsed() }

func (g *Gateway) wallTime(moment time.Duration) time.Time { return g.clock.ToTime(moment) }

// Ready reports whether the node should get requests: it has a configuration, has read the store, and is not leaving.
func (g *Gateway) Ready() bool {
	return g.table.Load() != nil && g.firstListing.read.Load() && !g.leaving.Load()
}

// FinishInFlight answers all requests in flight at once with the results that they have so far.
func (g *Gateway) FinishInFlight() { g.finishOnce.Do(func() { close(g.finishNow) }) }

// Leave makes the node report that it is not ready any more. It still serves the requests that arrive, but for those that will
// probably not have ended when FinishInFlight is called, after finishIn.
func (g *Gateway) Leave(finishIn time.Duration) {
	g.finishAt.Store(int64(g.now() + finishIn))
	g.leaving.Store(true)
}

// Leaving reports whether Leave was called.
func (g *Gateway) Leaving() bool { return g.leaving.Load() }

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Limits returns the limits on what callers may send, as the configuration in force sets them. It returns false while
// there is no configuration.
func (g *Gateway) Limits() (routing.Limits, bool) {
	table := g.table.Load()
	if table == nil {
		return routing.Limits{}, false
	}
	return table.Limits(), true
}

func (g *Gateway) retryBudget(service string) *limit.SlidingBudget {
	budget := g.budgets[service]
	if budget == nil {
		settings := g.settings.Load().Retries
		created := limit.NewSlidingBudget(settings.Share, settings.Window)
		budget = &created
		g.budgets[service] = budget
	}
	return budget
}

// Version returns the version of the configuration in force, or 0 without one.
func (g *Gateway) Version() uint64 {
	table := g.table.Load()
	if table == nil {
		return 0
	}
	return table.Version()
}

// BackEndsKnown returns the number of known back ends, including the doubtful ones.
func (g *Gateway) BackEndsKnown() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replicas.Len()
}
