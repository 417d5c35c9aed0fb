package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/failure"
	"stiletrail/internal/follow"
	"stiletrail/internal/forward"
	"stiletrail/internal/gateway"
	"stiletrail/internal/history"
	"stiletrail/internal/message"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/replica"
	"stiletrail/internal/routing"
	"stiletrail/internal/settings"
	"stiletrail/internal/sharedhealth"
)

// fakeStore is an in-memory store. Its watches wait on the virtual clock.
type fakeStore struct {
	// padding is the number of bytes by which each value is enlarged.
	padding int
	mutex   sync.Mutex
	items   map[string]message.StoreRecord
	history []message.StoreRecord
	// decoded maps each value to the item that it encodes.
	decoded   map[string]gateway.Item
	revision  uint64
	compacted uint64
	// era increases when the store is restored from a backup. written is what the operator and the back ends last
	// wrote of each key, whether or not a restore lost it.
	era     uint64
	written map[string]message.StoreRecord
	err     error
	// suppressEvents makes watches deliver nothing, so that they end only at their timeout.
	suppressEvents bool
	leases         []*fakeLease
	changed        chan struct{}
	calls          int
}

func newStore() *fakeStore {
	return &fakeStore{items: map[string]message.StoreRecord{}, decoded: map[string]gateway.Item{}, written: map[string]message.StoreRecord{}, changed: make(chan struct{}), era: 1}
}

var (
	errUnavailable = errors.New("down")
	errHistoryLost = errors.New("history lost")
)

// FailureKind implements gateway.Store.
func (s *fakeStore) FailureKind(err error) follow.FailureKind {
	if errors.Is(err, errHistoryLost) {
		return follow.HistoryLost
	}
	return follow.Unavailable
}

func (s *fakeStore) put(item gateway.Item) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	record := message.StoreRecord{Key: item.Key, Deleted: item.Deleted}
	if !item.Deleted {
		record.Value = fmt.Appendf(nil, "value %d%*s", len(s.decoded)+1, s.padding, "")
		s.decoded[string(record.Value)] = item
	}
	s.written[record.Key] = record
	s.apply(record)
}

// Decode implements gateway.Store.
func (s *fakeStore) Decode(record message.StoreRecord) gateway.Item {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	item := s.decoded[string(record.Value)]
	item.Key, item.Revision, item.Deleted = record.Key, record.Revision, record.Deleted
	if id, found := strings.CutPrefix(record.Key, "back ends/"); found {
		known, _ := item.Content.(gateway.BackEnd)
		item.Content = gateway.BackEnd{ID: id, Entry: known.Entry}
	}
	if zone, found := strings.CutPrefix(record.Key, "evacuated/"); found {
		item.Content = gateway.Evacuation{Zone: zone}
	}
	return item
}

// currentRevision is the number of the latest revision.
func (s *fakeStore) currentRevision() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.revision
}

// callCount is the number of calls so far.
func (s *fakeStore) callCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

func (s *fakeStore) update(change func(*fakeStore)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(s)
}

// Write implements gateway.Store. The record is deleted when its lease expires.
func (s *fakeStore) Write(_ context.Context, w gateway.StoreWrite) (bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	if s.err != nil {
		return false, s.err
	}
	if _, there := s.items[w.Key]; there && w.IfAbsent {
		return false, nil
	}
	s.apply(message.StoreRecord{Key: w.Key, Value: w.Value})
	lease := s.revision
	time.AfterFunc(w.Lease.Duration(), func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if s.items[w.Key].Revision.Number == lease {
			s.apply(message.StoreRecord{Key: w.Key, Deleted: true})
		}
	})
	return true, nil
}

// GrantLease implements gateway.Store.
func (s *fakeStore) GrantLease(_ context.Context, length clock.Ms) (gateway.LeaseID, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	if s.err != nil {
		return 0, s.err
	}
	granted := &fakeLease{length: length.Duration()}
	s.leases = append(s.leases, granted)
	granted.timer = time.AfterFunc(granted.length, func() { s.endLease(granted) })
	return gateway.LeaseID(len(s.leases)), nil
}

// fakeLease is a lease that can be renewed, with the keys that end with it.
type fakeLease struct {
	length time.Duration
	timer  *time.Timer
	keys   map[string]history.Revision
	ended  bool
}

func (s *fakeStore) endLease(l *fakeLease) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l.ended = true
	for key, revision := range l.keys {
		if s.items[key].Revision == revision {
			s.apply(message.StoreRecord{Key: key, Deleted: true})
		}
	}
}

// heldLease returns a lease that is not over, or nil. The caller holds the lock.
func (s *fakeStore) heldLease(lease gateway.LeaseID) *fakeLease {
	if l := s.leases[lease-1]; !l.ended {
		return l
	}
	return nil
}

// RenewLease implements gateway.Store.
func (s *fakeStore) RenewLease(_ context.Context, lease gateway.LeaseID) (bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := s.heldLease(lease)
	if s.err != nil || l == nil {
		return false, s.err
	}
	l.timer.Reset(l.length)
	return true, nil
}

