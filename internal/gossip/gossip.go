// Package gossip replicates the catalog between nodes with an epidemic protocol (Demers et al., "Epidemic algorithms
// for replicated database maintenance", 1987). Each node pushes a new document on to other nodes (spread.go). Random
// pairs of nodes compare the hashes of their catalogs and exchange the documents that differ (compare.go). The
// package also decides when a node's catalog is complete enough to serve requests.
//
// Each node knows the age of its catalog: the time since the catalog was last known to be equal to the store's. A
// node learns that by reading the whole store itself, or from a peer that knows it and has an equal catalog. What a peer
// says of it counts as of when the node asked, since the answer may have been under way for any time since. The age grows
// with time and only shrinks on such evidence.
//
// The package owns that age, and the set of peers whose catalog is equal to that of a node that is not ready; package
// catalog owns the documents. It relies on a PeerPicker for a choice of members. The caller must pass the time, read
// the store, and make one call at a time. The package does no I/O, takes no lock and reads no clock.
package gossip

import (
	"math"
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
	"stiletrail/internal/peerclock"
)

// Settings of the core.
type Settings struct {
	// SummaryInterval is the time between two comparisons that a node starts.
	SummaryInterval time.Duration
	// Fanout is the number of peers that a node pushes a new document to.
	Fanout int
	// JoinPeers is the number of ready peers whose catalog must be equal to that of a new node before the node serves
	// requests without having read the store.
	JoinPeers int
	// DocumentsPerMessage is the largest number of documents and deltas in one message.
	DocumentsPerMessage int
}

// DefaultSettings returns the settings that are used where the configuration sets no others.
func DefaultSettings() Settings {
	return Settings{SummaryInterval: time.Second, Fanout: 3, JoinPeers: 3, DocumentsPerMessage: 64}
}

// PeerPicker chooses the peers to send messages to.
type PeerPicker interface {
	// Pick returns the addresses of up to count random members for which match returns true.
	Pick(count int, match func(membership.Member) bool) []string
	// Self returns this node as a member.
	Self() membership.Member
}

// neverEqual is the value of Core.equalAt for a catalog that was never known to be equal to the store's.
const neverEqual = time.Duration(math.MinInt64)

// Core is the replication state of one node.
type Core struct {
	settings Settings
	catalog  *catalog.Catalog
	peers    PeerPicker
	// equalAt is the last time at which the catalog was known to be equal to the store's.
	equalAt time.Duration
	// clock dates the summaries that this node sends, and by them the answers.
	clock *peerclock.Core
	// nextComparison is the time at which this node next starts comparisons with peers.
	nextComparison time.Duration
	// ready is true if requests may be served with this catalog. Until then equalPeers has the addresses of the ready
	// peers whose catalog is equal to this one.
	ready      bool
	equalPeers map[string]bool
	onDocument func(catalog.Document)
}

// New returns a core that replicates the given catalog. onDocument is called with each document that came from a peer
// and was newer than the one in the catalog.
func New(local *catalog.Catalog, peers PeerPicker, settings Settings, onDocument func(catalog.Document)) *Core {
	return &Core{
		settings: settings, catalog: local, peers: peers,
		equalAt: neverEqual, equalPeers: map[string]bool{}, onDocument: onDocument,
		clock: peerclock.New(peers.Self().Generation + 1),
	}
}

// Ready reports whether requests may be served with the catalog.
func (c *Core) Ready() bool { return c.ready }

// ConfigurationAge returns the time since the catalog was last known to be equal to the store's. The second result is
// false if it never was.
func (c *Core) ConfigurationAge(now time.Duration) (time.Duration, bool) {
	if c.equalAt == neverEqual {
		return 0, false
	}
	return now - c.equalAt, true
}

// RecordStoreRead records that the whole store was read at the given time and merged into the catalog.
func (c *Core) RecordStoreRead(at time.Duration) {
	c.equalAt = max(c.equalAt, at)
	c.ready = true
}

// MarkNotReady makes the node not ready until it has read the store or enough ready peers have an equal catalog. It is
// called after the process was frozen, when the catalog may be outdated.
func (c *Core) MarkNotReady() {
	c.ready = false
	clear(c.equalPeers)
}

func usable(m membership.Member) bool { return m.Usable() }

// Tick starts comparisons when they are due: one with a peer in this node's zone and one with a peer in another zone.
// A node that is not ready compares with Settings.JoinPeers more peers, and four times as often.
func (c *Core) Tick(now time.Duration) []membership.OutgoingMessage {
	if now < c.nextComparison {
		return nil
	}
	c.nextComparison = now + c.settings.SummaryInterval
	zone := c.peers.Self().Zone
	targets := c.peers.Pick(1, func(m membership.Member) bool { return m.Usable() && m.Zone == zone })
	targets = append(targets, c.peers.Pick(1, func(m membership.Member) bool { return m.Usable() && m.Zone != zone })...)
	if !c.ready {
		c.nextComparison = now + c.settings.SummaryInterval/4
		targets = append(targets, c.peers.Pick(c.settings.JoinPeers, usable)...)
	}
	var sends []membership.OutgoingMessage
	for _, target := range targets {
		sends = append(sends, c.Compare(now, target))
	}
	return sends
}

// Receive handles a message of the catalog's kinds and returns the messages to send. It ignores other kinds.
func (c *Core) Receive(now time.Duration, from string, m message.Message) []membership.OutgoingMessage {
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
