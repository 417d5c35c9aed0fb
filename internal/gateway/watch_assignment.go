package gateway

import (
	"slices"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/history"
	"stiletrail/internal/message"
	"stiletrail/internal/spread"
)

// smallFleetSize is the largest number of nodes that watch the store and send each other its changes as one group. In a
// larger fleet each region is a group, because traffic between regions is expensive.
const smallFleetSize = 12

// watchAssignment is this node's part in watching the store for a group of nodes that send each other its changes: the
// nodes of its region, or all nodes of a small fleet. Gateway.mu guards it.
type watchAssignment struct {
	// shared is set if only some nodes of the group watch. Otherwise every node does.
	shared bool
	// watches is set if this node is one of the watchers and sends changes to the others.
	watches bool
	// receivers are the nodes that this node sends changes to. The nodes in announceTo are only told that there are
	// changes, and ask for them if nobody sends them.
	receivers  []string
	announceTo []string
	// position is the position of a node that does not watch among the receivers of its watcher.
	position treePosition
	// turn is this node's index among the watchers, and watcherCount their number.
	turn, watcherCount int
}

// assignWatch decides which of the known members watch. wanted is the number of watchers in a region, or 0 for all nodes.
func assignWatch(f *fleet, wanted int) watchAssignment {
	self := f.members.Self()
	sameRegion, otherRegions := f.usableAddresses()
	group, watchers := sameRegion, spread.Watchers(sameRegion, wanted)
	if len(sameRegion)+len(otherRegions) <= smallFleetSize && len(watchers) == len(sameRegion) {
		group = slices.Concat(sameRegion, otherRegions)
		watchers = spread.Watchers(group, 0)
	}
	a := watchAssignment{
		shared: f.nodeCount > 0 && len(watchers) < len(group), turn: slices.Index(watchers, self.Address),
		watcherCount: len(watchers),
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

// receiversOf returns the nodes of a group, sorted by address, that the watcher with index turn sends changes to.
func receiversOf(turn int, group, watchers []string) (receivers []string) {
	for i, address := range group {
		if i%len(watchers) == turn && !slices.Contains(watchers, address) {
			receivers = append(receivers, address)
		}
	}
	return receivers
}

// phase returns the period in which each watcher polls the store once, and the offset of this node's poll in it. Both are 0
// if this node watches alone or not at all.
func (a *watchAssignment) phase(announceInterval clock.Ms) (period, phase time.Duration) {
	if !a.watches || a.watcherCount < 2 {
		return 0, 0
	}
	return (clock.Ms(a.watcherCount) * announceInterval).Duration(), (clock.Ms(a.turn) * announceInterval).Duration()
}

// reliesOnWatchers reports whether this node leaves the watching to others, which have kept it up to date so far. A node
// that hears nothing from them, for whatever reason, watches itself.
func (g *Gateway) reliesOnWatchers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.firstListing.read.Load() && g.table.Load() != nil && g.servedByWatchers(g.now())
}

// servedByWatchers reports whether other nodes watch for this one, and its copy is not stale.
func (g *Gateway) servedByWatchers(now time.Duration) bool {
	return g.fleet.watch.shared && !g.fleet.watch.watches && !g.storeCopy.stale(now)
}

// receivesChanges reports whether this node gets the changes of the store, by its own watch or from its watchers.
func (g *Gateway) receivesChanges(now time.Duration) bool {
	return g.storeCopy.reader.StoreReachable(now) || g.servedByWatchers(now)
}

// storeAnswer is an answer of the store: all changes after the revision since, up to the revision until.
type storeAnswer struct {
	// asOf is a moment before which the store did not give the answer.
	asOf         time.Duration
	since, until history.Revision
	records      []message.StoreRecord
}

// storeConfirmed records that the copy has all changes of an answer of the store, and sends them to the group. The other
// watchers are told too, since their own watches may have gone silent.
//
// Peers may have brought later changes while the call was under way. The answer then confirms nothing, and is not sent on:
// it lacks those changes, and whoever is told the revision of this copy must get all changes up to it.
func (g *Gateway) storeConfirmed(now time.Duration, answer storeAnswer) {
	c, watch := g.storeCopy, &g.fleet.watch
	if answer.until.Before(c.records.Revision()) {
		return
	}
	c.records.Confirm(now, answer.asOf)
	c.logStaleness(now)
	if !watch.watches || !g.settings.Load().Fleet.PeerCopies {
		return
	}
	direct, passedOn := splitReceivers(watch.receivers, answer.records)
	g.sendSpread(c.records.Announce(now, direct, answer.since, answer.records))
	g.sendSpread(c.records.Announce(now, passedOn, answer.since, nil))
	g.sendSpread(c.records.Announce(now, watch.announceTo, answer.since, nil))
}
