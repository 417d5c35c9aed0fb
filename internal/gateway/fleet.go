package gateway

import (
	"maps"
	"slices"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
)

// PeerTransport sends messages to other nodes. Send never blocks.
type PeerTransport interface {
	Send(to string, m message.Message)
}

const (
	// otherRegionPickEvery: when peers are picked one at a time, one in so many picks is made among the nodes of all
	// regions instead of this node's region.
	otherRegionPickEvery = 4
	// startupPeriod is how long after the start of a node back ends may still count connections that its previous process
	// had opened.
	startupPeriod = 8 * clock.Second
	// manyStartingDivisor: many nodes are starting if at least one in so many started about when this one did.
	manyStartingDivisor = 3
)

// fleet holds the nodes that this one knows, and this node's part in what they do together. Gateway.mu guards it.
type fleet struct {
	// members are the known nodes, and transport sends messages to them. Both are nil on a node without peers.
	members   *membership.Core
	transport PeerTransport
	// seeds are the addresses of some nodes that are known from the start.
	seeds []string
	// picks counts the calls of pick.
	picks int
	// nodeCount is the number of nodes among which shared limits are divided: all known ones, including dead ones, since
	// those may return. It is 0 while this node has not joined them.
	nodeCount int
	// watch is this node's part in watching the store.
	watch watchAssignment
	// membersVersion, joined and manyWereStarting are what the last check found: the version of the member list, whether
	// this node has joined the others, and whether many nodes were starting.
	membersVersion   uint64
	joined           bool
	manyWereStarting bool
}

// usableAddresses returns the addresses of the nodes that can be given work: those of this node's region, including
// itself, and those of other regions.
func (f *fleet) usableAddresses() (sameRegion, otherRegions []string) {
	region := f.members.Self().Region
	for _, m := range f.members.Members() {
		switch {
		case !m.Usable():
		case m.Region == region:
			sameRegion = append(sameRegion, m.Address)
		default:
			otherRegions = append(otherRegions, m.Address)
		}
	}
	return sameRegion, otherRegions
}

// otherRegions returns the regions, except this node's own, in which there are usable nodes.
func (f *fleet) otherRegions() []string {
	own := f.members.Self().Region
	regions := map[string]bool{}
	for _, m := range f.members.Members() {
		if m.Usable() && m.Region != own {
			regions[m.Region] = true
		}
	}
	return slices.Sorted(maps.Keys(regions))
}

// pickInRegion returns one random usable member of a region, or none if there is none.
func (f *fleet) pickInRegion(region string) []string {
	return f.members.Pick(1, func(m membership.Member) bool { return m.Usable() && m.Region == region })
}

// pick returns random members. One of them may be anywhere; the others are in this node's region, because traffic between
// regions is expensive. A single pick is made in this node's region, but every fourth one may be anywhere, so that changes
// also reach other regions.
func (f *fleet) pick(count int) []string {
	f.picks++
	sameRegion := func(m membership.Member) bool { return m.Usable() && m.Region == f.members.Self().Region }
	anywhere := 1
	if count == 1 && f.picks%otherRegionPickEvery != 0 {
		anywhere = 0
	}
	picked := f.members.Pick(count-anywhere, sameRegion)
	return append(picked, f.members.Pick(count-len(picked), membership.Member.Usable)...)
}

// successors returns up to count addresses that follow own in sorted order. The first address follows the last one.
func successors(addresses []string, own string, count int) []string {
	slices.Sort(addresses)
	at, _ := slices.BinarySearch(addresses, own)
	var next []string
	for step := 1; step < len(addresses) && len(next) < count; step++ {
		next = append(next, addresses[(at+step)%len(addresses)])
	}
	return next
}

// manyNodesStarting reports whether back ends may still count many connections of earlier processes. That is so if this
// node and many others have just started, as after a power failure. A node that was started alone leaves few behind.
func (f *fleet) manyNodesStarting(now time.Duration) bool {
	if clock.FromDuration(now) >= startupPeriod {
		return false
	}
	members := f.members.Members()
	starting := 0
	for _, m := range members {
		// An incarnation starts as the wall-clock time of the node's start, in milliseconds.
		if m.Incarnation+uint64(startupPeriod) >= f.members.Self().Incarnation {
			starting++
		}
	}
	return starting*manyStartingDivisor >= len(members)
}
