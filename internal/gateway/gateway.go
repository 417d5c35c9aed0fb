// Package gateway runs requests on a node that asks back ends itself: it holds the routing table in force and the back ends
// known, drives a forward.Request per request with attempts over the network, and follows the store.
//
// All decisions are made in packages without I/O (forward, replica, follow, spread, membership, routing, limit); this one has the
// clock, the goroutines and the lock.
package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"stiletrail/internal/admit"
	"stiletrail/internal/clock"
	"stiletrail/internal/follow"
	"stiletrail/internal/forward"
	"stiletrail/internal/limit"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/replica"
	"stiletrail/internal/routing"
	"stiletrail/internal/spread"
)

// Settings of a gateway.
type Settings struct {
	Forward forward.Settings
	Replica replica.Settings
	Follow  follow.Settings
	Spread  spread.Settings
	Places  replica.Places
	// Waits for news of the store.
	Waits Waits
	// DoubtFor is how long an entry that vanished without proof that its back end leaves is used on at most.
	DoubtFor time.Duration
	// DoubtOldFor is how long after the store has come back from a copy it may name back ends that have left.
	DoubtOldFor time.Duration
	// MostConnections bounds what of a back end's connections one node may use, however few nodes are known.
	MostConnections int
	// RetrySlack is what all nodes together may send extra in a window beyond the share.
	RetrySlack float64
	// RetryShare of the requests of a service may be extra attempts in any RetryWindow, over all nodes.
	RetryShare  float64
	RetryWindow time.Duration
	// HedgeReserve is the part of the retry budget that hedges leave for retries.
	HedgeReserve float64
	// Reports has nodes tell each other of slow and faulty back ends: 0.01 of worth on a day with 15% slow back ends, 0.04 where many refuse, nothing where
	// back ends do not tell their load.
	Reports bool
	// ShareConnections divides the connections of a back end among the nodes; one in YoungPart of them while many nodes are young.
	ShareConnections bool
	YoungPart        int
	// StoreTurns has the nodes look at the store one after the other, PeerCopies has them tell each other what they learn.
	StoreTurns bool
	PeerCopies bool
	// Watchers of the store in each region tell the other nodes of it; with 0 every node watches.
	Watchers int
	// StartingHold is how long a request waits at most for the first listing of the store and, for as long after that, for back ends whose
	// entries have lapsed to come back.
	StartingHold time.Duration
	// TurnAway refuses a part of the requests at once, as not run, while back ends cannot answer all of them by the target.
	TurnAway bool
	// Quarantine of requests that end back ends.
	Quarantine quarantine.Settings
	// MaximumRequests bounds the requests under way.
	MaximumRequests int
	// Seed of random choices.
	Seed uint64
}

// Gateway is one node's.
type Gateway struct {
	settings atomic.Pointer[Settings]
	backEnds BackEnds
	store    Store
	log      DecisionLog
	clock    clock.Clock
	table    atomic.Pointer[routing.Table]
	underWay atomic.Int64
	leaving  atomic.Bool
	// firstListing is how far the node has come to know the store's whole content.
	firstListing firstListing
	// givenUp is closed when all requests under way are to be answered at once.
	givenUp    chan struct{}
	giveUpOnce sync.Once
	// wakes tells those that wait of a suspension of the machine that has just been noticed.
	wakes wakes
	// storeWanted is signalled when a request lacks known back ends: the next reading of the store is due soon.
	storeWanted chan struct{}

	mu       sync.Mutex
	replicas *replica.Set
	budgets  map[string]*limit.SlidingBudget
	splitter *routing.Splitter
	// gate turns requests away while there are more than back ends can answer in time.
	gate admit.Gate
	// quarantine knows the requests that have ended back ends; trials are those that are sent to one back end at a time now, by how many calls.
	quarantine *quarantine.Core
	trials     map[quarantine.Mark]int
	// quarantineWrites is what is to be written to the store of them.
	quarantineWrites quarantineWrites
	// evidence is when other nodes are told of them.
	evidence evidenceSchedule
	// storeCopy is what is known of the store, reports what others are told of back ends, fleet the other nodes.
	storeCopy *storeCopy
	reports   healthReports
	fleet     fleet
}

// New returns a gateway that knows nothing yet. Run makes it follow the store.
func New(settings Settings, backEnds BackEnds, store Store, log DecisionLog) *Gateway {
	random := rand.New(rand.NewPCG(settings.Seed, settings.Seed))
	g := &Gateway{
		backEnds: backEnds, store: store, log: log, clock: clock.Start(), givenUp: make(chan struct{}),
		firstListing: firstListing{complete: make(chan struct{})}, storeWanted: make(chan struct{}, 1), reports: newHealthReports(),
		replicas: replica.NewSet(settings.Replica, settings.Places, random),
		budgets:  map[string]*limit.SlidingBudget{}, splitter: routing.NewSplitter(),
		quarantine: quarantine.New(settings.Quarantine), trials: map[quarantine.Mark]int{}, quarantineWrites: newQuarantineWrites(random),
		evidence: evidenceSchedule{random: random},
	}
	g.settings.Store(&settings)
	g.storeCopy = newStoreCopy(&settings, log, g.peersForSpread, random.Float64)
	return g
}

// Reconfigure puts other settings in force. Requests under way end with those that they began with.
func (g *Gateway) Reconfigure(settings Settings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settings.Store(&settings)
	g.storeCopy.configure(&settings)
	g.replicas.Reconfigure(settings.Replica, settings.Places)
	g.quarantine.Reconfigure(settings.Quarantine)
	for _, budget := range g.budgets {
		budget.SetShare(settings.RetryShare)
	}
	g.shareAmongNodes()
}

// Run follows the store until the context ends.
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

func (g *Gateway) at(moment time.Duration) time.Time { return g.clock.Time(moment) }

// Ready reports whether the node should get requests: it has a configuration and back ends, and is not leaving.
func (g *Gateway) Ready() bool {
	return g.table.Load() != nil && g.firstListing.read.Load() && !g.leaving.Load()
}

// GiveUp answers all requests under way at once, with what is there.
func (g *Gateway) GiveUp() { g.giveUpOnce.Do(func() { close(g.givenUp) }) }

// Leave makes the node say that it is not ready any more. It serves on.
func (g *Gateway) Leave() { g.leaving.Store(true) }

// Leaving reports whether Leave was called.
func (g *Gateway) Leaving() bool { return g.leaving.Load() }

// UnderWay is the number of requests under way.
func (g *Gateway) UnderWay() int64 { return g.underWay.Load() }

// Limits of what callers may send, by the configuration in force; false before there is one.
func (g *Gateway) Limits() (routing.Limits, bool) {
	table := g.table.Load()
	if table == nil {
		return routing.Limits{}, false
	}
	return table.Limits(), true
}

func (g *Gateway) budget(service string) *limit.SlidingBudget {
	budget := g.budgets[service]
	if budget == nil {
		created := limit.NewSlidingBudget(g.settings.Load().RetryShare, g.settings.Load().RetryWindow)
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
