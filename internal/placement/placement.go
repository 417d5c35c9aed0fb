// Package placement decides which back ends form a group, which nodes dispatch requests to a group, and which nodes
// of a zone read the store.
//
// It uses rendezvous hashing (Thaler and Ravishankar, 1998). Nodes with the same catalog and the same view of the
// members compute the same owners, so no agreement protocol is needed. Nodes with different views may both dispatch
// to a back end for a short time. The back end then sheds the requests for which it has no free slot: it refuses them
// without running them. A new owner starts with a concurrency window of one request per back end.
//
// The package owns the Table of the owners of each group, which is computed from documents and members. It does no I/O,
// takes no lock and reads no clock.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"stiletrail/internal/catalog"
	"stiletrail/internal/membership"
)

// Settings are the settings of placement. They must be the same on all nodes, or the nodes compute different owners.
type Settings struct {
	// GroupSize is the largest number of back ends in a group.
	GroupSize int
	// Dispatchers is the number of nodes that share the slots of a group's back ends.
	Dispatchers int
	// Standbys is the number of nodes that stand by for the dispatchers of a group. The root of a search, which is the
	// node that received it, sends a sub-query to a standby if a dispatcher is silent or lost. A standby uses one slot
	// of each back end until it becomes a dispatcher itself.
	Standbys int
	// RelaysPerZone is the number of nodes of a zone that read the key-value store, if the zone has as many.
	RelaysPerZone int
}

// DefaultSettings returns the settings that are used where the configuration sets no others.
func DefaultSettings() Settings {
	return Settings{GroupSize: 64, Dispatchers: 1, Standbys: 2, RelaysPerZone: 2}
}

// Group is a part of the back ends of a service. All its back ends are in one region.
type Group struct {
	Service string
	// Number counts the groups of a service from zero.
	Number   uint32
	Region   string
	BackEnds []catalog.BackEnd
}

// Groups divides the back ends of a document into groups, ordered by region and address. A group has back ends of one
// region only, at most Settings.GroupSize of them. A deleted service has no groups.
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

// standbySlots is the number of a back end's slots that a standby may use. A dispatcher that was wrongly suspected
// may use all of the slots at the same time. The back end then sheds a request, which is a refusal without running
// it.
const standbySlots = 1

// SlotShare returns the number of a back end's slots that the owner of the given rank may use. The shares of the
// dispatchers add up to the back end's slots. If the slots cannot be divided evenly, the hash of the back end's address
// decides which dispatchers get one more. The extra slots of many back ends are thus spread over the dispatchers.
func SlotShare(backEnd catalog.BackEnd, rank, dispatchers int) int {
	if rank >= dispatchers {
		return min(standbySlots, backEnd.Slots)
	}
	share := backEnd.Slots / dispatchers
	offset := int(xxhash.Sum64String(backEnd.Address) % uint64(dispatchers))
	if (rank+offset)%dispatchers < backEnd.Slots%dispatchers {
		share++
	}
	return share
}

// IsRelay reports whether the node at the address is a relay: a node that reads the store for its zone. The relays of a
// zone are the usable members with the highest scores.
func IsRelay(address, zone string, members []membership.Member, settings Settings) bool {
	key := "relay/" + zone
	var candidates []scoredMember
	for _, member := range members {
		if member.Usable() && member.Zone == zone {
			candidates = append(candidates, scoreOf(key, member.Address))
		}
	}
	return slices.Contains(addressesOf(highestScored(candidates, settings.RelaysPerZone)), address)
}
