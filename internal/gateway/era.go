package gateway

import (
	"time"

	"stiletrail/internal/history"
	"stiletrail/internal/message"
)

// followEra takes in, before anything else of it, that the store has come back from a copy; the lock is held. What the store lacks or names again then is
// no news of today: back ends that had left stay left, and what this node keeps in the store is written again.
func (g *Gateway) followEra(now time.Duration) {
	era, returned := g.view.Era()
	if !returned || era == g.era {
		return
	}
	g.era = era
	g.replicas.DistrustDeparted(now + g.settings.Load().DoubtOldFor)
	g.quarantineWrites.rewriteClaims()
	g.log.Returned(era)
}

// noteReturn notes that the store tells a revision of another era than was known, or in the same era an earlier one.
func (g *Gateway) noteReturn(known, told history.Revision) {
	if !known.Unknown() && (told.Era != known.Era || told.Before(known)) {
		g.log.WentBack(known, told)
	}
}

// noteOlder notes what the store tells that is older than what is known of the same keys, as after a fall of its revisions; the lock is held.
func (g *Gateway) noteOlder(records []message.StoreRecord) {
	count, last := 0, message.StoreRecord{}
	for _, record := range records {
		if known, found := g.view.Record(record.Key); found && record.Revision.Before(known.Revision) {
			count, last = count+1, record
		}
	}
	if count > 0 {
		known, _ := g.view.Record(last.Key)
		g.log.Older(last.Key, last.Revision, known.Revision, count)
	}
}

// keepInForce has other nodes be told the configuration in force for as long as the store, back from a copy, tells an older one or none; the lock is held.
func (g *Gateway) keepInForce(key string, lost bool) {
	if lost {
		g.view.Keep(g.inForce)
		return
	}
	g.view.Unkeep(key)
}

// takeKept takes in what a peer goes by though the store, back from a copy, says otherwise; the lock is held.
func (g *Gateway) takeKept(records []message.StoreRecord) {
	for _, record := range records {
		item := g.store.Decode(record)
		current := g.table.Load()
		if item.Configuration == nil || current != nil && item.Configuration.Version <= current.Version() {
			continue
		}
		g.adopt(&item, record)
		g.keepInForce(record.Key, true)
	}
}

// takeBack has a zone get requests again that the store says nothing of any more. Where the store has just come back from a copy that may be a loss: the
// zone is left alone until that would have been written again.
func (g *Gateway) takeBack(now time.Duration, key, zone string) {
	if left := g.view.RewriteLeft(now); left > 0 {
		g.returning[key] = now + left.Duration()
		return
	}
	delete(g.returning, key)
	if g.replicas.TakeZoneBack(now, zone) {
		g.log.TakenBack(zone)
	}
}

// takeBackDue has those zones get requests again that the store still says nothing of; the lock is held.
func (g *Gateway) takeBackDue(now time.Duration) {
	for key, at := range g.returning {
		if now < at {
			continue
		}
		delete(g.returning, key)
		if record, known := g.view.Record(key); !known || record.Gone {
			g.vanished(now, key, now)
		}
	}
}
