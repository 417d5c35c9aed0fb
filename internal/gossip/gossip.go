// Package gossip spreads the catalog between nodes: a new document is pushed on from node to node (spread.go), and random pairs
// of nodes compare hashes and exchange what differs (compare.go; Demers et al., "Epidemic algorithms for replicated database
// maintenance", 1987). It decides when a node knows enough of the configuration to serve from it.
//
// Ages: every node knows how long ago its catalog was last known equal to the store's, by its own reading or because a peer with
// that knowledge held the same. Ages only ever shrink by such proof, and otherwise grow with time.
//
// It owns that age and the peers that agreed with a fresh node; the documents are the catalog's. It relies on Peers for a choice
// of members, and on its caller for the time and the store, one call at a time; it does no I/O, takes no lock and reads no clock.
package gossip

import (
	"math"
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
)

// Settings of the core.
type Settings struct {
	// SummaryInterval is the time between two comparisons that a node starts.
	SummaryInterval time.Duration
	// Fanout is how many peers a new document is pushed to by each node that learns it.
	Fanout int
	// JoinPeers is how many ready peers a fresh node must agree with before it serves without the store.
	JoinPeers int
	// DocumentsPerMessage bounds one message.
	DocumentsPerMessage int
}

// DefaultSettings gives the settings used where nothing else is said.
func DefaultSettings() Settings {
	return Settings{SummaryInterval: time.Second, Fanout: 3, JoinPeers: 3, DocumentsPerMessage: 64}
}

// PeerPicker picks random usable members.
type PeerPicker interface {
	Pick(count int, match func(membership.Member) bool) []string
	Self() membership.Member
}

// never is the age of a catalog not compared with the store yet.
const never = time.Duration(math.MinInt64)

// Core is the spreading state of one node.
type Core struct {
	settings Settings
	catalog  *catalog.Catalog
	peers    PeerPicker
	// refreshed is when the catalog was last known equal to the store's.
	refreshed time.Duration
	// next is when peers are compared with again.
	next time.Duration
	// ready: the catalog may be served from; until then agreed holds the ready peers whose catalog is the same.
	ready  bool
	agreed map[string]bool
	onNew  func(catalog.Document)
}

// New returns a core that spreads the given catalog. onNew is called with each document that a peer brought.
func New(held *catalog.Catalog, peers PeerPicker, settings Settings, onNew func(catalog.Document)) *Core {
	return &Core{
		settings: settings, catalog: held, peers: peers,
		refreshed: never, agreed: map[string]bool{}, onNew: onNew,
	}
}

// Ready reports whether the catalog may be served from.
func (c *Core) Ready() bool { return c.ready }

// CatalogAge is the time since the catalog was last known equal to the store's; false where it never was.
func (c *Core) CatalogAge(now time.Duration) (time.Duration, bool) {
	if c.refreshed == never {
		return 0, false
	}
	return now - c.refreshed, true
}

// RecordStoreRead notes that the whole store was read at the given time and is merged.
func (c *Core) RecordStoreRead(at time.Duration) {
	c.refreshed = max(c.refreshed, at)
	c.ready = true
}

// MarkNotReady makes the node not ready until it has joined peers or the store again, as after a freeze.
func (c *Core) MarkNotReady() {
	c.ready = false
	clear(c.agreed)
}

func usable(m membership.Member) bool { return m.Usable() }

// Tick starts comparisons when due: one in the own zone and one in another. A node that is not ready compares with
// more peers, and faster.
func (c *Core) Tick(now time.Duration) []membership.Send {
	if now < c.next {
		return nil
	}
	c.next = now + c.settings.SummaryInterval
	zone := c.peers.Self().Zone
	targets := c.peers.Pick(1, func(m membership.Member) bool { return m.Usable() && m.Zone == zone })
	targets = append(targets, c.peers.Pick(1, func(m membership.Member) bool { return m.Usable() && m.Zone != zone })...)
	if !c.ready {
		c.next = now + c.settings.SummaryInterval/4
		targets = append(targets, c.peers.Pick(c.settings.JoinPeers, usable)...)
	}
	var sends []membership.Send
	for _, target := range targets {
		sends = append(sends, membership.Send{To: target, Message: c.summary(now, false)})
	}
	return sends
}

// Receive handles a message of this package's kinds.
func (c *Core) Receive(now time.Duration, from string, m message.Message) []membership.Send {
	switch m := m.(type) {
	case *message.CatalogSummary:
		return c.receiveSummary(now, from, m)
	case *message.CatalogBuckets:
		return c.receiveBuckets(from, m)
	case *message.CatalogKeys:
		return c.receiveKeys(from, m)
	case *message.CatalogDocuments:
		return c.receiveDocuments(from, m)
	}
	return nil
}
