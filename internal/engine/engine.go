// Package engine joins the decision packages into one node: messages, requests, outcomes and the time go in, an Output of things
// to do comes out.
//
// It does no I/O, starts no goroutine and reads no clock, so that the node and the simulation drive the very same code. All
// methods must be called by one goroutine at a time, with a time that never goes back. What it draws at random comes from the
// source that New is given.
//
// Its files by matter, with the package that decides and keeps the state where it is not the engine:
//
//	call.go       each call: its time, the messages of the node to itself, what a freeze of the process means
//	tick.go       what is done at which period, and when Tick is next needed
//	admit.go      which requests the node refuses, and for how long
//	receive.go    messages of peers, outcomes of back ends
//	lost.go       messages and connections that were lost
//	search.go     searches under way (scatter)
//	execute.go    requests that are not repeatable, at the node that minted their ticket (ticket)
//	forward.go    such requests on their way to that node
//	route.go      what the shards of a service hold, as its dispatchers say
//	dispatcher.go which dispatcher of a group is asked
//	groups.go     which groups this node dispatches to (membership, placement; dispatch keeps what it knows of back ends)
//	confirm.go    plans and their confirmation (intent, rollout)
//	store.go      reading the store, as a relay or to join (catalog, gossip)
//	leave.go      the planned stop
//	status.go     what operators are shown, and alarms
package engine

import (
	"math/rand/v2"
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/dispatch"
	"stiletrail/internal/gossip"
	"stiletrail/internal/limit"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
	"stiletrail/internal/placement"
	"stiletrail/internal/query"
	"stiletrail/internal/ticket"
)

// Engine is one node.
type Engine struct {
	settings Settings
	random   *rand.Rand
	now      time.Duration
	output   Output
	// local holds messages of this node to itself until the current call ends.
	local []message.Message

	members    *membership.Core
	catalog    *catalog.Catalog
	gossip     *gossip.Core
	table      *placement.Table
	dispatcher *dispatch.Core
	tickets    *ticket.Table

	// placementVersion is one more than the version of the members that placement was computed from; 0 before the first time.
	placementVersion uint64
	sequence    uint64
	startedAt   time.Duration
	// readyAt is when the node was first ready.
	readyAt time.Duration
	// leaving since leftAt.
	leaving bool
	leftAt  time.Duration

	routes   map[string]*route
	loads    map[string]*dispatcherLoad
	searches map[uint64]*search
	executes map[uint64]*execute
	// subQueryOwners are the numbers of the searches and executes that sub-queries under way belong to.
	subQueryOwners map[query.ID]uint64
	// subQueryLatencies are the times from the start of a search to the end of each of its sub-queries.
	subQueryLatencies limit.LatencyHistogram
	reissues   limit.Budget

	rollouts map[uint64]*pendingRollout
	// relay: this node reads the store for its zone.
	relay    bool
	store    storeReading
	statuses map[uint64]*pendingStatus
	forwards map[uint64]*forwardedExecute

	nextBackEnds time.Duration
	nextMembers  time.Duration
	nextGossip   time.Duration
	nextRoutes   time.Duration

	// Counters may be read by the driver.
	Counters Counters
}

// Identity is what makes a node this one.
type Identity struct {
	// Address peers connect to.
	Address string
	Zone    string
	Region  string
	// Generation and TicketKey are drawn at random at start.
	Generation uint64
	TicketKey  []byte
	// Incarnation must be larger than that of an earlier process at the address; wall-clock milliseconds do.
	Incarnation uint64
	Seeds       []string
}

// New returns a node that knows nothing but its seeds.
func New(now time.Duration, identity Identity, settings Settings, random *rand.Rand) *Engine {
	self := membership.Member{
		Address: identity.Address, Zone: identity.Zone, Region: identity.Region,
		Generation: identity.Generation, Incarnation: identity.Incarnation,
	}
	e := &Engine{
		settings: settings, random: random, now: now, startedAt: now,
		members:    membership.New(now, self, identity.Seeds, settings.Membership, random),
		catalog:    catalog.New(),
		table:      placement.NewTable(settings.Placement),
		dispatcher: dispatch.New(identity.Generation, settings.Dispatch, random),
		tickets:    ticket.NewTable(identity.Address, identity.Generation, identity.TicketKey),
		routes:     map[string]*route{}, loads: map[string]*dispatcherLoad{},
		searches: map[uint64]*search{}, executes: map[uint64]*execute{}, subQueryOwners: map[query.ID]uint64{},
		rollouts: map[uint64]*pendingRollout{}, statuses: map[uint64]*pendingStatus{}, forwards: map[uint64]*forwardedExecute{},
		store:    newStoreReading(),
		reissues: limit.NewBudget(settings.ReissueShare, settings.Dispatch.BudgetCapacity),
	}
	e.gossip = gossip.New(e.catalog, e.members, settings.Gossip, e.applyDocument)
	e.refreshPlacement()
	return e
}

// Address of this node.
func (e *Engine) Address() string { return e.members.Self().Address }

// Ready reports whether the node takes new work.
func (e *Engine) Ready() bool { return e.serving() && !e.leaving }

// serving reports whether the node knows enough of the configuration and of the other nodes.
func (e *Engine) serving() bool { return e.gossip.Ready() && e.members.Joined(e.now) }

// ConfigurationAge is the time since the configuration in force was last known equal to the store's; false where it never was.
func (e *Engine) ConfigurationAge(now time.Duration) (time.Duration, bool) { return e.gossip.Age(now) }

// IsRelay reports whether the node reads the store for its zone, and should watch it.
func (e *Engine) IsRelay() bool { return e.relay }

// Members returns the node's view.
func (e *Engine) Members() []membership.Member { return e.members.Members() }

// Catalog gives read access to the documents in force.
func (e *Engine) Catalog() *catalog.Catalog { return e.catalog }

// DispatchCounters returns what the dispatcher did since the node started.
func (e *Engine) DispatchCounters() dispatch.Counters { return e.dispatcher.Counters }
