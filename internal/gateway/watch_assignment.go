package gateway

import (
	"slices"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/history"
	"stiletrail/internal/message"
	"stiletrail/internal/spread"
)

// smallFleetSize is the most nodes that watch and tell each other all together. In a larger one a region does: what goes between
// regions is dear.
const smallFleetSize = 12

// watchAssignment is this node's part in watching the store for a group of nodes, which tell each other: those of its region,
// or all of a small fleet. Guarded by Gateway.mu.
type watchAssignment struct {
	// shared: only some nodes of the group watch. Without it every node does.
	shared bool
	// watches: this node is one of them, and tells the others.
	watches bool
	// receivers are the nodes that it sends changes to; notified are only told that there are some, and ask if nobody sends them.
	receivers  []string
	announceTo []string
	// position is this node's position among the receivers of one of the watchers, where it does not watch.
	position treePosition
	// turn among the watcherCount, and how many there are.
	turn, watcherCount int
}

// assignWatch decides who watches, by the members known. Wanted is the number of watchers of a region, 0 for all.
func assignWatch(f *fleet, wanted int) watchAssignment {
	self := f.members.Self()
	near, far := f.usableAddresses()
	group, watchers := near, spread.Watchers(near, wanted)
	if len(near)+len(far) <= smallFleetSize && len(watchers) == len(near) {
		group = slices.Concat(near, far)
		watchers = spread.Watchers(group, 0)
	}
	a := watchAssignment{
		shared: f.nodeCount > 0 && len(watchers) < len(group), turn: slices.Index(watchers, self.Address), watcherCount: len(watchers),
	}
	a.watches = a.turn >= 0
	slices.Sort(group)
	if !a.watches {
		a.position = treePositionOf(self.Address, group, watchers)
		return a
	}
	a.receivers = receiversOf(a.turn, group, watchers)
	for _, address := range group {
		if address != self.Address && !slices.Contains(a.receivers, address) {
			a.announceTo = append(a.announceTo, address)
		}
	}
	return a
}

// receiversOf gives the nodes of a group, in the order of their addresses, to which the watcher of a turn sends changes.
func receiversOf(turn int, group, watchers []string) (receivers []string) {
	for i, address := range group {
		if i%len(watchers) == turn && !slices.Contains(watchers, address) {
			receivers = append(receivers, address)
		}
	}
	return receivers
}

// phase gives this node's turn in a period that the watchers share, with each some time after the one before it. Both are 0
// where it watches alone or not at all.
func (a *watchAssignment) phase(tellEvery clock.Ms) (period, phase time.Duration) {
	if !a.watches || a.watcherCount < 2 {
		return 0, 0
	}
	return (clock.Ms(a.watcherCount) * tellEvery).Duration(), (clock.Ms(a.turn) * tellEvery).Duration()
}

// reliesOnWatchers reports whether this node leaves the watching to others: they have told it of the store lately. A node that
// hears nothing, whatever the reason, watches itself.
func (g *Gateway) reliesOnWatchers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.firstListing.read.Load() && g.table.Load() != nil && g.servedByWatchers(g.now())
}

// servedByWatchers reports whether others watch for this node and have told it of the store lately.
func (g *Gateway) servedByWatchers(now time.Duration) bool {
	return g.fleet.watch.shared && !g.fleet.watch.watches && !g.storeCopy.stale(now)
}

// receivesChanges reports whether the store's changes come to this node, by its own watch or by those that watch for it.
func (g *Gateway) receivesChanges(now time.Duration) bool {
	return g.storeCopy.reader.StoreReachable(now) || g.servedByWatchers(now)
}

// storeConfirmed takes in that the store has told all changes after a revision, and tells the group: also the watchers of it,
// whose own watches may have fallen silent.
func (g *Gateway) storeConfirmed(now time.Duration, since history.Revision, records []message.StoreRecord) {
	c, watch := g.storeCopy, &g.fleet.watch
	c.records.Confirm(now)
	c.logStaleness(now)
	if !watch.watches || !g.settings.Load().Fleet.PeerCopies {
		return
	}
	direct, passedOn := splitReceivers(watch.receivers, records)
	g.sendSpread(c.records.Announce(now, direct, since, records))
	g.sendSpread(c.records.Announce(now, passedOn, since, nil))
	g.sendSpread(c.records.Announce(now, watch.announceTo, since, nil))
}
