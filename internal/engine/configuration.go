package engine

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/failure"
	"stiletrail/internal/intent"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
	"stiletrail/internal/platform"
	"stiletrail/internal/rollout"
)

// storeRetry is the wait after a failed reading of the store, spread by as much again at random.
const storeRetry = time.Second

// A reading of the store costs about entryListBytes a service, and is paced to listBytesPerSecond.
const (
	entryListBytes     = 64
	listBytesPerSecond = 1500
)

// copiesWanted is how many peers are handed a document before it is reported as accepted.
const copiesWanted = 3

// sortedKeys returns the keys of a map in order, so that a seed gives one trace.
func sortedKeys[Key cmp.Ordered, Value any](m map[Key]Value) []Key {
	if len(m) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(m))
}

// rolloutRun is a confirmation under way.
type rolloutRun struct {
	caller  Caller
	rollout *rollout.Rollout
}

// Plan answers an intent with what confirming it would change. Nothing changes by planning.
func (e *Engine) Plan(wanted intent.Intent, expiresUnixSeconds int64) (intent.Plan, error) {
	if !e.serving() {
		return intent.Plan{}, failure.Refused(failure.NotReady, "the node has no trustworthy configuration yet", time.Second)
	}
	base, _ := e.catalog.Get(wanted.Service)
	return intent.NewPlan(wanted, base, expiresUnixSeconds), nil
}

// ConfirmRequest is an operator's confirmation of a plan that was checked with intent.Check.
type ConfirmRequest struct {
	Intent      intent.Intent
	BaseVersion uint64
	// Operation is the operator's id; the same one may be sent again to settle an unknown outcome.
	Operation string
}

// Confirm starts to put a plan into force.
func (e *Engine) Confirm(now time.Duration, caller Caller, request ConfirmRequest) Output {
	e.begin(now)
	service := request.Intent.Service
	if !e.Ready() {
		refusal := failure.Refused(failure.NotReady, "the node takes no changes now", time.Second)
		e.output.ConfirmAnswers = append(e.output.ConfirmAnswers, ConfirmAnswer{Caller: caller, Service: service, Result: rollout.Result{Failure: refusal}})
		return e.end()
	}
	held := func() catalog.Document {
		document, _ := e.catalog.Get(service)
		return document
	}
	started, requests := rollout.New(now, service, request.Operation, request.BaseVersion, request.Intent.Specification, request.Intent.Delete, held)
	operation := e.next()
	e.rollouts[operation] = &rolloutRun{caller: caller, rollout: started}
	e.rolled(operation, requests)
	return e.end()
}

// rolled carries out what a rollout decided.
func (e *Engine) rolled(operation uint64, requests []rollout.Request) {
	run := e.rollouts[operation]
	for _, request := range requests {
		switch {
		case request.Read:
			e.output.StoreReads = append(e.output.StoreReads, StoreRead{Operation: operation, Service: run.rollout.Service})
		case request.Write != nil:
			e.output.StoreWrites = append(e.output.StoreWrites, StoreWrite{
				Operation: operation, Base: request.Write.Base, Document: request.Write.Document,
			})
		case request.Adopt != nil:
			e.adopt(operation, *request.Adopt)
		case request.Result != nil:
			delete(e.rollouts, operation)
			e.output.ConfirmAnswers = append(e.output.ConfirmAnswers, ConfirmAnswer{Caller: run.caller, Service: run.rollout.Service, Result: *request.Result})
		}
	}
}

// adopt takes an accepted document into force and hands it to peers here and in other zones.
func (e *Engine) adopt(operation uint64, document catalog.Document) {
	e.merge(document)
	zone := e.members.Self().Zone
	alive := func(m membership.Member) bool { return m.State == membership.Alive }
	peers := e.members.Pick(1, func(m membership.Member) bool { return alive(m) && m.Zone == zone })
	peers = append(peers, e.members.Pick(copiesWanted-len(peers), func(m membership.Member) bool { return alive(m) && m.Zone != zone })...)
	for _, peer := range peers {
		rumor := e.gossip.Rumor(document.Service)
		rumor.Operation = operation
		e.send(peer, rumor)
	}
	e.rolled(operation, e.rollouts[operation].rollout.Spreading(len(peers)))
}

func (e *Engine) receiveCatalogAck(from string, m *message.CatalogAck) {
	run := e.rollouts[m.Operation]
	if run == nil {
		return
	}
	member, _ := e.members.Lookup(from)
	e.rolled(m.Operation, run.rollout.Copied(from, member.Zone))
}

func (e *Engine) tickRollouts() {
	for _, operation := range sortedKeys(e.rollouts) {
		if run := e.rollouts[operation]; run != nil {
			e.rolled(operation, run.rollout.Tick(e.now))
		}
	}
}

