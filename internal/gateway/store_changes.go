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

// enterRestoredEra handles a restore of the store from a backup. It must run before the changes of the new era take
// effect. What a restored store lacks or lists again is not a recent change: back ends that had departed stay departed,
// and what this node keeps in the store is written again.
func (g *Gateway) enterRestoredEra(now time.Duration) {
	era, entered := g.storeCopy.enterRestoredEra()
	if !entered {
		return
	}
	g.replicas.DistrustDeparted(now + g.settings.Load().StoreCopy.DistrustDepartedFor)
	g.quarantineWrites.scheduleClaimRewrites()
	// The restored store may have given the number of the lease to another client.
	g.roster.lease = 0
	g.log.StoreRestored(era)
}

// applyChanges applies the changes that a watch has returned. Back ends whose entries were deleted are still used until
// the moment usedUntil.
func (g *Gateway) applyChanges(now time.Duration, records []message.StoreRecord, usedUntil time.Duration) {
	for _, record := range records {
		if !record.Deleted {
			g.applyIfNewer(now, record)
		} else if g.storeCopy.records.Apply(now, record) {
			g.applyDeletion(now, record.Key, usedUntil)
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

// applyIfNewer applies a record, unless a newer record of its key was applied before.
func (g *Gateway) applyIfNewer(now time.Duration, record message.StoreRecord) {
	if g.storeCopy.records.Apply(now, record) {
		g.enterRestoredEra(now)
		g.apply(now, record)
	}
}

// apply puts the content of a record into force.
func (g *Gateway) apply(now time.Duration, record message.StoreRecord) {
	if g.applyRoster(record) {
		return
	}
	if fingerprint, found := quarantine.ParseKey(record.Key); found {
		g.applyStoredQuarantine(now, fingerprint, record)
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
			// The entry cannot be read, so it is not known whether and where the back end is running.
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
		panic(fmt.Sprintf("unexpected item content of type %T", content))
	}
}

// updateBackEnd applies the entry of a back end. The back ends of the first listing are not logged one by one; a single
// line gives their number.
func (g *Gateway) updateBackEnd(now time.Duration, entry replica.Entry, revision history.Revision) {
	if g.replicas.Put(now, entry) && (g.firstListing.read.Load() || entry.Draining) {
		g.log.BackEndUpdated(entry, revision)
	}
}

// applyDeletion handles that a key was deleted. If it is the key of a back end, the back end is still used until the
// moment usedUntil.
func (g *Gateway) applyDeletion(now time.Duration, key string, usedUntil time.Duration) {
	if g.applyRoster(message.StoreRecord{Key: key, Deleted: true}) {
		return
	}
	if fingerprint, found := quarantine.ParseKey(key); found {
		g.applyQuarantineDeletion(now, fingerprint)
		return
	}
	if key == g.storeCopy.configuration.Key {
		g.storeCopy.retainConfiguration(key, true)
	}
	switch content := g.store.Decode(message.StoreRecord{Key: key, Deleted: true}).Content.(type) {
	case nil, Configuration:
	case BackEnd:
		if content.ID != "" && g.replicas.Remove(now, content.ID, usedUntil) {
			g.log.BackEndVanished(content.ID, usedUntil <= now)
		}
	case Evacuation:
		if content.Zone != "" {
			g.endEvacuation(now, key, content.Zone)
		}
	default:
		panic(fmt.Sprintf("unexpected item content of type %T", content))
	}
}

// endEvacuation makes a zone get requests again, whose evacuation the store does not list any more. A store that was just
// restored may have lost the evacuation. The zone then stays evacuated until the evacuation would have been written again.
func (g *Gateway) endEvacuation(now time.Duration, key, zone string) {
	if g.storeCopy.delayEvacuationEnd(now, key) {
		return
	}
	if g.replicas.RestoreZone(now, zone) {
		g.log.ZoneEvacuationEnded(zone)
	}
}

// endEvacuationsDue makes zones get requests again whose evacuation a restored store still does not list.
func (g *Gateway) endEvacuationsDue(now time.Duration) {
	for _, key := range g.storeCopy.evacuationEndsDue(now) {
		g.applyDeletion(now, key, now)
	}
}

// applyConfiguration puts a configuration into force if its version is higher than that of the present one. The version
// decides because a restored store may return a configuration that was replaced, and the present one must stay in force. A
// configuration that cannot be read changes nothing.
func (g *Gateway) applyConfiguration(item *Item, configuration Configuration, record message.StoreRecord) {
	current := g.table.Load()
	if current != nil && configuration.Version <= current.Version() {
		g.storeCopy.retainConfiguration(record.Key, configuration.Version < current.Version())
		return
	}
	table, err := g.compileTable(configuration)
	if err != nil {
		item.Err = err
		g.log.ItemRejected(item)
		g.storeCopy.rejected = record
		return
	}
	g.splitter.Retain(table)
	g.admissionController.Retain(table.HasRoute)
	g.table.Store(table)
	g.updateLimits(table)
	g.storeCopy.setConfiguration(record, table.Version())
	g.storeCopy.retainConfiguration(record.Key, false)
	g.replicas.SetWarmups(warmups(table))
	g.divideAmongNodes()
	if g.firstListing.read.Load() {
		g.markListed()
	}
	g.log.ConfigurationApplied(table, item.Revision, g.storeCopy.status(g.now()))
}

// applyRejectedConfiguration puts the latest configuration into force if it was rejected under other settings.
func (g *Gateway) applyRejectedConfiguration() {
	rejected := g.storeCopy.rejected
	if rejected.Key == "" {
		return
	}
	item := g.store.Decode(rejected)
	if configuration, ok := item.Content.(Configuration); ok {
		g.applyConfiguration(&item, configuration, rejected)
	}
}

// compileTable builds the routing table of a configuration. It fails if the configuration names a region that this node
// does not know.
func (g *Gateway) compileTable(configuration Configuration) (*routing.Table, error) {
	table, err := routing.Compile(*configuration.Configuration)
	if err == nil {
		err = table.CheckRegions(g.settings.Load().Topology.KnowsRegion)
	}
	return table, err
}

// warmups returns the warm-up of the back ends of each service, as the configuration sets it.
func warmups(table *routing.Table) map[string]replica.Warmup {
	warmups := map[string]replica.Warmup{}
	for _, service := range table.Services() {
		if service.WarmupTime > 0 || service.WarmupRate > 0 {
			warmups[service.Name] = replica.Warmup{Duration: service.WarmupTime, Rate: service.WarmupRate}
		}
	}
	return warmups
}

// receiveSpread applies what a peer knows of the store.
func (g *Gateway) receiveSpread(now time.Duration, from string, m message.Message) {
	if request, asked := m.(*message.StoreRequest); asked && request.Revision.Unknown() {
		// The peer has just started. It must know the quarantined requests before it serves any.
		g.sendAllEvidence(now, from)
	}
	c := g.storeCopy
	age := c.age(now)
	received := c.records.Receive(now, from, m, g.receivesChanges(now))
	g.enterRestoredEra(now)
	usedUntil := c.doubtUntil(now, age, countDeleted(received.Records)+len(received.Deleted), g.replicas.Len())
	for _, record := range received.Records {
		if record.Deleted {
			g.applyDeletion(now, record.Key, usedUntil)
		} else {
			g.apply(now, record)
		}
	}
	for _, key := range received.Deleted {
		g.applyDeletion(now, key, usedUntil)
	}
	g.applyRetained(received.Retained)
	if received.Advanced {
		c.reader.Advance(c.records.Revision())
		g.markListed()
		g.log.LearnedFromPeer(from, len(received.Records)+len(received.Deleted), c.records.Revision())
		if storeRecords, ok := m.(*message.StoreRecords); ok {
			g.forwardToChildren(from, storeRecords)
		}
	}
	g.sendSpread(received.Sends)
}

// applyRetained applies the configuration that a peer retains although the restored store has another one.
func (g *Gateway) applyRetained(records []message.StoreRecord) {
	for _, record := range records {
		item := g.store.Decode(record)
		configuration, found := item.Content.(Configuration)
		if current := g.table.Load(); !found || current != nil && configuration.Version <= current.Version() {
			continue
		}
		g.applyConfiguration(&item, configuration, record)
		g.storeCopy.retainConfiguration(record.Key, true)
	}
}
