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

// group is one that this node dispatches to, or stands by for as a deputy.
type group struct {
	placement.Group
	// version of the document it is of, which this node took in at changedAt.
	version   uint64
	changedAt time.Duration
	// lastUsed is when the last sub-query came.
	lastUsed  time.Duration
	backEnds  []*backEnd
	latencies limit.LatencyHistogram
	// overdue holds attempts that are due for a hedge and found no free slot.
	overdue []*attempt
	hedges  limit.Budget
	retries limit.Budget
}

type groupKey struct {
	service string
	number  uint32
}

// undescribed reports whether a new group still waits for a back end to describe itself for the first time. Shown now it would
// make shards look lost that are not.
func (g *group) undescribed(now time.Duration) bool {
	if now-g.changedAt > describeGrace {
		return false
	}
	return slices.ContainsFunc(g.backEnds, func(b *backEnd) bool { return !b.described && b.failures == 0 })
}

// describeGrace is how long a new group may wait for its back ends to describe themselves before it is shown without some.
const describeGrace = 200 * time.Millisecond

// SetGroups replaces the groups this node owns. Work under way in a group that is given up is finished.
func (c *Core) SetGroups(now time.Duration, owned []placement.Ownership) []Action {
	groups := make(map[groupKey]*group, len(owned))
	for _, o := range owned {
		key := groupKey{service: o.Group.Service, number: o.Group.Number}
		groups[key] = c.updateGroup(now, c.groups[key], o)
	}
	c.groups = groups
	for address, refusedAt := range c.refusals {
		if now-refusedAt > drainBelief {
			delete(c.refusals, address)
		}
	}
	return c.take()
}

// updateGroup returns a group as this node owns it now. What waits at back ends that went or drain goes to others.
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

// updateBackEnd returns a back end of a group as it is specified now, with what was known of it before.
func (c *Core) updateBackEnd(
	now time.Duration, previous []*backEnd, specified catalog.BackEnd, owned placement.Ownership,
) *backEnd {
	share := placement.Share(specified, owned.Rank, owned.Dispatchers)
	var found *backEnd
	for _, b := range previous {
		if b.address == specified.Address {
			found = b
		}
	}
	if found == nil {
		found = &backEnd{address: specified.Address, window: limit.NewConcurrencyWindow(share), nextDescribe: now}
	}
	if refusedAt, refused := c.refusals[specified.Address]; refused && now-refusedAt <= drainBelief {
		found.draining |= drainByAttempt
		found.refusedAt = refusedAt
	}
	found.window.SetCeiling(share)
	found.setDraining(drainByCatalog, specified.Draining)
	found.setDraining(drainByMachineList, c.leavingMachines[specified.Address])
	return found
}

// orderedGroups returns the groups in order, so that a seed gives one trace.
func (c *Core) orderedGroups() []*group {
	return slices.SortedFunc(maps.Values(c.groups), func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Number, b.Number))
	})
}

// SetDrainingMachines takes in which back ends the machine list says are leaving.
func (c *Core) SetDrainingMachines(now time.Duration, leaving map[string]bool) []Action {
	c.leavingMachines = leaving
	for _, g := range c.orderedGroups() {
		for _, b := range g.backEnds {
			b.setDraining(drainByMachineList, leaving[b.address])
			if b.draining != 0 {
				c.requeue(now, g, b)
			}
		}
	}
	return c.take()
}

// GroupState returns what the back ends of a group hold, for a root; false where this node does not own the group.
func (c *Core) GroupState(now time.Duration, service string, number uint32) (*message.GroupState, bool) {
	g := c.groups[groupKey{service: service, number: number}]
	if g == nil || g.undescribed(now) {
		return nil, false
	}
	state := &message.GroupState{Service: service, Group: number, CatalogVersion: g.version}
	for _, b := range g.backEnds {
		if !b.described {
			continue
		}
		holding := b.holding
		if !b.usable(now) {
			// The number of shards that it states still holds; it cannot be asked for any.
			holding.Shards = nil
		}
		state.Holdings = append(state.Holdings, holding)
	}
	return state, true
}
