// Package gossip spreads the catalog between nodes: a new document is pushed on from node to node, and random
// pairs of nodes compare hashes and exchange what differs (Demers et al., "Epidemic algorithms for replicated
// database maintenance", 1987). The core does no I/O and reads no clock.
//
// Ages: every node knows how long ago its catalog was last known equal to the store's, by its own reading or because a
// peer with that knowledge held the same. Ages only ever shrink by such proof, and otherwise grow with time.
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

// Peers picks random usable members.
type Peers interface {
	Pick(count int, match func(membership.Member) bool) []string
	Self() membership.Member
}

// never is the age of a catalog not compared with the store yet.
const never = time.Duration(math.MinInt64)

// Core is the spreading state of one node.
type Core struct {
	settings  Settings
	catalog   *catalog.Catalog
	peers     Peers
	refreshed time.Duration
	next      time.Duration
	ready     bool
	agreed    map[string]bool
	onNew     func(catalog.Document)
}

// New returns a core that spreads the given catalog. onNew is called with each document that a peer brought.
func New(held *catalog.Catalog, peers Peers, settings Settings, onNew func(catalog.Document)) *Core {
	return &Core{
		settings: settings, catalog: held, peers: peers,
		refreshed: never, agreed: map[string]bool{}, onNew: onNew,
	}
}

// Ready reports whether the catalog may be served from.
func (c *Core) Ready() bool { return c.ready }

// Age is the time since the catalog was last known equal to the store's; false where it never was.
func (c *Core) Age(now time.Duration) (time.Duration, bool) {
	if c.refreshed == never {
		return 0, false
	}
	return now - c.refreshed, true
}

// Refreshed notes that the whole store was read at the given time and is merged.
func (c *Core) Refreshed(at time.Duration) {
	c.refreshed = max(c.refreshed, at)
	c.ready = true
}

