package engine

import (
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/placement"
	"stiletrail/internal/platform"
)

// refreshPlacement recomputes who owns what after members or documents changed.
func (e *Engine) refreshPlacement() {
	if e.placementVersion == e.members.Version()+1 {
		return
	}
	e.placementVersion = e.members.Version() + 1
	members := e.members.Members()
	self := e.members.Self()
	e.relay = placement.IsRelay(self.Address, self.Zone, members, e.settings.Placement)
	if e.table.SetMembers(members) {
		e.updateGroups()
	}
}

// updateGroups hands the dispatcher the groups this node owns. A leaving node keeps those it had: roots send to it until they
// and the next owners have heard of it.
func (e *Engine) updateGroups() {
	if e.leaving {
		return
	}
	e.performDispatch(e.dispatcher.SetGroups(e.now, e.table.OwnedBy(e.Address())))
	e.performDispatch(e.dispatcher.TickBackEnds(e.now))
}

// applyDocument takes a document that was merged into the catalog into force.
func (e *Engine) applyDocument(document catalog.Document) {
	e.table.SetDocument(document)
	delete(e.routes, document.Service)
	e.updateGroups()
}

// SetMachines takes in the machine list: it seeds the membership and says which back ends are leaving. It lags, so it
// alone makes no live peer dead and no dead one live.
func (e *Engine) SetMachines(now time.Duration, machines []platform.Machine) Output {
	e.beginCall(now)
	leaving := map[string]bool{}
	for _, machine := range machines {
		if machine.Role == platform.RoleNode {
			e.members.AddSeed(machine.Address)
		} else if machine.Leaving {
			leaving[machine.Address] = true
		}
	}
	e.performDispatch(e.dispatcher.SetDrainingMachines(now, leaving))
	return e.endCall()
}
