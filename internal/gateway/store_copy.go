package gateway

import (
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/follow"
	"stiletrail/internal/history"
	"stiletrail/internal/message"
	"stiletrail/internal/spread"
)

// storeCopy is what a node knows of the store: its records, how long ago they were confirmed to be all, and what the node goes
// by though a store that was restored from a backup says otherwise. Guarded by Gateway.mu.
type storeCopy struct {
	log         DecisionLog
	propagation PropagationTimes
	// keepDoubtfulFor is how long an entry that vanished without proof that its back end leaves is used on at most.
	keepDoubtfulFor time.Duration
	// records are the node's copy, and what other nodes say of theirs.
	records *spread.Core
	// reader decides the next call to the store.
	reader *follow.Core
	// listedKeys are those that a listing under way has named so far.
	listedKeys map[string]bool
	// restoredEra is the latest era that was taken in, of a store that was restored.
	restoredEra uint64
	// loggedStale: the log was told that nothing confirms the copy.
	loggedStale bool
	// configuration is the record of the one in force.
	configuration message.StoreRecord
	// pendingEvacuationEnds are the keys of evacuated zones of which a restored store says nothing, with the moment from which that is
	// believed.
	pendingEvacuationEnds map[string]time.Duration
}

// newStoreCopy returns a copy that knows nothing. Peers picks nodes to be told of changes, random gives numbers from 0 to 1.
func newStoreCopy(settings *Settings, log DecisionLog, peers spread.PeerPicker, random func() float64) *storeCopy {
	c := &storeCopy{
		log: log, records: spread.New(settings.Spread, peers), reader: follow.New(settings.Follow, random),
		listedKeys: map[string]bool{}, pendingEvacuationEnds: map[string]time.Duration{},
	}
	c.configure(settings)
	return c
}

func (c *storeCopy) configure(settings *Settings) {
	c.propagation, c.keepDoubtfulFor = settings.StoreCopy.Propagation, settings.StoreCopy.KeepDoubtfulFor
}

// neverConfirmed stands for the age of a copy of the store that was never known to be complete.
const neverConfirmed clock.Ms = -1

// age is how long ago the copy was last known to be complete, by the store itself or another node.
func (c *storeCopy) age(now time.Duration) clock.Ms {
	if age, known := c.records.CopyAge(now); known {
		return age
	}
	return neverConfirmed
}

// stale reports whether nobody has confirmed the copy of late, or ever.
func (c *storeCopy) stale(now time.Duration) bool {
	return !c.records.ConfirmedWithin(now, c.propagation.StaleAfter)
}

// untilStale is how long from now the copy turns stale if nobody confirms it.
func (c *storeCopy) untilStale(now time.Duration) clock.Ms {
	return c.propagation.StaleAfter - c.age(now) + 1
}

// state is how the copy stands, for the next call to the store.
func (c *storeCopy) state(now time.Duration) follow.CopyState {
	return follow.CopyState{Stale: c.stale(now), PeersSilent: !c.records.PeersConfirmedWithin(now, c.propagation.StaleAfter)}
}

// logStaleness logs that the copy has turned stale, or is complete again.
func (c *storeCopy) logStaleness(now time.Duration) {
	stale := c.stale(now) && c.age(now) != neverConfirmed
	if stale == c.loggedStale {
		return
	}
	c.loggedStale = stale
	if stale {
		c.log.CopyStale(c.age(now))
		return
	}
	c.log.CopyFresh()
}

const (
	// doubtMargin of the bound is left for requests that are under way when a doubt ends, and for the poll that ends it.
	doubtMargin = 300 * clock.Ms(1)
	// One back end in massDeletionDivisor, and massMinimum at least, that vanish within one call are taken for trouble of the store, not for
	// back ends leaving.
	massDeletionDivisor = 3
	massDeletionMinimum = 4
)

// isMassDeletion reports whether so many back ends of those known do not all leave.
func isMassDeletion(gone, known int) bool {
	return gone >= massDeletionMinimum && gone*massDeletionDivisor > known
}

// doubtUntil is the moment until which back ends are used on whose entries have just been found gone, so many at once of those
// known; it is now where that is proof that they leave. Age is that of the copy before it was confirmed by what tells of it: an
// entry may have gone right after that. Where the store was not away, so that a back end is given the usual time from then on,
// the doubt is over by then.
func (c *storeCopy) doubtUntil(now time.Duration, age clock.Ms, gone, known int) time.Duration {
	longest := now + c.keepDoubtfulFor
	if c.keepDoubtfulFor > 0 {
		longest = max(longest, now+c.records.RewriteRemaining(now).Duration())
	}
	switch {
	case !c.records.DeletionsReliable(now):
		return longest
	case isMassDeletion(gone, known):
		return min(longest, now+(c.propagation.Bound-age-doubtMargin).Duration())
	}
	return now
}

// enterRestoredEra reports whether the store was restored since this was last asked, and into which era.
func (c *storeCopy) enterRestoredEra() (era uint64, entered bool) {
	era, restored := c.records.Era()
	if !restored || era == c.restoredEra {
		return era, false
	}
	c.restoredEra = era
	return era, true
}

// logRegression logs that the store tells a revision of another era than was known, or in the same era an earlier one.
func (c *storeCopy) logRegression(known, told history.Revision) {
	if !known.Unknown() && (told.Era != known.Era || told.Before(known)) {
		c.log.StoreRegressed(known, told)
	}
}

// logOutdated logs what the store tells that is older than what is known of the same keys.
func (c *storeCopy) logOutdated(records []message.StoreRecord) {
	count, last := 0, message.StoreRecord{}
	for _, record := range records {
		if known, found := c.records.Record(record.Key); found && record.Revision.Before(known.Revision) {
			count, last = count+1, record
		}
	}
	if count > 0 {
		known, _ := c.records.Record(last.Key)
		c.log.OutdatedRecordsRead(last.Key, last.Revision, known.Revision, count)
	}
}

// setConfiguration takes in which configuration is in force now.
func (c *storeCopy) setConfiguration(record message.StoreRecord, version uint64) {
	c.configuration = record
	c.records.SetConfiguration(version)
}

// keepConfiguration has other nodes be told the configuration in force for as long as the restored store tells an older one or
// none.
func (c *storeCopy) keepConfiguration(key string, lost bool) {
	if lost {
		c.records.Retain(c.configuration)
		return
	}
	c.records.StopRetaining(key)
}

// delayEvacuationEnd reports whether it is not believed yet that the store says nothing of an evacuated zone any more: a restored
// store may have lost that, and it would be written again.
func (c *storeCopy) delayEvacuationEnd(now time.Duration, key string) bool {
	if left := c.records.RewriteRemaining(now); left > 0 {
		c.pendingEvacuationEnds[key] = now + left.Duration()
		return true
	}
	delete(c.pendingEvacuationEnds, key)
	return false
}

// evacuationEndsDue gives the keys of evacuated zones of which the restored store still says nothing, once that is believed.
func (c *storeCopy) evacuationEndsDue(now time.Duration) (keys []string) {
	for key, at := range c.pendingEvacuationEnds {
		if now < at {
			continue
		}
		delete(c.pendingEvacuationEnds, key)
		if record, known := c.records.Record(key); !known || record.Deleted {
			keys = append(keys, key)
		}
	}
	return keys
}
