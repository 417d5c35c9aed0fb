package gateway

import (
	"maps"
	"slices"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
)

// PeerTransport carries messages to other nodes; sending never blocks.
type PeerTransport interface {
	Send(to string, m message.Message)
}

const (
	// otherRegionPickEvery single peers one is picked anywhere.
	otherRegionPickEvery = 4
	// startupPeriod is how long after a start back ends may count connections that died with an earlier life.
	startupPeriod = 8 * clock.Second
	// manyStartingDivisor: many nodes are starting where at least one in so many has started with this one.
	manyStartingDivisor = 3
)

// fleet is the nodes that this one knows, and its part in what they do together. Guarded by Gateway.mu.
type fleet struct {
	// members are the nodes known, transport carries messages to them; nil on a node without peers.
	members   *membership.Core
	transport PeerTransport
	// picks counts how often peers were picked.
	picks int
	// nodeCount is the number of nodeCount to share what there is with: those known, dead ones included, since they may be back; 0 while
	// this node has not joined them.
	nodeCount int
	// watch is this node's part in watching the store.
	watch watchAssignment
	// membersVersion of the members, whether this node has joined them, and whether many are starting, as of the last look.
	membersVersion   uint64
	joined           bool
	manyWereStarting bool
}

// usableAddresses gives the addresses of the nodes that may be given work: those of this node's region, itself included, and the others.
func (f *fleet) usableAddresses() (near, far []string) {
	region := f.members.Self().Region
	for _, m := range f.members.Members() {
		switch {
		case !m.Usable():
		case m.Region == region:
			near = append(near, m.Address)
		default:
			far = append(far, m.Address)
		}
	}
	return near, far
}

// otherRegions are those in which there are usable nodes, but this node's.
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

// pickInRegion gives a random member of a region, none where nobody there is usable.
func (f *fleet) pickInRegion(region string) []string {
	return f.members.Pick(1, func(m membership.Member) bool { return m.Usable() && m.Region == region })
}

// pick gives random members: one anywhere and the others near, since bytes between regions are dear; every fourth time a single
// one is picked anywhere too, so that news crosses between regions.
func (f *fleet) pick(count int) []string {
	f.picks++
	near := func(m membership.Member) bool { return m.Usable() && m.Region == f.members.Self().Region }
	farther := 1
	if count == 1 && f.picks%otherRegionPickEvery != 0 {
		farther = 0
	}
	picked := f.members.Pick(count-farther, near)
	return append(picked, f.members.Pick(count-len(picked), membership.Member.Usable)...)
}

// successors are up to count addresses that follow one's own in the order of all, the first after the last.
func successors(addresses []string, own string, count int) []string {
	slices.Sort(addresses)
	at, _ := slices.BinarySearch(addresses, own)
	var next []string
	for step := 1; step < len(addresses) && len(next) < count; step++ {
		next = append(next, addresses[(at+step)%len(addresses)])
	}
	return next
}

// manyNodesStarting reports whether back ends may still count many connections of earlier lives: this node has just started, and so
// have many others, as after a loss of power. What a node that was started alone has left behind is little.
func (f *fleet) manyNodesStarting(now time.Duration) bool {
	if clock.FromDuration(now) >= startupPeriod {
		return false
	}
	members := f.members.Members()
	starting := 0
	for _, m := range members {
		// An incarnation begins as the time of day of the start, in milliseconds.
		if m.Incarnation+uint64(startupPeriod) >= f.members.Self().Incarnation {
			starting++
		}
	}
	return starting*manyStartingDivisor >= len(members)
}
