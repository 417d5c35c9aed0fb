package engine

import (
	"slices"
	"time"

	"stiletrail/internal/message"
	"stiletrail/internal/query"
	"stiletrail/internal/scatter"
)

// routeIdle is how long a service stays active after its last search.
const routeIdle = 10 * time.Second

// route is what this root knows of the shards of a service it serves.
type route struct {
	groups []scatter.GroupHoldings
	// known: a dispatcher has said what the group holds, by group.
	known []bool
	// lastUsed is when a search or an execute last came; nextAsk when dispatchers are asked again.
	lastUsed time.Duration
	nextRequest  time.Duration
	// lastTotal keeps the number of shards of the newest epoch when all who state it are gone.
	lastTotal query.Holding
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
		e.requestGroupStates(service, found)
	}
	found.lastUsed = e.now
	return found
}

// complete reports whether it is known what all groups hold.
func (r *route) complete() bool { return !slices.Contains(r.known, false) }

// requestGroupStates asks the dispatchers of a service what its back ends hold.
func (e *Engine) requestGroupStates(service string, r *route) {
	r.nextRequest = e.now + e.settings.RoutingInterval
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
		if dispatcher, found := e.PickDispatcher(service, group.Number, nil, true); found {
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
		if r != nil && (e.now >= r.nextRequest || !r.complete()) {
			e.requestGroupStates(service, r)
		}
	}
}

func (e *Engine) receiveGroupRequest(from string, m *message.GroupRequest) {
	if state, owned := e.dispatcher.GroupState(e.now, m.Service, m.Group); owned {
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
			r.lastTotal = query.Holding{
				Epoch: holding.Epoch, ShardsTotal: holding.ShardsTotal, NewestVersion: holding.NewestVersion, OldestVersion: holding.OldestVersion,
			}
		}
	}
	if r.complete() {
		e.startWaitingSearches(m.Service)
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
