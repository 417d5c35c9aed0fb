package gateway

import (
	"slices"

	"stiletrail/internal/message"
)

// A watcher sends a change directly to its receivers unless the change is large. A configuration of tens of kilobytes, sent
// to tens of nodes at once, would fill the link of a small machine for most of a second, and the traffic of its callers and
// back ends would wait behind it. A large change is sent down a tree instead: each node that has it sends it to
// treeFanout others.
//
// The tree consists of the watcher's receivers in the order of their addresses, filled level by level. Nodes that know the
// same members compute the same tree without exchanging messages. A node can be left out, because views of the members
// differ or because its parent is silent. It was still told that there is a change, and asks a peer for it after
// PropagationTimes.PeerRequestDelay, as after any lost message.
const (
	treeFanout = 4
	// maximumDirectBytes is the most that a watcher sends directly for one change, over all receivers. That takes the
	// slowest links, of 14 Mbit/s, less than a tenth of a second.
	maximumDirectBytes = 128 << 10
)

// treePosition is the position of a node in the tree of one watcher. The zero value belongs to a node that is in no tree.
type treePosition struct {
	// parent is the node that sends large changes to this one, and children are the nodes that this one sends them to.
	parent   string
	children []string
	// receivers is the number of nodes in the tree, including this one.
	receivers int
}

// treePositionOf returns the position of a node that does not watch, in the tree of the watcher that sends it changes.
func treePositionOf(self string, group, watchers []string) treePosition {
	at, found := slices.BinarySearch(group, self)
	if !found || len(watchers) == 0 {
		return treePosition{}
	}
	turn := at % len(watchers)
	receivers := receiversOf(turn, group, watchers)
	index, found := slices.BinarySearch(receivers, self)
	if !found {
		return treePosition{}
	}
	p := treePosition{parent: watchers[turn], receivers: len(receivers)}
	if index >= treeFanout {
		p.parent = receivers[index/treeFanout-1]
	}
	first := min((index+1)*treeFanout, len(receivers))
	p.children = receivers[first:min(first+treeFanout, len(receivers))]
	return p
}

// splitReceivers divides a watcher's receivers into those that it sends a change to and those that get it from other nodes.
func splitReceivers(receivers []string, records []message.StoreRecord) (direct, passedOn []string) {
	if !isLarge(records, len(receivers)) {
		return receivers, nil
	}
	return receivers[:treeFanout], receivers[treeFanout:]
}

// isLarge reports whether a change is too large to be sent directly to the given number of nodes.
func isLarge(records []message.StoreRecord, receivers int) bool {
	size := 0
	for i := range records {
		size += len(records[i].Key) + len(records[i].Value)
	}
	return receivers > treeFanout && size*receivers > maximumDirectBytes
}

// forwardToChildren forwards a change to this node's children in the tree, if it came from its parent.
func (g *Gateway) forwardToChildren(from string, m *message.StoreRecords) {
	position := &g.fleet.watch.position
	if from != position.parent || m.Complete || !isLarge(m.Records, position.receivers) {
		return
	}
	for _, child := range position.children {
		g.fleet.transport.Send(child, m)
	}
}
