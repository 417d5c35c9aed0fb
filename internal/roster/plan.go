package roster

import (
	"bytes"

	"stiletrail/internal/clock"
	"stiletrail/internal/membership"
)

const (
	// minimumWriteInterval is the least time between two writes, so that starts close together cost one.
	minimumWriteInterval = clock.Second
	// usualWriteInterval is that of changes of few nodes. Each write ends the watches of the store, so all registrars write when
	// such an interval of the wall clock begins.
	usualWriteInterval = 8 * clock.Second
	// manyDivisor: many nodes have changed if one in so many of a record has started, or is not reached any more.
	manyDivisor = 3
	// rewriteAfter is how long a write may take to appear in this node's copy of the store before it is made again.
	rewriteAfter = 3 * clock.Second
	// stableViewTime is for how long the members must not have grown until a node writes its first record. Nodes that start together
	// know few others at first, so each would think that it is a registrar.
	stableViewTime = 700 * clock.Ms(1)
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
	if !c.HasRecord() && now-c.grownAt < stableViewTime {
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
