package engine

import (
	"strings"
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/platform"
	"stiletrail/internal/rollout"
)

// storeRetryDelay is the wait after a failed reading of the store, spread by as much again at random.
const storeRetryDelay = time.Second

// A reading of the store costs about entryListBytes a service, and pauses between readings keep it under listBytesPerSecond.
const (
	entryListBytes     = 64
	listBytesPerSecond = 1500
)

// storeReading is how far a node has read the store, and what it was last known to hold.
type storeReading struct {
	// inProgress since startedAt: the keys were asked for, or the entries in pending, by the numbers of their reads.
	inProgress  bool
	startedAt time.Duration
	pending   map[uint64]bool
	// next is when the store is read again; keys is how many it had.
	next time.Duration
	keys int
	// stamps and versions are those of the entries that were read, by service.
	stamps   map[string]platform.Stamp
	versions map[string]uint64
	// behind are the versions of services of which the store holds an older one than is in force.
	behind map[string]uint64
}

func newStoreReading() storeReading {
	return storeReading{
		pending: map[uint64]bool{}, stamps: map[string]platform.Stamp{}, versions: map[string]uint64{}, behind: map[string]uint64{},
	}
}

// tickStore compares with the whole store when due: relays always, others only until they are ready.
func (e *Engine) tickStore() {
	if e.store.inProgress || e.now < e.store.next || e.leaving {
		return
	}
	joining := !e.gossip.Ready() && e.now-e.startedAt >= e.settings.JoinWait
	if !e.relay && !joining {
		return
	}
	e.store.inProgress = true
	e.store.startedAt = e.now
	e.output.StoreLists++
}

// StoreListDone takes in the keys and stamps of the whole store, without values; ok is false where it was not read. The entries
// that are not known are read one by one; once all are in force here, the catalog is known equal to the store as it was when it
// was asked.
func (e *Engine) StoreListDone(now time.Duration, entries []platform.Entry, ok bool) Output {
	e.beginCall(now)
	if !ok {
		e.listFailed()
		return e.endCall()
	}
	clear(e.store.pending)
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		service := strings.TrimPrefix(entry.Key, platform.ServicePrefix)
		listed[service] = true
		if e.store.stamps[service] != entry.Stamp {
			operation := e.nextNumber()
			e.store.pending[operation] = true
			e.output.StoreReads = append(e.output.StoreReads, StoreRead{Operation: operation, Service: service})
		}
	}
	e.store.retainOnly(listed)
	e.store.keys = len(entries)
	e.finishList()
	return e.endCall()
}

// retainOnly forgets the entries that the store does not have any more.
func (s *storeReading) retainOnly(listed map[string]bool) {
	for service := range s.stamps {
		if !listed[service] {
			delete(s.stamps, service)
			delete(s.versions, service)
		}
	}
}

// listedEntryRead takes in an entry that a reading of the store asked for.
func (e *Engine) listedEntryRead(operation uint64, outcome rollout.Outcome, entry platform.Entry, stored catalog.Document) {
	delete(e.store.pending, operation)
	if outcome != rollout.Done {
		clear(e.store.pending)
		e.listFailed()
		return
	}
	e.applyEntry(entry, stored)
	e.finishList()
}

// applyEntry takes a document of the store into force and remembers what the store holds.
func (e *Engine) applyEntry(entry platform.Entry, stored catalog.Document) {
	if stored.Service == "" {
		return
	}
	e.store.stamps[stored.Service] = entry.Stamp
	e.store.versions[stored.Service] = stored.Version
	e.merge(stored)
}

// merge takes a document into force if it is newer, and pushes it on.
func (e *Engine) merge(document catalog.Document) {
	if !e.catalog.Merge(document) {
		return
	}
	e.applyDocument(document)
	e.sendAll(e.gossip.Push(document.Service, ""))
}

// listFailed gives a reading of the store up until later.
func (e *Engine) listFailed() {
	e.store.inProgress = false
	e.Counters.StoreFailures++
	e.store.next = e.now + storeRetryDelay + time.Duration(e.random.Int64N(int64(storeRetryDelay)))
}

// finishList ends a reading of the store once all its entries are in.
func (e *Engine) finishList() {
	if !e.store.inProgress || len(e.store.pending) > 0 {
		return
	}
	e.store.inProgress = false
	pause := time.Duration(entryListBytes*e.store.keys) * time.Second / listBytesPerSecond
	e.store.next = e.now + max(e.settings.StoreInterval, pause)
	e.compareStore()
	e.gossip.Refreshed(e.store.startedAt)
}

// compareStore raises an alarm for each service of which the store holds an older version than is in force.
func (e *Engine) compareStore() {
	clear(e.store.behind)
	for _, service := range e.catalog.Services() {
		if stored := e.store.versions[service]; stored < e.catalog.Version(service) {
			e.store.behind[service] = stored
		}
	}
}

// StoreChanged takes in an event of a watch.
func (e *Engine) StoreChanged(now time.Duration, entry platform.Entry) Output {
	e.beginCall(now)
	if document, err := catalog.Decode(entry.Value); err == nil {
		e.applyEntry(entry, document)
	}
	return e.endCall()
}
