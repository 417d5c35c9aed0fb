package gateway

import (
	"slices"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/history"
	"stiletrail/internal/message"
	"stiletrail/internal/spread"
)

const (
	// standbyLook is the pause between the looks of a node that stands by at whether others still tell it.
	standbyLook = 100 * clock.Ms(1)
	// smallFleet is the most nodes that watch and tell each other all together. In a larger one a region does: what goes between regions is dear.
	smallFleet = 12
)

// duty is this node's part in watching the store for a group of nodes, which tell each other: those of its region, or all of a small fleet.
type duty struct {
	// shared: only some nodes of the group watch. Without it every node does.
	shared bool
	// watches: this node is one of them, and tells the others.
	watches bool
	// charges are the nodes that it sends changes to; others are only told that there are some, and ask if nobody sends them.
	charges []string
	others  []string
	// turn among the watchers, and how many there are.
	turn, watchers int
}

// assignDuty decides anew who watches, by the members known; the lock is held.
func (g *Gateway) assignDuty() {
	self := g.members.Self()
	var fleet, region []string
	for _, m := range g.members.Members() {
		if !m.Usable() {
			continue
		}
		fleet = append(fleet, m.Address)
		if m.Region == self.Region {
			region = append(region, m.Address)
		}
	}
	group, watchers := region, spread.Watchers(region, g.settings.Load().Watchers)
	if len(fleet) <= smallFleet && len(watchers) == len(region) {
		group, watchers = fleet, spread.Watchers(fleet, 0)
	}
	g.duty = duty{shared: g.nodes > 0 && len(watchers) < len(group), turn: slices.Index(watchers, self.Address), watchers: len(watchers)}
	g.duty.watches = g.duty.turn >= 0
	if !g.duty.watches {
		return
	}
	slices.Sort(group)
	for i, address := range group {
		switch {
		case address == self.Address:
		case !slices.Contains(watchers, address) && i%len(watchers) == g.duty.turn:
			g.duty.charges = append(g.duty.charges, address)
		default:
			g.duty.others = append(g.duty.others, address)
		}
	}
}

// standsBy reports whether this node leaves the watching to others: they have told it of the store lately. A node that hears nothing,
// whatever the reason, watches itself.
func (g *Gateway) standsBy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.firstListing.read.Load() && g.table.Load() != nil && g.told(g.now())
}

// told reports whether others watch for this node and have told it of the store lately; the lock is held.
func (g *Gateway) told(now time.Duration) bool {
	return g.duty.shared && !g.duty.watches && g.fresh(now)
}

// confirmed takes in that the store has told all changes after a revision, and tells the group: also the watchers of it, whose own watches may have
// fallen silent.
func (g *Gateway) confirmed(now time.Duration, since history.Revision, records []message.StoreRecord) {
	g.view.Confirm(now)
	g.noteAge(now)
	if g.duty.watches && g.settings.Load().PeerCopies {
		g.tell(g.view.Tell(now, g.duty.charges, since, records))
		g.tell(g.view.Tell(now, g.duty.others, since, nil))
	}
}

// served reports whether the store's changes come to this node, by its own watch or by those that watch for it.
func (g *Gateway) served(now time.Duration) bool {
	return g.follower.Served(now) || g.told(now)
}
