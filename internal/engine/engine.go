// Package engine joins the decision packages into one node: messages, requests, outcomes and the time go in, an Output
// of things to do comes out. It does no I/O, starts no goroutine and reads no clock, so the node and the simulation drive
// the very same code. All methods must be called by one goroutine at a time, with a time that never goes back.
package engine

import (
	"math/rand/v2"
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/dispatch"
	"stiletrail/internal/failure"
	"stiletrail/internal/gossip"
	"stiletrail/internal/limit"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
	"stiletrail/internal/placement"
	"stiletrail/internal/platform"
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

	membersSeen uint64
	sequence    uint64
	startedAt   time.Duration
	// readyAt is when the node was first ready.
	readyAt time.Duration
	leaving bool
	leftAt  time.Duration

	routes     map[string]*route
	loads      map[string]*dispatcherLoad
	searches   map[uint64]*search
	executes   map[uint64]*execute
	subOwners  map[query.ID]uint64
	queryTimes limit.Latencies
	reissues   limit.Budget

	rollouts  map[uint64]*rolloutRun
	relay     bool
	listing   bool
	listedAt  time.Duration
	nextList  time.Duration
	storeLags map[string]uint64
	// reading holds the reads that the present reading of the store waits for; entryStamps and storedVersions what the
	// store was last known to hold.
	reading        map[uint64]bool
	entryStamps    map[string]platform.Stamp
	storedVersions map[string]uint64
	listBytes      int
	statuses       map[uint64]*statusRun
	forwards       map[uint64]*forward

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
		searches: map[uint64]*search{}, executes: map[uint64]*execute{}, subOwners: map[query.ID]uint64{},
		rollouts: map[uint64]*rolloutRun{}, statuses: map[uint64]*statusRun{}, forwards: map[uint64]*forward{},
		storeLags: map[string]uint64{}, reading: map[uint64]bool{}, entryStamps: map[string]platform.Stamp{}, storedVersions: map[string]uint64{},
		reissues: limit.NewBudget(settings.ReissueShare, settings.Dispatch.BudgetCapacity),
	}
	e.gossip = gossip.New(e.catalog, e.members, settings.Gossip, random, e.documentArrived)
	e.refreshPlacement()
	return e
}

// begin starts a call at the given time.
func (e *Engine) begin(now time.Duration) {
	if now < e.now {
		panic("engine: time went back")
	}
	frozen := now-e.now > freezeGap
	e.now = now
	if frozen {
		e.woke()
	}
}

// freezeGap without any call means that the process did not run: ticks come every 100 ms.
const freezeGap = 2 * time.Second

// woke makes a node that did not run for a while join again before it takes new work: the world moved on meanwhile. What
// back ends said before is forgotten; until they are heard again sub-queries are refused as not run.
func (e *Engine) woke() {
	e.Counters.Freezes++
	if e.gossip.Ready() {
		e.gossip.Suspend()
	}
	e.nextList = e.now
	e.dispatched(e.dispatcher.ForgetHoldings(e.now))
}

// end delivers the node's messages to itself and returns what there is to do.
func (e *Engine) end() Output {
	for len(e.local) > 0 {
		m := e.local[0]
		e.local = e.local[1:]
		e.receive(e.Address(), m)
	}
	e.refreshPlacement()
	for len(e.local) > 0 {
		m := e.local[0]
		e.local = e.local[1:]
		e.receive(e.Address(), m)
	}
	if e.readyAt == 0 && e.serving() {
		e.readyAt = e.now
	}
	output := e.output
	e.output = Output{}
	return output
}

func (e *Engine) send(to string, m message.Message) {
	if to == e.Address() {
		e.local = append(e.local, m)
		return
	}
	e.output.Sends = append(e.output.Sends, Envelope{To: to, Message: m})
}

func (e *Engine) sendAll(sends []membership.Send) {
	for _, s := range sends {
		e.send(s.To, s.Message)
	}
}

func (e *Engine) next() uint64 {
	e.sequence++
	return e.sequence
}

// Address of this node.
func (e *Engine) Address() string { return e.members.Self().Address }

// Ready reports whether the node takes new work.
func (e *Engine) Ready() bool { return e.serving() && !e.leaving }

// serving reports whether the node knows enough of the configuration and of the other nodes.
func (e *Engine) serving() bool { return e.gossip.Ready() && e.members.Joined(e.now) }

// Age is the time since the configuration in force was last known equal to the store's; false where it never was.
func (e *Engine) Age(now time.Duration) (time.Duration, bool) { return e.gossip.Age(now) }

// Relay reports whether the node reads the store for its zone, and should watch it.
func (e *Engine) Relay() bool { return e.relay }

// Members returns the node's view.
func (e *Engine) Members() []membership.Member { return e.members.Members() }

// Catalog gives read access to the documents in force.
func (e *Engine) Catalog() *catalog.Catalog { return e.catalog }

// DispatchCounters returns what the dispatcher did since the node started.
func (e *Engine) DispatchCounters() dispatch.Counters { return e.dispatcher.Counters }

// mintWait after a node was first ready all others know it, and forward its tickets to it.
const mintWait = 3 * time.Second