// WriteLeased implements gateway.Store.
func (s *fakeStore) WriteLeased(_ context.Context, key string, value []byte, lease gateway.LeaseID) (bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	l := s.heldLease(lease)
	if s.err != nil || l == nil {
		return false, s.err
	}
	s.apply(message.StoreRecord{Key: key, Value: value})
	if l.keys == nil {
		l.keys = map[string]history.Revision{}
	}
	l.keys[key] = s.items[key].Revision
	return true, nil
}

// Remove implements gateway.Store.
func (s *fakeStore) Remove(_ context.Context, key string) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	if s.err == nil {
		s.apply(message.StoreRecord{Key: key, Deleted: true})
	}
	return s.err
}

// apply makes a change under the next revision number. The caller holds the lock.
func (s *fakeStore) apply(record message.StoreRecord) {
	s.revision++
	record.Revision = history.At(s.era, s.revision)
	if record.Deleted {
		delete(s.items, record.Key)
	} else {
		s.items[record.Key] = record
	}
	s.history = append(s.history, record)
	close(s.changed)
	s.changed = make(chan struct{})
}

// List implements gateway.Store.
func (s *fakeStore) List(context.Context, history.Revision, string) (gateway.Page, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	page := gateway.Page{Revision: history.At(s.era, s.revision)}
	for _, record := range s.items {
		page.Records = append(page.Records, record)
	}
	return page, s.err
}

// Watch implements gateway.Store.
func (s *fakeStore) Watch(ctx context.Context, revision history.Revision, wait time.Duration) ([]message.StoreRecord, history.Revision, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.update(func(s *fakeStore) { s.calls++ })
	for {
		items, at, changed, err := s.changesSince(revision)
		if err != nil || len(items) > 0 {
			return items, at, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, at, nil
		case <-ctx.Done():
			return nil, history.Revision{}, ctx.Err()
		}
	}
}

// changesSince returns the changes after a revision. A store with suppressEvents reports none.
func (s *fakeStore) changesSince(revision history.Revision) (items []message.StoreRecord, at history.Revision, changed chan struct{}, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.err != nil {
		return nil, at, nil, s.err
	}
	if s.suppressEvents {
		return nil, revision, make(chan struct{}), nil
	}
	// The store is asked for changes by the revision number alone, without the era.
	if revision.Number < s.compacted || revision.Number > s.revision {
		return nil, at, nil, errHistoryLost
	}
	for _, item := range s.history {
		if item.Revision.Number > revision.Number {
			items = append(items, item)
		}
	}
	return items, history.At(s.era, s.revision), s.changed, nil
}

// fakeBackEnds answers attempts by calling a function.
type fakeBackEnds struct {
	mutex    sync.Mutex
	requests []gateway.BackEndRequest
	handler  func(ctx context.Context, request gateway.BackEndRequest) forward.Outcome
}

// setHandler sets the function that answers attempts from now on.
func (b *fakeBackEnds) setHandler(handler func(ctx context.Context, request gateway.BackEndRequest) forward.Outcome) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.handler = handler
}

// sentRequests returns the attempts so far.
func (b *fakeBackEnds) sentRequests() []gateway.BackEndRequest {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return slices.Clone(b.requests)
}

// Prune implements gateway.BackEndClient.
func (b *fakeBackEnds) Prune(func(replica.Endpoint) bool) {}

// Exchange implements gateway.BackEndClient.
func (b *fakeBackEnds) Exchange(ctx context.Context, request gateway.BackEndRequest) forward.Outcome {
	b.mutex.Lock()
	b.requests = append(b.requests, request)
	handler := b.handler
	b.mutex.Unlock()
	return handler(ctx, request)
}

// discardLog implements gateway.DecisionLog and discards all events.
type discardLog struct{}

func (discardLog) Request(*gateway.Call, *gateway.Result)                   {}
func (discardLog) BackEndEjected(*forward.Attempt, forward.Outcome)         {}
func (discardLog) BackEndJudged(replica.Entry, sharedhealth.Change)         {}
func (discardLog) BackEndCrashed(*gateway.Call, *forward.Attempt, clock.Ms) {}
func (discardLog) VerdictChanged(quarantine.Fingerprint, quarantine.Verdict, string, clock.Ms) {
}
func (discardLog) RetrialClaimed(quarantine.Fingerprint, string)                             {}
func (discardLog) RosterNotWritten(*failure.Failure)                                         {}
func (discardLog) QuarantineNotWritten(quarantine.Fingerprint, *failure.Failure)             {}
func (discardLog) ConfigurationApplied(*routing.Table, history.Revision, gateway.CopyStatus) {}
func (discardLog) ItemRejected(*gateway.Item)                                                {}
func (discardLog) BackEndUpdated(replica.Entry, history.Revision)                            {}
func (discardLog) BackEndVanished(string, bool)                                              {}
func (discardLog) ZoneEvacuated(string, history.Revision)                                    {}
func (discardLog) ZoneEvacuationEnded(string)                                                {}
func (discardLog) StoreListed(int, history.Revision)                                         {}
func (discardLog) StoreRegressed(history.Revision, history.Revision)                         {}
func (discardLog) StoreRestored(uint64)                                                      {}
func (discardLog) OutdatedRecordsRead(string, history.Revision, history.Revision, int)       {}
func (discardLog) StoreCallFailed(follow.FailureKind, *failure.Failure, time.Duration)       {}
func (discardLog) StoreAnswered(time.Duration)                                               {}
func (discardLog) CopyStale(clock.Ms)                                                        {}
func (discardLog) MachineSuspended(clock.Ms)                                                 {}
func (discardLog) CopyFresh()                                                                {}
func (discardLog) MembersChanged(int)                                                        {}
func (discardLog) LearnedFromPeer(string, int, history.Revision)                             {}
func (discardLog) InternalError(string)                                                      {}
func (discardLog) PeerSilent(string)                                                         {}
func (discardLog) PeerMalformed(string, error)                                               {}

