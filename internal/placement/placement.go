// Package placement decides which back ends form a group, which nodes dispatch to it, and which nodes of a zone read the store.
//
// It uses rendezvous hashing (Thaler and Ravishankar, 1998): every node computes the same from the catalog and its view of the
// members; no agreement is needed. Nodes with different views may for a moment both dispatch to a back end: it then sheds, which
// is a refusal that did not run, and a new owner starts with a window of one.
//
// It owns a Table of the owners of each group, which is made anew from documents and members. It does no I/O, takes no lock and
// reads no clock.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"stiletrail/internal/catalog"
	"stiletrail/internal/membership"
)

// Settings of placement; all nodes must have the same.
type Settings struct {
	// GroupSize is the largest number of back ends in a group.
	GroupSize int
	// Dispatchers is how many nodes share the slots of a group's back ends.
	Dispatchers int
	// Standbys stand by for the dispatchers of a group: roots ask them when a dispatcher is silent or lost, and they
	// then use one slot of each back end until they are dispatchers themselves.
	Standbys int
	// RelaysPerZone is how many nodes of a zone read the key-value store.
	RelaysPerZone int
}

// DefaultSettings gives the settings used where nothing else is said.
func DefaultSettings() Settings {
	return Settings{GroupSize: 64, Dispatchers: 1, Standbys: 2, RelaysPerZone: 2}
}

// Group is a part of a service's back ends within one region.
type Group struct {
	Service  string
	Number   uint32
	Region   string
	BackEnds []catalog.BackEnd
}

// Groups cuts the back ends of a document into groups, region by region, in the order of addresses.
func Groups(document catalog.Document, settings Settings) []Group {
	if document.Deleted {
		return nil
	}
	backEnds := slices.Clone(document.Specification.BackEnds)
	slices.SortFunc(backEnds, func(a, b catalog.BackEnd) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Address, b.Address))
	})
	var groups []Group
	for _, backEnd := range backEnds {
		last := len(groups) - 1
		if last < 0 || groups[last].Region != backEnd.Region || len(groups[last].BackEnds) >= settings.GroupSize {
			groups = append(groups, Group{Service: document.Service, Number: uint32(len(groups)), Region: backEnd.Region})
			last++
		}
		groups[last].BackEnds = append(groups[last].BackEnds, backEnd)
	}
	return groups
}

// deputySlots is what a deputy may fill of a back end's slots. A dispatcher that was suspected wrongly may be using all of
// them: the back end then sheds, which is a refusal that did not run.
const deputySlots = 1

// SlotShare returns the part of a back end's slots that the owner of the given rank may fill, where so many owners dispatch.
// Their shares sum to the slots; which of them gets the remainder differs from back end to back end.
func SlotShare(backEnd catalog.BackEnd, rank, dispatchers int) int {
	if rank >= dispatchers {
		return min(deputySlots, backEnd.Slots)
	}
	share := backEnd.Slots / dispatchers
	offset := int(xxhash.Sum64String(backEnd.Address) % uint64(dispatchers))
	if (rank+offset)%dispatchers < backEnd.Slots%dispatchers {
		share++
	}
	return share
}

// IsRelay reports whether the node at the address reads the store for its zone.
func IsRelay(address, zone string, members []membership.Member, settings Settings) bool {
	key := "relay/" + zone
	var candidates []scoredMember
	for _, member := range members {
		if member.Usable() && member.Zone == zone {
			candidates = append(candidates, scoreOf(key, member.Address))
		}
	}
	return slices.Contains(addressesOf(highest(candidates, settings.RelaysPerZone)), address)
}