// Suspend makes the node not ready until it has joined peers or the store again, as after a freeze.
func (c *Core) Suspend() {
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

// Compare opens a comparison with one peer, as with one that was just met again.
func (c *Core) Compare(now time.Duration, peer string) membership.Send {
	return membership.Send{To: peer, Message: c.summary(now, false)}
}

func (c *Core) summary(now time.Duration, reply bool) *message.CatalogSummary {
	age := int64(-1)
	if elapsed, known := c.Age(now); known {
		age = elapsed.Milliseconds()
	}
	return &message.CatalogSummary{Hash: c.catalog.Hash(), AgeMilliseconds: age, Ready: c.ready, Reply: reply}
}

// Push sends a new document to random peers, in other zones too.
func (c *Core) Push(service string, except string) []membership.Send {
	zone := c.peers.Self().Zone
	targets := c.peers.Pick(c.settings.Fanout, func(m membership.Member) bool { return m.Usable() && m.Address != except })
	targets = append(targets, c.peers.Pick(1, func(m membership.Member) bool { return m.Usable() && m.Zone != zone })...)
	var sends []membership.Send
	for i, target := range targets {
		if i > 0 && target == targets[0] {
			continue
		}
		sends = append(sends, membership.Send{To: target, Message: c.Rumor(service)})
	}
	return sends
}

// Rumor returns the message that pushes the document of a service: the delta where there is one.
func (c *Core) Rumor(service string) *message.CatalogDocuments {
	if delta := c.catalog.Delta(service); delta != nil {
		return &message.CatalogDocuments{Rumor: true, Deltas: [][]byte{delta}}
	}
	return &message.CatalogDocuments{Rumor: true, Documents: [][]byte{c.catalog.Encoded(service)}}
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

func (c *Core) receiveSummary(now time.Duration, from string, m *message.CatalogSummary) []membership.Send {
	if m.Hash != c.catalog.Hash() {
		hashes := c.catalog.Hashes()
		return []membership.Send{{To: from, Message: &message.CatalogBuckets{Hashes: hashes[:]}}}
	}
	c.agree(now, from, m)
	if m.Reply {
		return nil
	}
	return []membership.Send{{To: from, Message: c.summary(now, true)}}
}

// agree takes over the peer's knowledge of the store: both catalogs are equal, so what is proved of one holds of the other.
func (c *Core) agree(now time.Duration, from string, m *message.CatalogSummary) {
	if m.AgeMilliseconds >= 0 {
		c.refreshed = max(c.refreshed, now-time.Duration(m.AgeMilliseconds)*time.Millisecond)
	}
	if c.ready || !m.Ready {
		return
	}
	c.agreed[from] = true
	c.ready = len(c.agreed) >= c.needed()
}

// needed is how many ready peers must agree: the setting, or all usable peers where there are fewer.
func (c *Core) needed() int {
	known := len(c.peers.Pick(c.settings.JoinPeers, usable))
	return max(1, min(c.settings.JoinPeers, known))
}

func (c *Core) receiveBuckets(from string, m *message.CatalogBuckets) []membership.Send {
	if len(m.Hashes) != catalog.Buckets {
		return nil
	}
	keys := &message.CatalogKeys{}
	for bucket, hash := range c.catalog.Hashes() {
		if hash == m.Hashes[bucket] {
			continue
		}
		keys.Buckets = append(keys.Buckets, uint32(bucket))
		for _, service := range c.catalog.InBucket(bucket) {
			keys.Keys = append(keys.Keys, message.ServiceVersion{Service: service, Version: c.catalog.Version(service)})
		}
	}
	if len(keys.Buckets) == 0 {
		return nil
	}
	return []membership.Send{{To: from, Message: keys}}
}

// receiveKeys sends what the peer lacks and asks for what it has newer.
func (c *Core) receiveKeys(from string, m *message.CatalogKeys) []membership.Send {
	theirs := make(map[string]uint64, len(m.Keys))
	reply := &message.CatalogDocuments{}
	for _, key := range m.Keys {
		theirs[key.Service] = key.Version
		if key.Version > c.catalog.Version(key.Service) {
			held := message.ServiceVersion{Service: key.Service, Version: c.catalog.Version(key.Service)}
			reply.Wanted = append(reply.Wanted, held)
		}
	}
	var newer []message.ServiceVersion
	for _, bucket := range m.Buckets {
		for _, service := range c.catalog.InBucket(int(bucket)) {
			newer = append(newer, message.ServiceVersion{Service: service, Version: theirs[service]})
		}
	}
	return c.documents(from, newer, reply)
}

// documents sends what is newer than the versions the peer holds, in chunks; the first chunk is the given reply.
func (c *Core) documents(to string, held []message.ServiceVersion, reply *message.CatalogDocuments) []membership.Send {
	var sends []membership.Send
	count := 0
	for _, key := range held {
		if c.catalog.Version(key.Service) <= key.Version {
			continue
		}
		if delta := c.catalog.DeltaFrom(key.Service, key.Version); delta != nil {
			reply.Deltas = append(reply.Deltas, delta)
		} else {
			reply.Documents = append(reply.Documents, c.catalog.Encoded(key.Service))
		}
		count++
		if count%c.settings.DocumentsPerMessage == 0 {
			sends = append(sends, membership.Send{To: to, Message: reply})
			reply = &message.CatalogDocuments{}
		}
	}
	if len(reply.Documents)+len(reply.Deltas)+len(reply.Wanted) > 0 {
		sends = append(sends, membership.Send{To: to, Message: reply})
	}
	return sends
}

func (c *Core) receiveDocuments(from string, m *message.CatalogDocuments) []membership.Send {
	var sends []membership.Send
	for _, encoded := range m.Documents {
		if document, err := catalog.Decode(encoded); err == nil {
			sends = append(sends, c.takeIn(document, from, m.Rumor)...)
		}
	}
	acknowledged := true
	for _, encoded := range m.Deltas {
		document, wanted, ok := c.applyDelta(encoded)
		if ok {
			sends = append(sends, c.takeIn(document, from, m.Rumor)...)
		}
		if wanted != nil {
			acknowledged = false
			sends = append(sends, membership.Send{To: from, Message: wanted})
		}
	}
	sends = append(sends, c.documents(from, m.Wanted, &message.CatalogDocuments{})...)
	if m.Operation != 0 && acknowledged {
		sends = append(sends, membership.Send{To: from, Message: &message.CatalogAck{Operation: m.Operation}})
	}
	return sends
}

// takeIn merges a document and passes a rumor on.
func (c *Core) takeIn(document catalog.Document, from string, rumor bool) []membership.Send {
	if !c.catalog.Merge(document) {
		return nil
	}
	c.onNew(document)
	if !rumor {
		return nil
	}
	return c.Push(document.Service, from)
}

// applyDelta returns the document a delta leads to. Where the version before is not held, or something else results, the
// whole document is wanted from the sender.
func (c *Core) applyDelta(encoded []byte) (document catalog.Document, wanted *message.CatalogDocuments, ok bool) {
	delta, err := catalog.DecodeDelta(encoded)
	if err != nil || c.catalog.Version(delta.Service) >= delta.To {
		return document, nil, false
	}
	held, _ := c.catalog.Get(delta.Service)
	document, err = delta.Apply(held)
	if err != nil {
		// Version zero asks for the whole document, whatever is held.
		key := message.ServiceVersion{Service: delta.Service}
		return document, &message.CatalogDocuments{Wanted: []message.ServiceVersion{key}}, false
	}
	return document, nil, true
}
