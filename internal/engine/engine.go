// Package engine combines the packages that make a node's decisions into one node. Its input is messages, requests,
// outcomes and the current time. Its output is an Output, which lists what the caller (the driver) must do.
//
// The package does no I/O, starts no goroutine and reads no clock, so that the real node and the simulation run the
// same code. Its methods must be called by one goroutine at a time, with times that never decrease. All randomness
// comes from the source given to New.
//
// A search arrives at any node, which is its root: it splits the search into sub-queries and merges the answers. Each
// group of back ends is owned by dispatchers, which are the nodes that send sub-queries to it, and by standbys, which
// do so when no dispatcher answers. A request that is not repeatable, called an execute, needs a ticket. It is handled
// by the node that minted the ticket.
//
// The files, with the package in parentheses that makes the decisions and holds the state if it is not engine:
//
//	call.go       the frame of each call: its time, messages of the node to itself, detection of a frozen process
//	tick.go       periodic work and the time of the next Tick
//	admit.go      which requests the node refuses, and their retry-after times
//	receive.go    messages of peers and outcomes of back ends
//	lost.go       lost messages and connections
//	search.go     searches in flight (scatter)
//	execute.go    executes at the node that minted their ticket (ticket)
//	forward.go    executes that are forwarded to that node
//	route.go      what the back ends of a service hold, as reported by its dispatchers
//	dispatcher.go the choice of a dispatcher for a group
//	groups.go     the groups that this node owns (membership, placement; dispatch holds the state of back ends)
//	confirm.go    plans and their confirmation (intent, rollout)
//	store.go      reading the store, as a relay or to join (catalog, gossip)
//	leave.go      the planned stop
//	status.go     status for operators, and alarms
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

// Engine holds the state of one node.
type Engine struct {
	settings Settings
	random   *rand.Rand
	now      time.Duration
	output   Output
	// local holds the messages of this node to itself that the current call has not processed yet.
	local []message.Message

	members    *membership.Core
	catalog    *catalog.Catalog
	gossip     *gossip.Core
	table      *placement.Table
	dispatcher *dispatch.Core
	tickets    *ticket.Table

	// placementVersion is one more than the version of the membership that placement was computed from. It is 0 before
	// placement was first computed.
	placementVersion uint64
	// sequence is the last number that nextNumber returned.
	sequence  uint64
	startedAt time.Duration
	// readyAt is when the node was first ready, zero before that.
	readyAt time.Duration
	// leaving is true from the start of the planned stop, which was at leftAt.
	leaving bool
	leftAt  time.Duration

	routes   map[string]*route
	loads    map[string]*dispatcherLoad
	searches map[uint64]*search
	executes map[uint64]*execute
	// subQueryOwners maps each sub-query in flight to the number of its search or execute.
	subQueryOwners map[query.ID]uint64
	// subQueryLatencies holds the times from the start of a search to the end of each of its sub-queries.
	subQueryLatencies limit.LatencyHistogram
	reissues          limit.Budget

	rollouts map[uint64]*pendingRollout
	// relay is true if this node reads the store on behalf of its zone.
	relay    bool
	store    storeReading
	statuses map[uint64]*pendingStatus
	forwards map[uint64]*forwardedExecute

	nextBackEnds time.Duration
	nextMembers  time.Duration
	nextGossip   time.Duration
	nextRoutes   time.Duration

	// Counters may be read by the caller between calls.
	Counters Counters
}

// Identity identifies a node and its process.
type Identity struct {
	// Address is the address that peers connect to.
	Address string
	Zone    string
	Region  string
	// Generation and TicketKey are drawn at random when the process starts.
	Generation uint64
	TicketKey  []byte
	// Incarnation must be greater than that of any earlier process at the same address. Wall-clock milliseconds are
	// suitable.
	Incarnation uint64
	// Seeds are the addresses of nodes to join through.
	Seeds []string
}

// New returns a new node that knows no other nodes than its seeds.
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

// Address returns the address of this node.
func (e *Engine) Address() string { return e.members.Self().Address }

// Ready reports whether the node accepts new requests.
func (e *Engine) Ready() bool { return e.serving() && !e.leaving }

// serving reports whether the node has loaded the configuration and joined the other nodes.
func (e *Engine) serving() bool { return e.gossip.Ready() && e.members.Joined(e.now) }

// ConfigurationAge returns the time since the configuration in force was last known to equal the store's, and false if
// it never was.
func (e *Engine) ConfigurationAge(now time.Duration) (time.Duration, bool) {
	return e.gossip.ConfigurationAge(now)
}

// IsRelay reports whether the node reads the store on behalf of its zone. The caller should then watch the store.
func (e *Engine) IsRelay() bool { return e.relay }

// Members returns the members of the cluster as this node knows them.
func (e *Engine) Members() []membership.Member { return e.members.Members() }

// Catalog returns the catalog of the documents in force. The caller must only read it.
func (e *Engine) Catalog() *catalog.Catalog { return e.catalog }

// DispatchCounters returns the totals of the node's dispatcher since the node started.
func (e *Engine) DispatchCounters() dispatch.Counters { return e.dispatcher.Counters }
