package roster

import (
	"cmp"
	"slices"

	"stiletrail/internal/clock"
	"stiletrail/internal/membership"
)

const (
	// listSelfAfter is how long a node waits for a registrar to list it before it lists itself.
	listSelfAfter = 3 * clock.Second
	// joinTime is how long after its first plan a node still expects to hear of others.
	joinTime = 5 * clock.Second
	// forgetAfter is how long a node that is away stays listed.
	forgetAfter = 24 * 60 * 60 * clock.Second
)

// plannedEntries returns the entries of the record that this node should have in the store.
func (c *Core) plannedEntries(now clock.Ms, v View) (entries []Entry) {
	registrars := newRegistrars(c.candidates(now, v.Members))
	for _, m := range v.Members {
		registrar := registrars.of(m.Address, m.Region)
		switch {
		case !m.Usable():
			if registrar == c.self.Address {
				entries = append(entries, c.awayEntry(v, m))
			}
		case registrar == c.self.Address, m.Address == c.self.Address && c.listsSelf(now), c.mustKeep(m):
			entries = append(entries, c.runningEntry(now, v, m))
		}
	}
	for _, e := range c.Nodes() {
		if !isMember(v.Members, e.Address) && registrars.of(e.Address, e.Region) == c.self.Address {
			entries = append(entries, c.unknownEntry(now, v, e))
		}
	}
	slices.SortFunc(entries, byAddress)
	return slices.DeleteFunc(entries, func(e Entry) bool { return e.Away && v.Wall-e.AwaySince > int64(forgetAfter) })
}

// candidates returns the members and, while this node may not have heard of all others yet, the nodes that are listed as running.
func (c *Core) candidates(now clock.Ms, members []membership.Member) []membership.Member {
	if now-c.plannedSince >= joinTime {
		return members
	}
	all := slices.Clone(members)
	for _, e := range c.Nodes() {
		if !e.Away && !isMember(members, e.Address) {
			all = append(all, membership.Member{Address: e.Address, Zone: e.Zone, Region: e.Region, State: membership.Alive})
		}
	}
	slices.SortFunc(all, func(a, b membership.Member) int { return cmp.Compare(a.Address, b.Address) })
	return all
}

// isMember reports whether a node is among members, which are in the order of their addresses.
func isMember(members []membership.Member, address string) bool {
	_, found := slices.BinarySearchFunc(members, address, func(m membership.Member, address string) int { return cmp.Compare(m.Address, address) })
	return found
}

// listsSelf reports whether this node lists itself, because no registrar has done so for too long.
func (c *Core) listsSelf(now clock.Ms) bool {
	return c.unlistedSince >= 0 && now-c.unlistedSince >= listSelfAfter
}

// mustKeep reports whether this node goes on to list a node that is reached, because its registrar does not list its process yet.
func (c *Core) mustKeep(m membership.Member) bool {
	listings := c.listings[m.Address]
	if _, found := listings[c.Key()]; !found {
		return false
	}
	for key, e := range listings {
		if key != c.Key() && e.Process == ProcessOf(m) && !e.Away {
			return false
		}
	}
	return true
}

// runningEntry returns the entry of a node that is reached.
func (c *Core) runningEntry(now clock.Ms, v View, m membership.Member) Entry {
	process := ProcessOf(m)
	e := Entry{Address: m.Address, Zone: m.Zone, Region: m.Region, Process: process}
	listed := false
	for _, other := range c.listings[m.Address] {
		if other.Process == process {
			listed = true
			e.Settled = e.Settled || other.Settled
			e.RapidRestart = e.RapidRestart || other.RapidRestart
		}
	}
	s := c.sight(now, v, m.Address, process)
	if !listed {
		e.RapidRestart = s.rapidRestart || c.followsUnsettled(m.Address, process)
	}
	e.Settled = e.Settled || now-s.since >= v.SettleAfter
	return e
}

// sight returns when this node first heard of a process.
func (c *Core) sight(now clock.Ms, v View, address string, process uint32) sighting {
	s, known := c.seen[address]
	if known && s.process == process {
		return s
	}
	rapid := known && now-s.since < v.SettleAfter
	s = sighting{process: process, since: now, rapidRestart: rapid}
	c.seen[address] = s
	return s
}

// followsUnsettled reports whether an earlier process at an address is listed that was not settled.
func (c *Core) followsUnsettled(address string, process uint32) bool {
	for _, e := range c.listings[address] {
		if e.Process != process && !e.Settled {
			return true
		}
	}
	return false
}

// awayEntry returns the entry of a member that is not reached.
func (c *Core) awayEntry(v View, m membership.Member) Entry {
	process := ProcessOf(m)
	e, found := Entry{Address: m.Address, Zone: m.Zone, Region: m.Region, Process: process}, false
	for _, other := range c.listings[m.Address] {
		if other.Process == process && (!found || takesPrecedence(other, e)) {
			e, found = other, true
		}
	}
	return c.unreachedEntry(v, e)
}

// unknownEntry returns the entry of a listed node of which this one has not heard. It may be starting, as all nodes may, so it
// is listed as before for a while.
func (c *Core) unknownEntry(now clock.Ms, v View, e Entry) Entry {
	if !e.Away && now-c.plannedSince < joinTime {
		return e
	}
	return c.unreachedEntry(v, e)
}

// unreachedEntry returns the entry of a listed node that is not reached, with the earliest time from which it is listed so.
func (c *Core) unreachedEntry(v View, e Entry) Entry {
	since := v.Wall
	if e.Away && e.AwaySince > 0 {
		since = e.AwaySince
	}
	for _, other := range c.listings[e.Address] {
		if other.Away {
			since = min(since, other.AwaySince)
		}
	}
	e.Away, e.AwaySince = true, since
	return e
}
