package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/limit"
	"stiletrail/internal/message"
	"stiletrail/internal/placement"
)

// group is a group of back ends that this node owns, as a dispatcher or as a standby.
type group struct {
	placement.Group
	// version is the version of the service's document that defines the group. This node applied it at changedAt.
	version   uint64
	changedAt time.Duration
	// lastUsed is when the last sub-query for the group was received.
	lastUsed  time.Duration
	backEnds  []*backEnd
	latencies limit.LatencyHistogram
	// overdue holds attempts that should have been hedged long ago but found no free slot or no budget. They get the
	// next free slot that can help.
	overdue []*attempt
	hedges  limit.Budget
	retries limit.Budget
}

// groupKey identifies a group by its service and its number within the service.
type groupKey struct {
	service string
	number  uint32
}

// awaitingDescriptions reports whether a group that has changed lately still waits for the first description of a back
// end. Its state must not be reported yet, or shards would seem lost that are held.
func (g *group) awaitingDescriptions(now time.Duration) bool {
	if now-g.changedAt > describeGrace {
		return false
	}
	return slices.ContainsFunc(g.backEnds, func(b *backEnd) bool { return !b.described && b.failures == 0 })
}

// describeGrace is how long after a change the state of a group is held back for missing descriptions. After that it is
// reported without them.
const describeGrace = 200 * time.Millisecond

// SetGroups replaces the groups that this node owns. Sub-queries in flight in a group that it no longer owns are still
// finished.
func (c *Core) SetGroups(now time.Duration, owned []placement.Ownership) []Action {
	groups := make(map[groupKey]*group, len(owned))
	for _, o := range owned {
		key := groupKey{service: o.Group.Service, number: o.Group.Number}
		groups[key] = c.updateGroup(now, c.groups[key], o)
	}
	c.groups = groups
	for address, refusedAt := range c.refusals {
		if now-refusedAt > refusalValidity {
			delete(c.refusals, address)
		}
	}
	return c.takeActions()
}

// updateGroup returns the group with its current back ends, keeping what is known of them. Attempts that are queued at
// removed or draining back ends are given to other replicas.
func (c *Core) updateGroup(now time.Duration, known *group, owned placement.Ownership) *group {
	if known == nil {
		known = &group{
			hedges:  limit.NewBudget(c.settings.HedgeShare, c.settings.BudgetCapacity),
			retries: limit.NewBudget(c.settings.RetryShare, c.settings.BudgetCapacity),
		}
	}
	previous := known.backEnds
	if known.version != owned.Version {
		known.changedAt = now
	}
	known.Group = owned.Group
	known.version = owned.Version
	known.backEnds = nil
	for _, specified := range owned.Group.BackEnds {
		known.backEnds = append(known.backEnds, c.updateBackEnd(now, previous, specified, owned))
	}
	for _, old := range previous {
		if !slices.Contains(known.backEnds, old) {
			old.draining |= drainByCatalog
			c.requeue(now, known, old)
		}
	}
	for _, b := range known.backEnds {
		if b.draining != 0 {
			c.requeue(now, known, b)
		}
	}
	return known
}

// updateBackEnd returns the state of a back end with its current specification and this node's share of its slots. What
// was known of the back end is kept.
func (c *Core) updateBackEnd(
	now time.Duration, previous []*backEnd, specified catalog.BackEnd, owned placement.Ownership,
) *backEnd {
	share := placement.SlotShare(specified, owned.Rank, owned.Dispatchers)
	var found *backEnd
	for _, b := range previous {
		if b.address == specified.Address {
			found = b
		}
	}
	if found == nil {
		found = &backEnd{address: specified.Address, window: limit.NewConcurrencyWindow(share), nextDescribe: now}
	}
	if refusedAt, refused := c.refusals[specified.Address]; refused && now-refusedAt <= refusalValidity {
		found.draining |= drainByAttempt
		found.refusedAt = refusedAt
	}
	found.window.SetCeiling(share)
	found.setDraining(drainByCatalog, specified.Draining)
	found.setDraining(drainByMachineList, c.drainingMachines[specified.Address])
	return found
}

// orderedGroups returns the groups in a fixed order, so that the simulation is reproducible from its seed.
func (c *Core) orderedGroups() []*group {
	return slices.SortedFunc(maps.Values(c.groups), func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Number, b.Number))
	})
}

// SetDrainingMachines sets the addresses of the back ends that the machine list reports as leaving.
func (c *Core) SetDrainingMachines(now time.Duration, leaving map[string]bool) []Action {
	c.drainingMachines = leaving
	for _, g := range c.orderedGroups() {
		for _, b := range g.backEnds {
			b.setDraining(drainByMachineList, leaving[b.address])
			if b.draining != 0 {
				c.requeue(now, g, b)
			}
		}
	}
	return c.takeActions()
}

// GroupState returns what the back ends of a group hold, as a message to a root. It returns false if this node does not
// own the group or still waits for descriptions of its back ends.
func (c *Core) GroupState(now time.Duration, service string, number uint32) (*message.GroupState, bool) {
	g := c.groups[groupKey{service: service, number: number}]
	if g == nil || g.awaitingDescriptions(now) {
		return nil, false
	}
	state := &message.GroupState{Service: service, Group: number, CatalogVersion: g.version}
	for _, b := range g.backEnds {
		if !b.described {
			continue
		}
		holding := b.holding
		if !b.usable(now) {
			// The back end cannot be asked for any shard, but the total number of shards that it states is still valid.
			holding.Shards = nil
		}
		state.Holdings = append(state.Holdings, holding)
	}
	return state, true
}
