package engine

import (
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/placement"
	"stiletrail/internal/platform"
)

// refreshPlacement recomputes the owners of the groups and the relays if the membership has changed.
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

// updateGroups gives the dispatcher the groups that this node owns now. A leaving node keeps its groups, because roots
// go on sending to it until they and the next owners have learned that it leaves.
func (e *Engine) updateGroups() {
	if e.leaving {
		return
	}
	e.performDispatch(e.dispatcher.SetGroups(e.now, e.table.OwnedBy(e.Address())))
	e.performDispatch(e.dispatcher.TickBackEnds(e.now))
}

// applyDocument puts a document that was merged into the catalog into force.
func (e *Engine) applyDocument(document catalog.Document) {
	e.table.SetDocument(document)
	delete(e.routes, document.Service)
	e.updateGroups()
}

// SetMachines applies the machine list. It provides seeds for the membership and the back ends that are leaving. The
// list lags behind, so it never changes whether a peer counts as alive or dead.
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
