package gateway

import (
	"slices"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
	"stiletrail/internal/spread"
)

const (
	// tellEvery is how often one of the watchers of a region hears from the store at the latest, and tells the others.
	tellEvery = 900 * clock.Ms(1)
	// staleAfter is how long a node that does not watch goes without such news before it watches itself.
	staleAfter = 2 * clock.Second
	// standbyLook is the pause between its looks at that.
	standbyLook = 100 * clock.Ms(1)
)

// duty is this node's part in watching the store for its region.
type duty struct {
	// shared: only some nodes of the region watch. Without it every node does.
	shared bool
	// watches: this node is one of them, and tells the others.
	watches bool
	// charges are the nodes that it sends changes to; others are only told that there are some, and ask if no other watcher sends them.
	charges []string
	others  []string
	// turn among the watchers, and how many there are.
	turn, watchers int
}

// assignDuty decides anew who watches, by the members known; the lock is held.
func (g *Gateway) assignDuty() {
	self := g.members.Self()
	var region []string
	for _, m := range g.members.Members() {
		if m.Region == self.Region && m.Usable() {
			region = append(region, m.Address)
		}
	}
	watchers := spread.Watchers(region, g.settings.Load().Watchers)
	g.duty = duty{shared: g.nodes > 0 && len(watchers) < len(region), turn: slices.Index(watchers, self.Address), watchers: len(watchers)}
	g.duty.watches = g.duty.turn >= 0
	if !g.duty.shared || !g.duty.watches {
		return
	}
	slices.Sort(region)
	for i, address := range region {
		switch {
		case slices.Contains(watchers, address):
		case i%len(watchers) == g.duty.turn:
			g.duty.charges = append(g.duty.charges, address)
		default:
			g.duty.others = append(g.duty.others, address)
		}
	}
}

// standsBy reports whether this node leaves the watching to others: they have told it of the store lately. A node that hears nothing,
// whatever the reason, watches itself.
func (g *Gateway) standsBy() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.listed.Load() && g.table.Load() != nil && g.told(g.now())
}

// told reports whether others watch for this node and have told it of the store lately; the lock is held.
func (g *Gateway) told(now time.Duration) bool {
	return g.duty.shared && !g.duty.watches && g.view.Fresh(now, staleAfter)
}

// confirmed takes in that the store has told all changes after a revision, and tells those that stand by.
func (g *Gateway) confirmed(now time.Duration, since uint64, records []message.StoreRecord, settled bool) {
	g.view.Confirm(now)
	g.noteAge(now)
	if g.duty.shared && g.duty.watches {
		g.tell(g.view.Tell(now, g.duty.charges, since, records, settled))
		g.tell(g.view.Tell(now, g.duty.others, since, nil, settled))
	}
}

// served reports whether the store's changes come to this node, by its own watch or by those that watch for it.
func (g *Gateway) served(now time.Duration) bool {
	return g.follower.Served(now) || g.told(now)
}
