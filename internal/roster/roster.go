// Package roster decides what the metadata store says of which nodes are running. A process that has just started remembers
// nobody, and cannot tell whether nodes that it does not reach are gone or are running on the other side of a cut. It has read
// the store, or a peer's copy of it, before it serves anybody, and so it knows the roster.
//
// The nodes of a region are divided into groups of about groupSize. The registrar of a group, its node with the lowest address,
// writes one record with an entry for each node of the group. The record has a lease, which the registrar renews. So a node
// that is listed as running was reached a few seconds ago by a node that reached the store. A node that nobody lists as running
// is gone, or reaches neither the store nor a registrar. Nodes of regions without any running node are listed, as away, by the
// node with the lowest address of all.
//
//   - entry.go: what a record says of a node
//   - plan.go: when this node writes its record
//   - planned_entries.go: what it writes
//   - registrars.go: which node lists which
//
// The package owns the decoded records of this node's copy of the store, and the decision what this node writes. It does no
// I/O, reads no clock and has no lock. The caller passes in the time and the known members, and writes what Plan returns.
package roster

import (
	"slices"

	"stiletrail/internal/clock"
)

// Core is the roster as one node knows it.
type Core struct {
	self    Entry
	version uint64
	// records holds the entries of each record by its key, listings the same entries by address and key.
	records  map[string][]Entry
	listings map[string]map[string]Entry
	// dropped holds the nodes that no record lists any more. The store forgets them with the last of their registrars.
	dropped map[string]Entry
	// seen is when this node first heard of the running process of each address.
	seen map[string]sighting
	// unlistedSince is since when this node has been missing in the roster, or -1 if it is not.
	unlistedSince clock.Ms
	// plannedSince is when this node has first planned a record, or -1. members is the largest number of members that it has
	// known, since grownAt.
	plannedSince clock.Ms
	members      int
	grownAt      clock.Ms
	// followsRapidly is set once a process of this node's address was listed that was not settled, other than this one.
	followsRapidly bool
	// written is the value of the last write, which was made at writtenAt, in an interval of the wall clock.
	written   []byte
	writtenAt clock.Ms
	writtenIn int64
}

// sighting is a process of an address, and when it was first heard of.
type sighting struct {
	process      uint32
	since        clock.Ms
	rapidRestart bool
}

// New returns the roster of a process that has read nothing yet. The entry has its address, zone, region and process.
func New(self Entry) *Core {
	return &Core{
		self: self, records: map[string][]Entry{}, listings: map[string]map[string]Entry{}, dropped: map[string]Entry{}, seen: map[string]sighting{},
		unlistedSince: -1, plannedSince: -1, writtenAt: -minimumWriteInterval,
	}
}

// Key returns the store key of this node's record.
func (c *Core) Key() string { return KeyOf(c.self.Address) }

// HasRecord reports whether the store has a record of this node, which may be that of an earlier process.
func (c *Core) HasRecord() bool { return len(c.records[c.Key()]) > 0 }

// Version returns a number that changes whenever a record does.
func (c *Core) Version() uint64 { return c.version }

// Put applies the record of a registrar. A record that cannot be read counts as none.
func (c *Core) Put(key string, value []byte) error {
	entries, err := decode(value)
	if err != nil {
		c.Delete(key)
		return err
	}
	earlier := c.records[key]
	c.unlist(key)
	c.records[key] = entries
	for _, e := range entries {
		delete(c.dropped, e.Address)
		if e.Address == c.self.Address && e.Process != c.self.Process && !e.Settled {
			c.followsRapidly = true
		}
		if c.listings[e.Address] == nil {
			c.listings[e.Address] = map[string]Entry{}
		}
		c.listings[e.Address][key] = e
	}
	for _, e := range earlier {
		// One that was away and is left out was forgotten by its registrar.
		if !e.Away {
			c.drop(e)
		}
	}
	return nil
}

// Delete applies that the record of a registrar is gone.
func (c *Core) Delete(key string) {
	entries := c.records[key]
	c.unlist(key)
	for _, e := range entries {
		c.drop(e)
	}
}

// drop keeps a node in mind that no record lists any more.
func (c *Core) drop(e Entry) {
	if len(c.listings[e.Address]) == 0 {
		e.Away = true
		c.dropped[e.Address] = e
	}
}

// unlist removes a record.
func (c *Core) unlist(key string) {
	c.version++
	for _, e := range c.records[key] {
		delete(c.listings[e.Address], key)
		if len(c.listings[e.Address]) == 0 {
			delete(c.listings, e.Address)
		}
	}
	delete(c.records, key)
}

// Nodes returns an entry for each listed node, in the order of their addresses. It is away if no registrar reaches it.
func (c *Core) Nodes() []Entry {
	nodes := make([]Entry, 0, len(c.listings))
	for _, listings := range c.listings {
		var merged Entry
		for _, e := range listings {
			if merged.Address == "" || takesPrecedence(e, merged) {
				merged = e
			}
		}
		nodes = append(nodes, merged)
	}
	for _, e := range c.dropped {
		nodes = append(nodes, e)
	}
	slices.SortFunc(nodes, byAddress)
	return nodes
}

// Standing is what the roster says of this process.
type Standing struct {
	// Running is set if a registrar lists this process as running.
	Running bool
	// Away is set if a registrar does not reach this node.
	Away bool
	// RapidRestart is set if the predecessor of this process had not run for long enough. A registrar may know so, or this process
	// has read it. It is known for certain once the copy of the store is complete as of a moment after the start.
	RapidRestart bool
}

// Standing returns what the roster says of this process.
func (c *Core) Standing() Standing {
	s := Standing{RapidRestart: c.followsRapidly}
	for _, e := range c.listings[c.self.Address] {
		s.Away = s.Away || e.Away
		if e.Process == c.self.Process {
			s.Running = s.Running || !e.Away
			s.RapidRestart = s.RapidRestart || e.RapidRestart
		}
	}
	return s
}
