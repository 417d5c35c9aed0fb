package gossip

import (
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
)

// Compare opens a comparison with one peer, as with one that was just met again.
func (c *Core) Compare(now time.Duration, peer string) membership.Send {
	return membership.Send{To: peer, Message: c.summary(now, false)}
}

func (c *Core) summary(now time.Duration, reply bool) *message.CatalogSummary {
	age := int64(-1)
	if elapsed, known := c.CatalogAge(now); known {
		age = elapsed.Milliseconds()
	}
	return &message.CatalogSummary{Hash: c.catalog.Hash(), AgeMilliseconds: age, Ready: c.ready, Reply: reply}
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
	c.ready = len(c.agreed) >= c.peersToAgree()
}

// peersToAgree is how many ready peers must agree: the setting, or all usable peers where there are fewer.
func (c *Core) peersToAgree() int {
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
		for _, service := range c.catalog.ServicesInBucket(bucket) {
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
		for _, service := range c.catalog.ServicesInBucket(int(bucket)) {
			newer = append(newer, message.ServiceVersion{Service: service, Version: theirs[service]})
		}
	}
	return c.documents(from, newer, reply)
}
