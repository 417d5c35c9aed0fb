package gossip

import (
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/clock"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
)

// Compare starts a comparison of the catalogs with one peer, for example a peer that has just become reachable again.
func (c *Core) Compare(now time.Duration, peer string) membership.OutgoingMessage {
	m := c.summary(now)
	m.SentAt = c.clock.Reading(clock.FromDuration(now))
	return membership.OutgoingMessage{To: peer, Message: m}
}

func (c *Core) summary(now time.Duration) *message.CatalogSummary {
	age := int64(-1)
	if elapsed, known := c.ConfigurationAge(now); known {
		age = elapsed.Milliseconds()
	}
	return &message.CatalogSummary{Hash: c.catalog.Hash(), AgeMilliseconds: age, Ready: c.ready}
}

func (c *Core) receiveSummary(now time.Duration, from string, m *message.CatalogSummary) []membership.OutgoingMessage {
	if m.Hash != c.catalog.Hash() {
		hashes := c.catalog.Hashes()
		return []membership.OutgoingMessage{{To: from, Message: &message.CatalogBuckets{Hashes: hashes[:]}}}
	}
	c.recordEqual(now, from, m)
	if m.Reply {
		return nil
	}
	answer := c.summary(now)
	answer.Reply, answer.SentAt = true, m.SentAt
	return []membership.OutgoingMessage{{To: from, Message: answer}}
}

// recordEqual records that a peer has an equal catalog. If the peer knows when its catalog was equal to the store's,
// this node's catalog was equal to the store's at that time too. A node that is not ready counts the ready peers with
// an equal catalog, and becomes ready when there are enough.
func (c *Core) recordEqual(now time.Duration, from string, m *message.CatalogSummary) {
	if sentAfter, known := c.sentAfter(now, m); known && m.AgeMilliseconds >= 0 {
		c.equalAt = max(c.equalAt, sentAfter-time.Duration(m.AgeMilliseconds)*time.Millisecond)
	}
	if c.ready || !m.Ready {
		return
	}
	c.equalPeers[from] = true
	c.ready = len(c.equalPeers) >= c.requiredPeers()
}

// sentAfter returns the latest moment after which a summary must have been sent. Only an answer has one that is known: the
// summary that it answers was sent before it. A peer of a release that does not say which one that was is trusted to be in
// time.
func (c *Core) sentAfter(now time.Duration, m *message.CatalogSummary) (moment time.Duration, known bool) {
	if m.SentAt == 0 {
		return now, true
	}
	asked, own := c.clock.Moment(clock.FromDuration(now), m.SentAt)
	return asked.Duration(), m.Reply && own
}

// requiredPeers returns the number of ready peers that must have an equal catalog before this node is ready:
// Settings.JoinPeers, or the number of usable peers if there are fewer, but at least one.
func (c *Core) requiredPeers() int {
	known := len(c.peers.Pick(c.settings.JoinPeers, usable))
	return max(1, min(c.settings.JoinPeers, known))
}

// receiveBuckets answers with the services and versions of those buckets whose hash differs from the peer's.
func (c *Core) receiveBuckets(from string, m *message.CatalogBuckets) []membership.OutgoingMessage {
	if len(m.Hashes) != catalog.Buckets {
		return nil
	}
	keys := &message.CatalogKeys{}
	for bucket, hash := range c.catalog.Hashes() {
		if hash == m.Hashes[bucket] {
			continue
		}
		keys.Buckets = append(keys.Buckets, uint32(bucket))
		for _, service := range c.catalog.ServicesInBucket(bucket) {
			keys.Keys = append(keys.Keys, message.ServiceVersion{Service: service, Version: c.catalog.Version(service)})
		}
	}
	if len(keys.Buckets) == 0 {
		return nil
	}
	return []membership.OutgoingMessage{{To: from, Message: keys}}
}

// receiveKeys sends the documents that the peer does not have or has in an older version, and requests those that the
// peer has in a newer version.
func (c *Core) receiveKeys(from string, m *message.CatalogKeys) []membership.OutgoingMessage {
	peerVersions := make(map[string]uint64, len(m.Keys))
	reply := &message.CatalogDocuments{}
	for _, key := range m.Keys {
		peerVersions[key.Service] = key.Version
		if key.Version > c.catalog.Version(key.Service) {
			held := message.ServiceVersion{Service: key.Service, Version: c.catalog.Version(key.Service)}
			reply.Wanted = append(reply.Wanted, held)
		}
	}
	var versions []message.ServiceVersion
	for _, bucket := range m.Buckets {
		for _, service := range c.catalog.ServicesInBucket(int(bucket)) {
			versions = append(versions, message.ServiceVersion{Service: service, Version: peerVersions[service]})
		}
	}
	return c.sendNewer(from, versions, reply)
}
