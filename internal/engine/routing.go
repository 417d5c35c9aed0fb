package engine

import (
	"slices"
	"time"

	"stiletrail/internal/dispatch"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
	"stiletrail/internal/query"
	"stiletrail/internal/scatter"
)

// routeIdle is how long a service stays active after its last search.
const routeIdle = 10 * time.Second

// suspectFor is how long a silent dispatcher is avoided.
const suspectFor = time.Second

// route is what this root knows of the shards of a service it serves.
type route struct {
	groups   []scatter.GroupHoldings
	known    []bool
	lastUsed time.Duration
	nextAsk  time.Duration
	// lastTotals keeps the number of shards per epoch when all who state it are gone.
	lastTotal query.Holding
}

// dispatcherLoad is what this root knows of a dispatcher.
type dispatcherLoad struct {
	inFlight     int
	suspectUntil time.Duration
}

func (e *Engine) load(address string) *dispatcherLoad {
	found := e.loads[address]
	if found == nil {
		found = &dispatcherLoad{}
		e.loads[address] = found
	}
	return found
}

// routeFor returns the route of a service, and asks for its state if it is new.
func (e *Engine) routeFor(service string) *route {
	found := e.routes[service]
	if found == nil {
		found = &route{}
		for _, group := range e.table.Groups(service) {
			found.groups = append(found.groups, scatter.GroupHoldings{Number: group.Number, Region: group.Region})
		}
		found.known = make([]bool, len(found.groups))
		e.routes[service] = found
		e.askGroups(service, found)
	}
	found.lastUsed = e.now
	return found
}

func (r *route) complete() bool { return !slices.Contains(r.known, false) }

func (e *Engine) askGroups(service string, r *route) {
	r.nextAsk = e.now + e.settings.RoutingInterval
	for i, group := range r.groups {
		request := &message.GroupRequest{Service: service, Group: group.Number}
		if !r.known[i] {
			// Nothing is known yet, and an owner may not have heard that it is one: all are asked.
			dispatchers, deputies := e.table.Owners(service, group.Number)
			for _, owner := range slices.Concat(dispatchers, deputies) {
				e.send(owner, request)
			}
			continue
		}
		if dispatcher, found := e.Dispatcher(service, group.Number, nil, true); found {
			e.send(dispatcher, request)
		}
	}
}

func (e *Engine) tickRoutes() {
	for service, r := range e.routes {
		if e.now-r.lastUsed > routeIdle {
			delete(e.routes, service)
		}
	}
	for _, service := range e.catalog.Services() {
		r := e.routes[service]
		if r != nil && (e.now >= r.nextAsk || !r.complete()) {
			e.askGroups(service, r)
		}
	}
}

func (e *Engine) receiveGroupRequest(from string, m *message.GroupRequest) {
	if state, owned := e.dispatcher.State(e.now, m.Service, m.Group); owned {
		e.send(from, state)
	}
}

func (e *Engine) receiveGroupState(m *message.GroupState) {
	r := e.routes[m.Service]
	if r == nil || m.CatalogVersion != e.catalog.Version(m.Service) || int(m.Group) >= len(r.groups) {
		return
	}
	r.groups[m.Group].Holdings = m.Holdings
	r.known[m.Group] = true
	for _, holding := range m.Holdings {
		if holding.Epoch >= r.lastTotal.Epoch {
			r.lastTotal = query.Holding{Epoch: holding.Epoch, ShardsTotal: holding.ShardsTotal, Newest: holding.Newest, Oldest: holding.Oldest}
		}
	}
	if r.complete() {
		e.startWaiting(m.Service)
	}
}

// Routing implements scatter.Environment.
func (e *Engine) Routing(service string) scatter.Routing {
	r := e.routes[service]
	if r == nil {
		return scatter.Routing{}
	}
	routing := scatter.Routing{Groups: r.groups}
	if r.lastTotal.ShardsTotal > 0 {
		// A holding without shards: it only keeps the number of shards known.
		remembered := scatter.GroupHoldings{Number: uint32(len(r.groups)), Holdings: []query.Holding{r.lastTotal}}
		routing.Groups = append(slices.Clone(r.groups), remembered)
	}
	return routing
}

// Dispatcher implements scatter.Environment: the less loaded of two random dispatchers of the group; where all are excluded
// or silent, and stand-ins are wanted, a deputy, then a silent one, then who dispatched before.
func (e *Engine) Dispatcher(service string, group uint32, excluded []string, standIn bool) (string, bool) {
	dispatchers, deputies := e.table.Owners(service, group)
	var silent []string
	for _, owners := range [][]string{dispatchers, deputies} {
		var candidates []string
		for _, owner := range owners {
			switch {
			case slices.Contains(excluded, owner):
			case e.now < e.load(owner).suspectUntil:
				silent = append(silent, owner)
			default:
				candidates = append(candidates, owner)
			}
		}
		if len(candidates) > 0 {
			return e.lessLoaded(candidates), true
		}
		if !standIn {
			break
		}
	}
	if len(silent) == 0 && standIn {
		silent = e.previousOwners(service, group, excluded)
	}
	if len(silent) == 0 {
		return "", false
	}
	return e.lessLoaded(silent), true
}

// lessLoaded picks the one with less under way of two random candidates.
func (e *Engine) lessLoaded(candidates []string) string {
	if len(candidates) == 1 {
		return candidates[0]
	}
	first, second := dispatch.TwoOf(e.random, len(candidates))
	if e.load(candidates[second]).inFlight < e.load(candidates[first]).inFlight {
		return candidates[second]
	}
	return candidates[first]
}

// previousOwners returns who dispatched to a group before its owners changed: an owner that has not heard of the change yet
// refuses, and a node that is leaving serves on for its grace.
func (e *Engine) previousOwners(service string, group uint32, excluded []string) []string {
	var result []string
	for _, owner := range e.table.PreviousOwners(service, group) {
		member, known := e.members.Lookup(owner)
		if known && member.State != membership.Dead && !slices.Contains(excluded, owner) {
			result = append(result, owner)
		}
	}
	return result
}

// NextID implements scatter.Environment.
func (e *Engine) NextID() query.ID {
	return query.ID{Generation: e.members.Self().Generation, Sequence: e.next()}
}

// Region implements scatter.Environment.
func (e *Engine) Region() string { return e.members.Self().Region }

// SubQueryLatency implements scatter.Environment.
func (e *Engine) SubQueryLatency() time.Duration {
	const quantile, minimumSamples = 0.95, 20
	return e.queryTimes.Quantile(quantile, minimumSamples, 0)
}

// SpendReissue implements scatter.Environment.
func (e *Engine) SpendReissue(shards int) bool {
	if !e.reissues.Spend(shards) {
		return false
	}
	e.Counters.Reissues++
	return true
}

// Suspect implements scatter.Environment.
func (e *Engine) Suspect(address string) {
	e.load(address).suspectUntil = e.now + suspectFor
}
