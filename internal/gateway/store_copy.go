package gateway

import (
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/follow"
	"stiletrail/internal/history"
	"stiletrail/internal/message"
	"stiletrail/internal/peerclock"
	"stiletrail/internal/spread"
)

// storeCopy is the node's copy of the store: its records, when they were last confirmed to be complete, and what the node
// retains although a store that was restored from a backup says otherwise. Gateway.mu guards it.
type storeCopy struct {
	log         DecisionLog
	propagation PropagationTimes
	// keepDoubtfulFor is the longest time for which a back end is still used after its entry disappeared without proof
	// that the back end has left.
	keepDoubtfulFor time.Duration
	// records are the records of this copy, and what is known of the copies of other nodes.
	records *spread.Core
	// reader decides which call to the store is next.
	reader *follow.Core
	// listedKeys are the keys that the listing in progress has returned so far. listingStartedAt is when its first page
	// was asked for.
	listedKeys       map[string]bool
	listingStartedAt time.Duration
	// restoredEra is the latest era of a restored store that this node has handled.
	restoredEra uint64
	// loggedStale is set if the log was last told that the copy is stale.
	loggedStale bool
	// configuration is the record of the configuration in force.
	configuration message.StoreRecord
	// rejected is the record of the latest configuration if it could not be put into force. Other settings may allow it.
	rejected message.StoreRecord
	// pendingEvacuationEnds are the keys of evacuations that a restored store does not list, with the moment from which
	// they are taken to have ended.
	pendingEvacuationEnds map[string]time.Duration
}

// newStoreCopy returns an empty copy. The function peers picks nodes to be told of changes, clocks dates what they report,
// and random returns random numbers from 0 to 1.
func newStoreCopy(settings *Settings, log DecisionLog, peers spread.PeerPicker, clocks *peerclock.Core, random func() float64) *storeCopy {
	c := &storeCopy{
		log: log, records: spread.New(settings.Spread, peers, clocks), reader: follow.New(settings.Follow, random),
		listedKeys: map[string]bool{}, pendingEvacuationEnds: map[string]time.Duration{},
	}
	c.configure(settings)
	return c
}

func (c *storeCopy) configure(settings *Settings) {
	c.propagation, c.keepDoubtfulFor = settings.StoreCopy.Propagation, settings.StoreCopy.KeepDoubtfulFor
}

// neverConfirmed is the age of a copy of the store that was never known to be complete.
const neverConfirmed clock.Ms = -1

// age returns the time since the copy was last confirmed to be complete, by the store itself or by another node.
func (c *storeCopy) age(now time.Duration) clock.Ms {
	if age, known := c.records.CopyAge(now); known {
		return age
	}
	return neverConfirmed
}

// CopyStatus describes the node's copy of the store at one moment.
type CopyStatus struct {
	spread.Copy
	// Age is the time since the copy was last known to be complete, or neverConfirmed.
	Age clock.Ms
}

// status describes the copy.
func (c *storeCopy) status(now time.Duration) CopyStatus {
	return CopyStatus{Copy: c.records.Copy(now), Age: c.age(now)}
}

// copyStatus describes the copy of the store now.
func (g *Gateway) copyStatus() *CopyStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	status := g.storeCopy.status(g.now())
	return &status
}

// stale reports whether the copy was not confirmed within StaleAfter, or never.
func (c *storeCopy) stale(now time.Duration) bool {
	return !c.records.ConfirmedWithin(now, c.propagation.StaleAfter)
}

// untilStale returns the time until the copy is stale if it is not confirmed before.
func (c *storeCopy) untilStale(now time.Duration) clock.Ms {
	return c.propagation.StaleAfter - c.age(now) + 1
}

// state returns the state of the copy, by which the next call to the store is decided.
func (c *storeCopy) state(now time.Duration) follow.CopyState {
	return follow.CopyState{Stale: c.stale(now), PeersSilent: !c.records.PeersConfirmedWithin(now, c.propagation.StaleAfter)}
}

// logStaleness logs when the copy becomes stale, and when it is confirmed again.
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
	// doubtMargin is the part of the bound that is left for requests in flight when a doubtful state ends, and for the
	// poll that ends it.
	doubtMargin = 300 * clock.Ms(1)
	// If at least massDeletionMinimum back ends, and more than one in massDeletionDivisor of the known ones, disappear in
	// one call, that is taken for a fault of the store and not for back ends that leave.
	massDeletionDivisor = 3
	massDeletionMinimum = 4
)

// isMassDeletion reports whether too many of the known back ends have disappeared at once for all of them to have left.
func isMassDeletion(deleted, known int) bool {
	return deleted >= massDeletionMinimum && deleted*massDeletionDivisor > known
}

// doubtUntil returns the moment until which back ends are still used whose entries have just been found deleted. deleted is
// the number of these back ends, and known that of all known ones. The moment is now if the deletion proves that the back
// ends leave. age is the age of the copy before the call that returned the deletion, because an entry may have been deleted
// right after that confirmation. If the store was available all the time, a back end that leaves still runs for the usual
// time after the deletion of its entry. Its doubtful state ends within that time.
func (c *storeCopy) doubtUntil(now time.Duration, age clock.Ms, deleted, known int) time.Duration {
	longest := now + c.keepDoubtfulFor
	if c.keepDoubtfulFor > 0 {
		longest = max(longest, now+c.records.RewriteRemaining(now).Duration())
	}
	switch {
	case !c.records.DeletionsReliable(now):
		return longest
	case isMassDeletion(deleted, known):
		return min(longest, now+(c.propagation.Bound-age-doubtMargin).Duration())
	}
	return now
}

// enterRestoredEra reports whether the store was restored since the last call, and returns its era.
func (c *storeCopy) enterRestoredEra() (era uint64, entered bool) {
	era, restored := c.records.Era()
	if !restored || era == c.restoredEra {
		return era, false
	}
	c.restoredEra = era
	return era, true
}

// logRegression logs that the store reported another era than was known, or an earlier revision of the same era.
func (c *storeCopy) logRegression(known, reported history.Revision) {
	if !known.Unknown() && (reported.Era != known.Era || reported.Before(known)) {
		c.log.StoreRegressed(known, reported)
	}
}

// logOutdated logs records of the store that are older than the known records of the same keys.
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

// setConfiguration records which configuration is in force.
func (c *storeCopy) setConfiguration(record message.StoreRecord, version uint64) {
	c.configuration, c.rejected = record, message.StoreRecord{}
	c.records.SetConfiguration(version)
}

// retainConfiguration makes this node send the configuration in force to other nodes for as long as lost holds, that is
// while a restored store has an older configuration or none.
func (c *storeCopy) retainConfiguration(key string, lost bool) {
	if lost {
		c.records.Retain(c.configuration)
		return
	}
	c.records.StopRetaining(key)
}

// delayEvacuationEnd reports whether the end of an evacuation must wait although the store does not list the evacuation. A
// restored store may have lost it, and the evacuation would then be written again.
func (c *storeCopy) delayEvacuationEnd(now time.Duration, key string) bool {
	if remaining := c.records.RewriteRemaining(now); remaining > 0 {
		c.pendingEvacuationEnds[key] = now + remaining.Duration()
		return true
	}
	delete(c.pendingEvacuationEnds, key)
	return false
}

// evacuationEndsDue returns the keys of evacuations that a restored store still does not list after that wait.
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