// StoreReadDone takes in the answer to a StoreRead.
func (e *Engine) StoreReadDone(now time.Duration, operation uint64, outcome rollout.Outcome, entry platform.Entry) Output {
	e.begin(now)
	stored, err := storedDocument(entry)
	if err != nil {
		outcome = rollout.Refused
	}
	if run := e.rollouts[operation]; run != nil {
		e.rolled(operation, run.rollout.WasRead(now, outcome, entry.Stamp, stored))
	} else if e.reading[operation] {
		e.listedEntryRead(operation, outcome, entry, stored)
	}
	return e.end()
}

// storedDocument reads the document of an entry; an absent entry is the zero document.
func storedDocument(entry platform.Entry) (catalog.Document, error) {
	if entry.Version == 0 {
		return catalog.Document{}, nil
	}
	return catalog.Decode(entry.Value)
}

// StoreWriteDone takes in the answer to a StoreWrite.
func (e *Engine) StoreWriteDone(now time.Duration, operation uint64, outcome rollout.Outcome, swapped bool) Output {
	e.begin(now)
	if run := e.rollouts[operation]; run != nil {
		e.rolled(operation, run.rollout.WasWritten(now, outcome, swapped))
	}
	return e.end()
}

// merge takes a document into force if it is newer, and pushes it on.
func (e *Engine) merge(document catalog.Document) {
	if !e.catalog.Merge(document) {
		return
	}
	e.documentArrived(document)
	e.sendAll(e.gossip.Push(document.Service, ""))
}

// tickStore compares with the whole store when due: relays always, others only until they are ready.
func (e *Engine) tickStore() {
	if e.listing || e.now < e.nextList || e.leaving {
		return
	}
	joining := !e.gossip.Ready() && e.now-e.startedAt >= e.settings.JoinWait
	if !e.relay && !joining {
		return
	}
	e.listing = true
	e.listedAt = e.now
	e.Counters.StoreLists++
	e.output.StoreLists++
}

// StoreListed takes in the keys and stamps of the whole store. The entries that are not known are read one by one;
// once all are in force here, the catalog is known equal to the store as it was when it was asked.
func (e *Engine) StoreListed(now time.Duration, entries []platform.Entry, ok bool) Output {
	e.begin(now)
	if !ok {
		e.listFailed()
		return e.end()
	}
	clear(e.reading)
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		service := strings.TrimPrefix(entry.Key, platform.ServicePrefix)
		listed[service] = true
		if e.entryStamps[service] != entry.Stamp {
			operation := e.next()
			e.reading[operation] = true
			e.output.StoreReads = append(e.output.StoreReads, StoreRead{Operation: operation, Service: service})
		}
	}
	for service := range e.entryStamps {
		if !listed[service] {
			delete(e.entryStamps, service)
			delete(e.storedVersions, service)
		}
	}
	e.listBytes = entryListBytes * len(entries)
	e.finishList()
	return e.end()
}

// listedEntryRead takes in an entry that a reading of the store asked for.
func (e *Engine) listedEntryRead(operation uint64, outcome rollout.Outcome, entry platform.Entry, stored catalog.Document) {
	delete(e.reading, operation)
	if outcome != rollout.Done {
		clear(e.reading)
		e.listFailed()
		return
	}
	e.takeEntry(entry, stored)
	e.finishList()
}

// takeEntry takes a document of the store into force and remembers what the store holds.
func (e *Engine) takeEntry(entry platform.Entry, stored catalog.Document) {
	if stored.Service == "" {
		return
	}
	e.entryStamps[stored.Service] = entry.Stamp
	e.storedVersions[stored.Service] = stored.Version
	e.merge(stored)
}

func (e *Engine) listFailed() {
	e.listing = false
	e.Counters.StoreFailed++
	e.nextList = e.now + storeRetry + time.Duration(e.random.Int64N(int64(storeRetry)))
}

// finishList ends a reading of the store once all its entries are in.
func (e *Engine) finishList() {
	if !e.listing || len(e.reading) > 0 {
		return
	}
	e.listing = false
	pace := time.Duration(e.listBytes) * time.Second / listBytesPerSecond
	e.nextList = e.now + max(e.settings.StoreInterval, pace)
	e.compareStore()
	e.gossip.Refreshed(e.listedAt)
}

// compareStore raises an alarm for each service of which the store holds an older version than is in force.
func (e *Engine) compareStore() {
	clear(e.storeLags)
	for _, service := range e.catalog.Services() {
		if stored := e.storedVersions[service]; stored < e.catalog.Version(service) {
			e.storeLags[service] = stored
		}
	}
}

// StoreChanged takes in an event of a watch.
func (e *Engine) StoreChanged(now time.Duration, entry platform.Entry) Output {
	e.begin(now)
	if document, err := catalog.Decode(entry.Value); err == nil {
		e.takeEntry(entry, document)
	}
	return e.end()
}
