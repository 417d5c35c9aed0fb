package engine

import (
	"slices"
	"time"

	"stiletrail/internal/message"
	"stiletrail/internal/query"
	"stiletrail/internal/scatter"
)

// routeIdle is how long the route of a service is kept after the last search or execute.
const routeIdle = 10 * time.Second

// route is what this node, as a root, knows of the shards of a service: the holdings of its back ends, by group.
type route struct {
	groups []scatter.GroupHoldings
	// known tells for each group whether a dispatcher has reported its holdings.
	known []bool
	// lastUsed is when the last search or execute was received, nextRequest when the dispatchers are asked again.
	lastUsed    time.Duration
	nextRequest time.Duration
	// lastTotal is a holding without shards that keeps the number of shards of the newest epoch. It is needed when no
	// back end that states this number is left.
	lastTotal query.Holding
}

// routeFor returns the route of a service. If the route is new, it requests the holdings from the dispatchers.
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

// complete reports whether the holdings of all groups are known.
func (r *route) complete() bool { return !slices.Contains(r.known, false) }

// requestGroupStates asks the dispatchers of a service for the holdings of its back ends.
func (e *Engine) requestGroupStates(service string, r *route) {
	r.nextRequest = e.now + e.settings.RoutingInterval
	for i, group := range r.groups {
		request := &message.GroupRequest{Service: service, Group: group.Number}
		if !r.known[i] {
			// No holdings are known yet, and an owner may not have learned that it owns the group. All owners are
			// asked.
			dispatchers, standbys := e.table.Owners(service, group.Number)
			for _, owner := range slices.Concat(dispatchers, standbys) {
				e.send(owner, request)
			}
			continue
		}
		if dispatcher, found := e.PickDispatcher(service, group.Number, nil, true); found {
			e.send(dispatcher, request)
		}
	}
}

// tickRoutes deletes idle routes and refreshes the others when due.
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

// receiveGroupRequest answers a root that asks what the back ends of a group hold.
func (e *Engine) receiveGroupRequest(from string, m *message.GroupRequest) {
	if state, owned := e.dispatcher.GroupState(e.now, m.Service, m.Group); owned {
		e.send(from, state)
	}
}

// receiveGroupState applies a dispatcher's report on a group, and starts the searches that waited for it.
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
		// The added holding has no shards. It only makes the number of shards known.
		remembered := scatter.GroupHoldings{Number: uint32(len(r.groups)), Holdings: []query.Holding{r.lastTotal}}
		routing.Groups = append(slices.Clone(r.groups), remembered)
	}
	return routing
}
