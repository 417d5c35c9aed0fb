package roster

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"stiletrail/internal/clock"
	"stiletrail/internal/membership"
)

const (
	// groupSize is about the number of nodes of a record. Each change of one of them is sent to all nodes with the whole
	// record, and each record costs the store a renewal every few seconds.
	groupSize = 32
	// minimumWriteInterval is the least time between two writes, so that starts close together cost one.
	minimumWriteInterval = clock.Second
	// usualWriteInterval is that of changes of few nodes. Each write ends the watches of the store, so all registrars write when
	// such an interval of the wall clock begins.
	usualWriteInterval = 8 * clock.Second
	// manyDivisor: many nodes have changed if one in so many of a record has started, or is not reached any more.
	manyDivisor = 3
	// rewriteAfter is how long a write may take to appear in this node's copy of the store before it is made again.
	rewriteAfter = 3 * clock.Second
	// listSelfAfter is how long a node waits for a registrar to list it before it lists itself.
	listSelfAfter = 3 * clock.Second
	// meetTime is for how long the members must not have grown until a node writes its first record. Nodes that start together
	// know few others at first, so each would think that it is a registrar.
	meetTime = 700 * clock.Ms(1)
	// joinTime is how long after its first plan a node still expects to hear of others.
	joinTime = 5 * clock.Second
	// forgetAfter is how long a node that is away stays listed.
	forgetAfter = 24 * 60 * 60 * clock.Second
)

// View is what a node knows when it plans its record.
type View struct {
	// Wall is the wall-clock time in milliseconds since 1970.
	Wall int64
	// Members are the known nodes, this one included, in the order of their addresses.
	Members []membership.Member
	// SettleAfter is how long a process must have been running to be settled.
	SettleAfter clock.Ms
}

// Write is a change of this node's record. A value of nil removes it.
type Write struct{ Value []byte }

// ProcessOf returns the number of a process of a member. It is not 0.
func ProcessOf(m membership.Member) uint32 { return max(uint32(m.Generation), 1) }

// Plan returns what this node should write now, or nil if its record is as it should be.
func (c *Core) Plan(now clock.Ms, v View) *Write {
	c.noteListed(now)
	c.forget(v.Wall)
	c.noteMembers(now, len(v.Members))
	if !c.HasRecord() && now-c.grownAt < meetTime {
		return nil
	}
	entries := c.plannedEntries(now, v)
	slot := v.Wall / int64(usualWriteInterval)
	if now-c.writtenAt < minimumWriteInterval || slot == c.writtenIn && !c.manyChanged(entries) {
		return nil
	}
	listed, found := c.records[c.Key()]
	if !found && len(entries) == 0 {
		return nil
	}
	var value []byte
	if len(entries) > 0 {
		value = encode(entries)
	}
	upToDate := found && bytes.Equal(value, encode(listed))
	underWay := bytes.Equal(value, c.written) && now-c.writtenAt < rewriteAfter
	if upToDate || underWay {
		return nil
	}
	c.written, c.writtenAt, c.writtenIn = value, now, slot
	return &Write{Value: value}
}

// manyChanged reports whether many of the entries are of processes that no record lists so yet.
func (c *Core) manyChanged(entries []Entry) bool {
	count := 0
	for _, e := range entries {
		if !c.lists(e) {
			count++
		}
	}
	return count > 0 && count*manyDivisor >= len(entries)
}

// lists reports whether any record lists the process of an entry as the entry does: as running, or as away.
func (c *Core) lists(e Entry) bool {
	for _, listed := range c.listings[e.Address] {
		if listed.Process == e.Process && listed.Away == e.Away {
			return true
		}
	}
	return false
}

// noteMembers notes when this node first planned, and when it last heard of more members.
func (c *Core) noteMembers(now clock.Ms, members int) {
	if c.plannedSince < 0 {
		c.plannedSince = now
	}
	if members > c.members {
		c.members, c.grownAt = members, now
	}
}

// forget drops the nodes that no record has listed for long.
func (c *Core) forget(wall int64) {
	for address, e := range c.dropped {
		if e.AwaySince == 0 {
			e.AwaySince = wall
			c.dropped[address] = e
		}
		if wall-e.AwaySince > int64(forgetAfter) {
			delete(c.dropped, address)
		}
	}
}

// noteListed notes whether this process is listed as running.
func (c *Core) noteListed(now clock.Ms) {
	if c.Standing().Running {
		c.unlistedSince = -1
	} else if c.unlistedSince < 0 {
		c.unlistedSince = now
	}
}

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

// registrars tells which node lists which.
type registrars struct {
	groups map[string]uint64
	// lowest is the running node with the lowest address of all, lowestIn that of each region and of each group of a region.
	lowest   string
	lowestIn map[group]string
}

// group is a group of nodes of a region. Number anyGroup stands for all groups of the region.
type group struct {
	region string
	number uint64
}

const anyGroup = ^uint64(0)

// newRegistrars finds the registrars among members, which are in the order of their addresses.
func newRegistrars(members []membership.Member) *registrars {
	r := &registrars{groups: map[string]uint64{}, lowestIn: map[group]string{}}
	inRegion := map[string]uint64{}
	for _, m := range members {
		inRegion[m.Region]++
	}
	for region, count := range inRegion {
		r.groups[region] = (count + groupSize - 1) / groupSize
	}
	for _, m := range members {
		if m.State != membership.Alive {
			continue
		}
		r.lowest = cmp.Or(r.lowest, m.Address)
		for _, g := range []group{r.groupOf(m.Address, m.Region), {m.Region, anyGroup}} {
			r.lowestIn[g] = cmp.Or(r.lowestIn[g], m.Address)
		}
	}
	return r
}

func (r *registrars) groupOf(address, region string) group {
	return group{region, xxhash.Sum64String(address) % max(r.groups[region], 1)}
}

// of returns the address of the registrar of a node.
func (r *registrars) of(address, region string) string {
	return cmp.Or(r.lowestIn[r.groupOf(address, region)], r.lowestIn[group{region, anyGroup}], r.lowest)
}

func byAddress(a, b Entry) int { return cmp.Compare(a.Address, b.Address) }
