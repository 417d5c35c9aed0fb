package engine

import (
	"strings"
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/platform"
	"stiletrail/internal/rollout"
)

// storeRetryDelay is the minimum wait after a failed listing of the store. Up to the same time again is added at
// random.
const storeRetryDelay = time.Second

// A listing of the store transfers about entryListBytes per service. The pause between two listings is long enough to
// keep the traffic below listBytesPerSecond.
const (
	entryListBytes     = 64
	listBytesPerSecond = 1500
)

// storeReading is the progress of a listing of the store, and what the store was last known to hold.
type storeReading struct {
	// inProgress is true while a listing that began at startedAt is not finished. The listing of the keys comes first,
	// then the reads of changed entries, whose numbers are in pending.
	inProgress bool
	startedAt  time.Duration
	pending    map[uint64]bool
	// next is when the store is listed again. keys is the number of keys in the last listing.
	next time.Duration
	keys int
	// stamps and versions are the store's stamps and the documents' versions of the entries that were read, by service.
	stamps   map[string]platform.Stamp
	versions map[string]uint64
	// behind holds, for each service of which the store has an older version than is in force, the version in the
	// store.
	behind map[string]uint64
}

func newStoreReading() storeReading {
	return storeReading{
		pending: map[uint64]bool{}, stamps: map[string]platform.Stamp{}, versions: map[string]uint64{}, behind: map[string]uint64{},
	}
}

// tickStore starts a listing of the whole store when due. Relays do so always, other nodes only until they are ready.
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

// StoreListDone handles the listing of the whole store, which has keys and stamps but no values; ok is false if it
// failed. Entries with an unknown stamp are read one by one. Once all are in force here, the catalog is known to equal
// the store as of the start of the listing.
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

// retainOnly deletes what is known of entries that are no longer in the store.
func (s *storeReading) retainOnly(listed map[string]bool) {
	for service := range s.stamps {
		if !listed[service] {
			delete(s.stamps, service)
			delete(s.versions, service)
		}
	}
}

// listedEntryRead handles the read of an entry that a listing has found to be changed.
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

// applyEntry puts a document of the store into force and records what the store holds.
func (e *Engine) applyEntry(entry platform.Entry, stored catalog.Document) {
	if stored.Service == "" {
		return
	}
	e.store.stamps[stored.Service] = entry.Stamp
	e.store.versions[stored.Service] = stored.Version
	e.merge(stored)
}

// merge puts a document into force if it is newer than the present one, and sends it on to peers.
func (e *Engine) merge(document catalog.Document) {
	if !e.catalog.Merge(document) {
		return
	}
	e.applyDocument(document)
	e.sendAll(e.gossip.Push(document.Service, ""))
}

// listFailed ends a failed listing of the store and schedules the next one.
func (e *Engine) listFailed() {
	e.store.inProgress = false
	e.Counters.StoreFailures++
	e.store.next = e.now + storeRetryDelay + time.Duration(e.random.Int64N(int64(storeRetryDelay)))
}

// finishList ends a listing of the store once all entries that it asked for are read.
func (e *Engine) finishList() {
	if !e.store.inProgress || len(e.store.pending) > 0 {
		return
	}
	e.store.inProgress = false
	pause := time.Duration(entryListBytes*e.store.keys) * time.Second / listBytesPerSecond
	e.store.next = e.now + max(e.settings.StoreInterval, pause)
	e.compareStore()
	e.gossip.RecordStoreRead(e.store.startedAt)
}

// compareStore determines the services of which the store holds an older version than is in force. Alarms reports them.
func (e *Engine) compareStore() {
	clear(e.store.behind)
	for _, service := range e.catalog.Services() {
		if stored := e.store.versions[service]; stored < e.catalog.Version(service) {
			e.store.behind[service] = stored
		}
	}
}

// StoreChanged handles a changed entry that a watch of the store has reported.
func (e *Engine) StoreChanged(now time.Duration, entry platform.Entry) Output {
	e.beginCall(now)
	if document, err := catalog.Decode(entry.Value); err == nil {
		e.applyEntry(entry, document)
	}
	return e.endCall()
}
