// Package gateway runs requests on a node that asks back ends itself, and keeps what such a node knows: the routing table in
// force, the back ends, the store, the other nodes, and requests that end back ends.
//
// Decisions are made in packages without I/O (forward, replica, admit, limit, routing; follow, spread, membership, healthreport,
// quarantine); this one has the clock, the goroutines, the calls to the store and to peers, and the one lock, Gateway.mu. Types
// that are guarded by it don't lock; methods of the gateway that use them lock, or are called by one that does.
//
// Requests:
//   - call.go, serve.go, starting.go, trial.go, run.go, run_node.go, attempt.go: a call from its arrival to its answer;
//   - refusals.go, outcome.go: how it is refused, and what its end is called.
//
// What a node knows, each matter a type in a file of its own:
//   - store_copy.go: storeCopy, what is known of the store and how old that is. store_reading.go carries out the calls to the
//     store, store_changes.go takes in what they and peers bring, store_waits.go derives the waits, store_item.go and store.go
//     are the store as the adapter offers it, first_listing.go is a node that starts.
//   - fleet.go: fleet, the other nodes; peers.go exchanges messages with them. watch_assignment.go says who watches the store for
//     whom, tell_tree.go who passes a large change on, fleet_share.go divides what nodes share: connections, cold back ends, the retry slack.
//   - quarantine_writes.go: quarantineWrites, what is to be written to the store of quarantines, and claims of retrials.
//     quarantine_evidence.go: evidenceSchedule, when other nodes are told.
//   - health_reports.go: healthReports, what other nodes are told of slow and faulty back ends.
//   - maintain.go ends doubts that are over; suspensions.go says when the machine was suspended.
//   - status.go and decision_log.go: what is shown of all that.
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
	"stiletrail/internal/quarantine"
	"stiletrail/internal/replica"
	"stiletrail/internal/routing"
)

// Gateway is one node's. Its methods are safe for concurrent use.
type Gateway struct {
	settings atomic.Pointer[Settings]
	backEnds BackEndClient
	store    Store
	log      DecisionLog
	clock    clock.Clock
	table    atomic.Pointer[routing.Table]
	inFlight atomic.Int64
	leaving  atomic.Bool
	// firstListing is how far the node has come to know the store's whole content.
	firstListing firstListing
	// finishNow is closed when all requests under way are to be answered at once.
	finishNow  chan struct{}
	finishOnce sync.Once
	// suspensions of the machine, for those that wait on timers.
	suspensions suspensions
	// storeReadWanted is signalled when a request lacks known back ends: the next reading of the store is due soon.
	storeReadWanted chan struct{}

	// mu guards all below.
	mu       sync.Mutex
	replicas *replica.Set
	budgets  map[string]*limit.SlidingBudget
	splitter *routing.Splitter
	// gate turns requests away while there are more than back ends can answer in time.
	gate admit.Controller
	// quarantine knows the requests that have ended back ends; trials are those that are sent to one back end at a time now, by how
	// many calls.
	quarantine       *quarantine.Core
	trials           map[quarantine.Fingerprint]int
	quarantineWrites quarantineWrites
	evidence         evidenceSchedule
	storeCopy        *storeCopy
	reports          healthReports
	fleet            fleet
}

// New returns a gateway that knows nothing yet. Run makes it follow the store.
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
		trials:           map[quarantine.Fingerprint]int{},
		quarantineWrites: newQuarantineWrites(random),
		evidence:         evidenceSchedule{random: random},
		reports:          newHealthReports(),
	}
	g.settings.Store(&settings)
	g.storeCopy = newStoreCopy(&settings, log, g.pickSpreadPeers, random.Float64)
	return g
}

// Reconfigure puts other settings in force. Requests under way end with those that they began with.
func (g *Gateway) Reconfigure(settings Settings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settings.Store(&settings)
	g.storeCopy.configure(&settings)
	g.replicas.Reconfigure(settings.Replica, settings.Topology)
	g.quarantine.Reconfigure(settings.Quarantine)
	for _, budget := range g.budgets {
		budget.SetShare(settings.Retries.Share)
	}
	g.divideAmongNodes()
}

// Run follows the store and drives what is due, until the context ends.
func (g *Gateway) Run(ctx context.Context) {
	go g.maintain(ctx)
	go g.writeQuarantines(ctx)
	if g.fleet.members != nil {
		go g.tickPeers(ctx)
		go g.sendReports(ctx)
	}
	g.readStore(ctx)
}

// now is the time since the start, suspensions of the machine included.
func (g *Gateway) now() time.Duration { return g.clock.Elapsed() }

func (g *Gateway) wallTime(moment time.Duration) time.Time { return g.clock.ToTime(moment) }

// Ready reports whether the node should get requests: it has a configuration and back ends, and is not leaving.
func (g *Gateway) Ready() bool {
	return g.table.Load() != nil && g.firstListing.read.Load() && !g.leaving.Load()
}

// FinishInFlight answers all requests under way at once, with what is there.
func (g *Gateway) FinishInFlight() { g.finishOnce.Do(func() { close(g.finishNow) }) }

// Leave makes the node say that it is not ready any more. It serves on.
func (g *Gateway) Leave() { g.leaving.Store(true) }

// Leaving reports whether Leave was called.
func (g *Gateway) Leaving() bool { return g.leaving.Load() }

// InFlight is the number of requests under way.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Limits of what callers may send, by the configuration in force; false before there is one.
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

// Version of the configuration in force, 0 without one.
func (g *Gateway) Version() uint64 {
	table := g.table.Load()
	if table == nil {
		return 0
	}
	return table.Version()
}

// BackEndsKnown is the number of back ends known, those in doubt included.
func (g *Gateway) BackEndsKnown() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replicas.Len()
}
