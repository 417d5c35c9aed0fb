package gateway

import (
	"fmt"
	"time"

	"stiletrail/internal/history"
	"stiletrail/internal/message"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/replica"
	"stiletrail/internal/routing"
)

// enterRestoredEra takes in, before anything else of it, that the store was restored from a backup. What the store lacks or
// names again then is no news of today: back ends that had left stay left, and what this node keeps in the store is written
// again.
func (g *Gateway) enterRestoredEra(now time.Duration) {
	era, entered := g.storeCopy.enterRestoredEra()
	if !entered {
		return
	}
	g.replicas.DistrustDeparted(now + g.settings.Load().StoreCopy.DistrustDepartedFor)
	g.quarantineWrites.scheduleClaimRewrites()
	g.log.StoreRestored(era)
}

// applyChanges takes in what a watch has told. Back ends whose entries are gone are used on until a moment.
func (g *Gateway) applyChanges(now time.Duration, records []message.StoreRecord, doubt time.Duration) {
	for _, record := range records {
		if !record.Deleted {
			g.applyIfNewer(now, record)
		} else if g.storeCopy.records.Apply(now, record) {
			g.applyDeletion(now, record.Key, doubt)
		}
	}
}

func countDeleted(records []message.StoreRecord) int {
	count := 0
	for _, record := range records {
		if record.Deleted {
			count++
		}
	}
	return count
}

// applyIfNewer brings a record in force unless a newer one of its key was taken.
func (g *Gateway) applyIfNewer(now time.Duration, record message.StoreRecord) {
	if g.storeCopy.records.Apply(now, record) {
		g.enterRestoredEra(now)
		g.apply(now, record)
	}
}

// apply brings what a record means in force.
func (g *Gateway) apply(now time.Duration, record message.StoreRecord) {
	if mark, found := quarantine.ParseKey(record.Key); found {
		g.applyStoredQuarantine(now, mark, record)
		return
	}
	item := g.store.Decode(record)
	if item.Err != nil {
		g.log.ItemRejected(&item)
	}
	switch content := item.Content.(type) {
	case nil:
	case BackEnd:
		if content.Entry == nil {
			// Whether the back end lives that the key named before, and where, nobody knows now.
			if g.replicas.Remove(now, content.ID, now) {
				g.log.BackEndVanished(content.ID, true)
			}
			return
		}
		g.updateBackEnd(now, *content.Entry, item.Revision)
	case Evacuation:
		if content.Zone != "" && g.replicas.EvacuateZone(content.Zone) {
			g.log.ZoneEvacuated(content.Zone, item.Revision)
		}
	case Configuration:
		g.applyConfiguration(&item, content, record)
	default:
		panic(fmt.Sprintf("an item of type %T", content))
	}
}

// updateBackEnd takes in the entry of a back end. Of those of the first listing, one line of the log tells how many they are.
func (g *Gateway) updateBackEnd(now time.Duration, entry replica.Entry, revision history.Revision) {
	if g.replicas.Put(now, entry) && (g.firstListing.read.Load() || entry.Draining) {
		g.log.BackEndUpdated(entry, revision)
	}
}

// applyDeletion takes in that a key is gone. A back end of that is used on until a moment.
func (g *Gateway) applyDeletion(now time.Duration, key string, doubt time.Duration) {
	if mark, found := quarantine.ParseKey(key); found {
		g.applyQuarantineDeletion(now, mark)
		return
	}
	if key == g.storeCopy.configuration.Key {
		g.storeCopy.keepConfiguration(key, true)
	}
	switch content := g.store.Decode(message.StoreRecord{Key: key, Deleted: true}).Content.(type) {
	case nil, Configuration:
	case BackEnd:
		if content.ID != "" && g.replicas.Remove(now, content.ID, doubt) {
			g.log.BackEndVanished(content.ID, doubt <= now)
		}
	case Evacuation:
		if content.Zone != "" {
			g.endEvacuation(now, key, content.Zone)
		}
	default:
		panic(fmt.Sprintf("an item of type %T", content))
	}
}