const shards = 4

func configuration(version uint64) gateway.Item {
	var names []string
	for i := range shards {
		names = append(names, fmt.Sprint("s", i))
	}
	return configurationItem(&routing.Configuration{Version: version, Routes: []routing.Route{
		{Name: "all", Host: "h", Prefix: "/all/", Repeatable: true, Timeout: 4 * time.Second, TargetLatency: 250 * time.Millisecond,
			MaximumAttempts: 2, Shards: names, MinimumCoverage: 0.75, MaximumRecords: 5},
		{Name: "one", Host: "h", Prefix: "/one/", Repeatable: true, Timeout: 4 * time.Second, TargetLatency: time.Second,
			MaximumAttempts: 2, Targets: []routing.Target{{Service: "s0", Weight: 1}}},
	}})
}

func configurationItem(configuration *routing.Configuration) gateway.Item {
	return gateway.Item{Key: "configuration", Content: gateway.Configuration{Configuration: configuration}}
}

// configurationOf returns the configuration of an item that has one.
func configurationOf(item gateway.Item) *routing.Configuration {
	return item.Content.(gateway.Configuration).Configuration
}

func backEndItem(entry *replica.Entry) gateway.Item {
	return gateway.Item{Key: "back ends/" + entry.ID, Content: gateway.BackEnd{ID: entry.ID, Entry: entry}}
}

func backEnd(service, suffix, zone string) gateway.Item {
	id := service + suffix
	return backEndItem(&replica.Entry{ID: id, Service: service, Address: "127.0.0.1:1", Zone: zone})
}

// fixture is a gateway with a fake store and fake back ends, on a virtual clock.
type fixture struct {
	store    *fakeStore
	backEnds *fakeBackEnds
	gateway  *gateway.Gateway
}

// withGateway runs a test on a virtual clock with a gateway that knows two replicas of each shard. One of them is in
// the gateway's own zone.
func withGateway(t *testing.T, test func(t *testing.T, s *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		s := &fixture{store: newStore(), backEnds: &fakeBackEnds{handler: answerAfter(20 * time.Millisecond)}}
		s.store.put(configuration(1))
		for i := range shards {
			s.store.put(backEnd(fmt.Sprint("s", i), "-near", "zone"))
			s.store.put(backEnd(fmt.Sprint("s", i), "-far", "other"))
		}
		loaded := settings.DefaultGateway()
		loaded.Zone = "zone"
		loaded.Regions = map[string]string{"zone": "a", "other": "b"}
		s.gateway = gateway.New(withSeed(loaded, 1), s.backEnds, s.store, discardLog{})
		ctx, cancel := context.WithCancel(context.Background())
		go s.gateway.Run(ctx)
		synctest.Wait()
		test(t, s)
		cancel()
		// Cancelled attempts end a little later.
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

// withSeed returns the gateway's settings with a fixed seed, so that each run of a test makes the same choices.
func withSeed(loaded settings.Gateway, seed uint64) gateway.Settings {
	result := gateway.FromSettings(loaded)
	result.Seed = seed
	return result
}

func answered(request gateway.BackEndRequest) forward.Outcome {
	return forward.Outcome{Kind: forward.Answered, Response: &forward.Response{Status: 200, Signature: request.Entry.ID}}
}

// answerAfter returns a handler that answers each attempt after a delay.
func answerAfter(delay time.Duration) func(context.Context, gateway.BackEndRequest) forward.Outcome {
	return func(ctx context.Context, request gateway.BackEndRequest) forward.Outcome {
		select {
		case <-time.After(delay):
			return answered(request)
		case <-ctx.Done():
			return forward.Outcome{Kind: forward.Lost}
		}
	}
}

// answerExcept returns a handler that answers attempts at the given back ends by another function.
func answerExcept(answer func(context.Context, gateway.BackEndRequest) forward.Outcome, ids ...string) func(context.Context, gateway.BackEndRequest) forward.Outcome {
	others := answerAfter(20 * time.Millisecond)
	return func(ctx context.Context, request gateway.BackEndRequest) forward.Outcome {
		for _, id := range ids {
			if request.Entry.ID == id {
				return answer(ctx, request)
			}
		}
		return others(ctx, request)
	}
}

func (s *fixture) search() gateway.Result {
	return s.gateway.Serve(context.Background(), &gateway.Call{ID: "id", Host: "h", Path: "/all/x"})
}
