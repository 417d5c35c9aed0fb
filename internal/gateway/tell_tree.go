package gateway

import (
	"slices"

	"stiletrail/internal/message"
)

// A watcher tells a change to its receivers directly, unless it is large: a configuration of tens of kilobytes, told to tens
// of nodes at once, takes the link of a small machine for most of a second, and all that its callers and back ends are to get
// waits behind it. A large change goes down a tree: each node that has it sends it to treeFanout others.
//
// The tree is that of the receivers in the order of their addresses, filled level by level. Nodes that know the same members
// agree on it without an exchange. Whoever is left out, since views differ or the node above it is silent, was told that there is
// a change and asks for it after Waits.Patience, as after any tell that is lost.
const (
	treeFanout = 4
	// maximumDirectBytes is how many bytes a watcher sends at most to tell a change directly: less than a tenth of a second of the
	// slowest links, which carry 14 Mbit/s.
	maximumDirectBytes = 128 << 10
)

// treePosition is a node's place in the tree of one watcher. The zero value is of a node that is in none.
type treePosition struct {
	// parent sends this node large changes; children are sent them by it.
	parent   string
	children []string
	// receivers is how many nodes the watcher tells, this one included.
	receivers int
}

// treePositionOf gives the place of a node that does not watch in the tree of the watcher that tells it.
func treePositionOf(self string, group, watchers []string) treePosition {
	at, found := slices.BinarySearch(group, self)
	if !found || len(watchers) == 0 {
		return treePosition{}
	}
	turn := at % len(watchers)
	receivers := receiversOf(turn, group, watchers)
	place, found := slices.BinarySearch(receivers, self)
	if !found {
		return treePosition{}
	}
	p := treePosition{parent: watchers[turn], receivers: len(receivers)}
	if place >= treeFanout {
		p.parent = receivers[place/treeFanout-1]
	}
	first := min((place+1)*treeFanout, len(receivers))
	p.children = receivers[first:min(first+treeFanout, len(receivers))]
	return p
}

// splitReceivers divides a watcher's receivers into those that it sends a change to, and those that get it from others.
func splitReceivers(receivers []string, records []message.StoreRecord) (direct, passedOn []string) {
	if !isLarge(records, len(receivers)) {
		return receivers, nil
	}
	return receivers[:treeFanout], receivers[treeFanout:]
}

// isLarge reports whether a change is too large to be told to so many nodes directly.
func isLarge(records []message.StoreRecord, receivers int) bool {
	size := 0
	for i := range records {
		size += len(records[i].Key) + len(records[i].Value)
	}
	return receivers > treeFanout && size*receivers > maximumDirectBytes
}

// forwardToChildren passes a change on to the nodes below this one, if it came from the node above it.
func (g *Gateway) forwardToChildren(from string, m *message.StoreRecords) {
	place := &g.fleet.watch.position
	if from != place.parent || m.Complete || !isLarge(m.Records, place.receivers) {
		return
	}
	for _, child := range place.children {
		g.fleet.transport.Send(child, m)
	}
}