// endEvacuation has a zone get requests again that the store says nothing of any more. Where the store was just restored that may
// be a loss: the zone is left alone until that would have been written again.
func (g *Gateway) endEvacuation(now time.Duration, key, zone string) {
	if g.storeCopy.delayEvacuationEnd(now, key) {
		return
	}
	if g.replicas.RestoreZone(now, zone) {
		g.log.ZoneEvacuationEnded(zone)
	}
}

// endEvacuationsDue has those zones get requests again that a restored store still says nothing of.
func (g *Gateway) endEvacuationsDue(now time.Duration) {
	for _, key := range g.storeCopy.evacuationEndsDue(now) {
		g.applyDeletion(now, key, now)
	}
}

// applyConfiguration puts a configuration in force if it is newer than the one that is, by its own version: a restored store may tell one
// that was replaced, and what was in force must not go back. One that cannot be read changes nothing.
func (g *Gateway) applyConfiguration(item *Item, configuration Configuration, record message.StoreRecord) {
	current := g.table.Load()
	if current != nil && configuration.Version <= current.Version() {
		g.storeCopy.keepConfiguration(record.Key, configuration.Version < current.Version())
		return
	}
	table, err := g.compileTable(configuration)
	if err != nil {
		item.Err = err
		g.log.ItemRejected(item)
		return
	}
	g.splitter.Retain(table)
	g.gate.Retain(table.HasRoute)
	g.table.Store(table)
	g.storeCopy.setConfiguration(record, table.Version())
	g.storeCopy.keepConfiguration(record.Key, false)
	g.replicas.SetWarmups(warmups(table))
	g.divideAmongNodes()
	if g.firstListing.read.Load() {
		g.markListed()
	}
	g.log.ConfigurationApplied(table, item.Revision)
}

// compileTable makes the table of a configuration, whose regions this node must know.
func (g *Gateway) compileTable(configuration Configuration) (*routing.Table, error) {
	table, err := routing.Compile(*configuration.Configuration)
	if err == nil {
		err = table.CheckRegions(g.settings.Load().Topology.KnowsRegion)
	}
	return table, err
}

// warmups gives how cold a configuration says that back ends are, by service.
func warmups(table *routing.Table) map[string]replica.Warmup {
	warmups := map[string]replica.Warmup{}
	for _, service := range table.Services() {
		if service.WarmupTime > 0 || service.WarmupRate > 0 {
			warmups[service.Name] = replica.Warmup{Duration: service.WarmupTime, Rate: service.WarmupRate}
		}
	}
	return warmups
}

// receiveSpread takes in what a peer knows of the store.
func (g *Gateway) receiveSpread(now time.Duration, from string, m message.Message) {
	if request, asked := m.(*message.StoreRequest); asked && request.Revision.Unknown() {
		// A node that has just started: it must not serve before it knows what to send to nobody.
		g.sendAllEvidence(now, from)
	}
	c := g.storeCopy
	age := c.age(now)
	received := c.records.Receive(now, from, m, g.receivesChanges(now))
	g.enterRestoredEra(now)
	doubt := c.doubtUntil(now, age, countDeleted(received.Records)+len(received.Deleted), g.replicas.Len())
	for _, record := range received.Records {
		if record.Deleted {
			g.applyDeletion(now, record.Key, doubt)
		} else {
			g.apply(now, record)
		}
	}
	for _, key := range received.Deleted {
		g.applyDeletion(now, key, doubt)
	}
	g.applyKept(received.Retained)
	if received.Advanced {
		c.reader.Advance(c.records.Revision())
		g.markListed()
		g.log.LearnedFromPeer(from, len(received.Records)+len(received.Deleted), c.records.Revision())
		if told, ok := m.(*message.StoreRecords); ok {
			g.forwardToChildren(from, told)
		}
	}
	g.sendSpread(received.Sends)
}

// applyKept takes in what a peer goes by though the restored store says otherwise.
func (g *Gateway) applyKept(records []message.StoreRecord) {
	for _, record := range records {
		item := g.store.Decode(record)
		configuration, found := item.Content.(Configuration)
		if current := g.table.Load(); !found || current != nil && configuration.Version <= current.Version() {
			continue
		}
		g.applyConfiguration(&item, configuration, record)
		g.storeCopy.keepConfiguration(record.Key, true)
	}
}