// MintTicket returns a ticket for one request that is not repeatable.
func (e *Engine) MintTicket(now time.Duration) ([]byte, error) {
	e.begin(now)
	if e.leaving {
		return nil, e.leavingFailure()
	}
	if !e.Ready() || now-e.readyAt < mintWait {
		// Other nodes may not know this one yet, and could not forward the ticket.
		return nil, failure.Refused(failure.NotReady, "the node has no trustworthy configuration yet", time.Second)
	}
	return e.tickets.Mint(now), nil
}

// Leave starts the planned stop: peers are told at once, new requests are refused, and what is under way is finished.
func (e *Engine) Leave(now time.Duration) Output {
	e.begin(now)
	if !e.leaving {
		e.leaving = true
		e.leftAt = now
		e.sendAll(e.members.Leave())
	}
	return e.end()
}

// Drained reports whether a leaving node has nothing under way and its grace is over.
func (e *Engine) Drained(now time.Duration) bool {
	busy := len(e.searches) + len(e.executes) + len(e.rollouts) + len(e.forwards)
	return e.leaving && busy == 0 && e.dispatcher.Idle() && now-e.leftAt >= e.settings.LeaveGrace
}

func (e *Engine) leavingFailure() *failure.Failure {
	result := failure.Refused(failure.Leaving, "the node is stopping; ask another", 0)
	others := e.members.Pick(1, func(m membership.Member) bool { return m.State == membership.Alive })
	if len(others) > 0 {
		result.Alternative = others[0]
	}
	return result
}

// Tick periods of the parts that are not driven by their own timers.
const (
	membersPeriod  = 100 * time.Millisecond
	gossipPeriod   = 100 * time.Millisecond
	backEndsPeriod = 100 * time.Millisecond
	routesPeriod   = 50 * time.Millisecond
)

// due reports whether a periodic task is due and sets its next time.
func (e *Engine) due(next *time.Duration, period time.Duration) bool {
	if e.now < *next {
		return false
	}
	*next = e.now + period
	return true
}

// Tick advances everything that depends on time.
func (e *Engine) Tick(now time.Duration) Output {
	e.begin(now)
	if e.due(&e.nextMembers, membersPeriod) {
		e.tickMembers()
	}
	if e.due(&e.nextGossip, gossipPeriod) {
		e.sendAll(e.gossip.Tick(now))
		e.tickStore()
	}
	if e.due(&e.nextBackEnds, backEndsPeriod) {
		e.dispatched(e.dispatcher.TickBackEnds(now))
	}
	e.dispatched(e.dispatcher.Tick(now))
	if e.due(&e.nextRoutes, routesPeriod) {
		e.tickRoutes()
	}
	e.tickSearches()
	e.tickExecutes()
	e.tickRollouts()
	e.tickStatuses()
	return e.end()
}

func (e *Engine) tickMembers() {
	e.sendAll(e.members.Tick(e.now))
}

// NextWake returns when Tick must be called at the latest.
func (e *Engine) NextWake() time.Duration {
	wake := min(e.nextMembers, e.nextGossip, e.nextBackEnds, e.nextRoutes)
	if at, pending := e.dispatcher.NextWake(); pending {
		wake = min(wake, at)
	}
	for _, s := range e.searches {
		wake = min(wake, s.wake())
	}
	for _, x := range e.executes {
		wake = min(wake, x.wakeAt)
	}
	for _, run := range e.rollouts {
		wake = min(wake, run.rollout.NextWake())
	}
	for _, run := range e.statuses {
		wake = min(wake, run.until)
	}
	return max(wake, e.now)
}

// refreshPlacement recomputes who owns what after members or documents changed.
func (e *Engine) refreshPlacement() {
	if e.membersSeen == e.members.Version()+1 {
		return
	}
	e.membersSeen = e.members.Version() + 1
	members := e.members.Members()
	self := e.members.Self()
	e.relay = placement.IsRelay(self.Address, self.Zone, members, e.settings.Placement)
	if e.table.SetMembers(members) {
		e.takeGroups()
	}
}

// takeGroups hands the dispatcher the groups this node owns. A leaving node keeps those it had: roots send to it until they
// and the next owners have heard of it.
func (e *Engine) takeGroups() {
	if e.leaving {
		return
	}
	e.dispatched(e.dispatcher.SetGroups(e.now, e.table.OwnedBy(e.Address())))
	e.dispatched(e.dispatcher.TickBackEnds(e.now))
}

// documentArrived takes a document that was merged into the catalog into force.
func (e *Engine) documentArrived(document catalog.Document) {
	e.Counters.CatalogMoves++
	e.table.SetDocument(document)
	delete(e.routes, document.Service)
	e.takeGroups()
}

// SetMachines takes in the machine list: it seeds the membership and says which back ends are leaving. It lags, so its
// word alone makes no live peer dead and no dead one live.
func (e *Engine) SetMachines(now time.Duration, machines []platform.Machine) Output {
	e.begin(now)
	leaving := map[string]bool{}
	for _, machine := range machines {
		if machine.Role == platform.RoleNode {
			e.members.AddSeed(machine.Address)
		} else if machine.Leaving {
			leaving[machine.Address] = true
		}
	}
	e.dispatched(e.dispatcher.SetLeaving(now, leaving))
	return e.end()
}
