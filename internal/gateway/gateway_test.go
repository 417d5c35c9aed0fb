package gateway_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"stiletrail/internal/failure"
	"stiletrail/internal/forward"
	"stiletrail/internal/gateway"
	"stiletrail/internal/routing"
	"stiletrail/internal/settings"
)

// TestWatchWithoutEvents guards against a node that relies on its watch alone: the watch delivers nothing, the store
// drops its history, and the change must still be in force within three seconds.
func TestWatchWithoutEvents(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		time.Sleep(20 * time.Second)
		s.store.update(func(s *fakeStore) { s.suppressEvents = true })
		time.Sleep(100 * time.Millisecond)
		s.store.put(configuration(2))
		s.store.update(func(s *fakeStore) { s.compacted, s.history = s.revision, nil })
		time.Sleep(500 * time.Millisecond)
		s.store.update(func(s *fakeStore) { s.suppressEvents = false })
		time.Sleep(2500 * time.Millisecond)
		if version := s.gateway.Version(); version != 2 {
			t.Errorf("version %d is in force after 3 s, want 2", version)
		}
	})
}

// TestStoreDownForHours checks that the known configuration stays in force during a long outage, and that changes are
// applied soon after the store is back.
func TestStoreDownForHours(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		s.store.update(func(s *fakeStore) { s.err = errUnavailable })
		time.Sleep(5 * time.Hour)
		if result := s.search(); result.Failure != nil || result.MissingShards != 0 {
			t.Errorf("a request during the outage was not served whole: answered %+v", result.Answer)
		}
		s.store.update(func(s *fakeStore) { s.err = nil })
		s.store.put(configuration(2))
		time.Sleep(2 * time.Second)
		if version := s.gateway.Version(); version != 2 {
			t.Errorf("version %d is in force 2 s after the store is back, want 2", version)
		}
	})
}

// TestStoreCallsPerHour bounds the store calls of a node without peers: at most one call in 1.2 s while nothing
// changes. With one call in 2.5 s, as it was before, a draining back end got requests for up to four seconds if the
// connection to the store had stalled; three seconds are allowed.
func TestStoreCallsPerHour(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		time.Sleep(time.Hour)
		if maximumCalls := int(time.Hour/(1215*time.Millisecond)) + 10; s.store.callCount() > maximumCalls {
			t.Errorf("%d store calls in an hour, at most %d were expected", s.store.callCount(), maximumCalls)
		}
	})
}

// TestExpiredEntries guards against refused requests after a store outage in which entries of back ends expired.
// Entries that come back soon after cost no request. Entries that do not come back are dropped before a drain would
// be over.
func TestExpiredEntries(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		time.Sleep(10 * time.Second)
		s.store.update(func(s *fakeStore) { s.err = errUnavailable })
		time.Sleep(4 * time.Second)
		for i := range shards {
			removed := backEnd(fmt.Sprint("s", i), "-near", "zone")
			s.store.put(gateway.Item{Key: removed.Key, Deleted: true})
			removed = backEnd(fmt.Sprint("s", i), "-far", "other")
			s.store.put(gateway.Item{Key: removed.Key, Deleted: true})
		}
		s.store.put(configuration(2))
		s.store.update(func(s *fakeStore) { s.err = nil })
		recoveredAt := time.Now()
		for s.gateway.Version() != 2 {
			time.Sleep(10 * time.Millisecond)
		}
		// The node has learned that all entries are deleted.
		if result := s.search(); result.Failure != nil {
			t.Errorf("a request was refused %v after the outage: %v", time.Since(recoveredAt), result.Failure)
		}
		time.Sleep(1200*time.Millisecond - time.Since(recoveredAt))
		if result := s.search(); result.Failure != nil {
			t.Errorf("a request was refused 1.2 s after the outage: %v", result.Failure)
		}
		s.store.put(backEnd("s0", "-near", "zone"))
		time.Sleep(2800 * time.Millisecond)
		if known := s.gateway.BackEndsKnown(); known != 1 {
			t.Errorf("%d back ends are known 4 s after the outage, want the one that came back", known)
		}
	})
}

// TestRemovedBackEndDrainsFast checks that a back end whose entry is deleted, while the store is available, gets no
// request a second later.
func TestRemovedBackEndDrainsFast(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		time.Sleep(10 * time.Second)
		s.store.put(gateway.Item{Key: "back ends/s0-near", Deleted: true})
		time.Sleep(time.Second)
		s.search()
		for _, request := range s.backEnds.sentRequests() {
			if request.Entry.ID == "s0-near" {
				t.Error("the back end whose entry was deleted got a request")
			}
		}
	})
}

// TestPausedReplica checks that an answer meets its target latency although a replica does not answer, once the hedge
// budget allows an extra attempt.
func TestPausedReplica(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		for range 20 {
			s.search()
		}
		s.backEnds.setHandler(answerExcept(answerAfter(time.Hour), "s1-near"))
		result := s.search()
		if result.MissingShards != 0 || result.Elapsed > 100*time.Millisecond {
			t.Errorf("answered with %d missing shards after %v, want none within 100 ms", result.MissingShards, result.Elapsed)
		}
	})
}

// TestShardLost checks that, when no replica of a shard answers, the answer comes at the target latency without that
// shard and reports it as missing.
func TestShardLost(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		s.backEnds.setHandler(answerExcept(answerAfter(time.Hour), "s1-near", "s1-far"))
		result := s.search()
		if result.Failure != nil || result.MissingShards != 1 || result.Elapsed > 250*time.Millisecond {
			t.Errorf("answered with %d missing shards after %v, want one within 250 ms: %v", result.MissingShards, result.Elapsed, result.Failure)
		}
	})
}

// TestRouteTimeout checks that the final answer comes at the route's timeout when no back end answers.
func TestRouteTimeout(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		s.backEnds.setHandler(answerAfter(time.Hour))
		result := s.search()
		if result.Failure == nil || result.Failure.NotRun || result.Elapsed < 3900*time.Millisecond || result.Elapsed > 4100*time.Millisecond {
			t.Errorf("answered %v after %v, want an unknown outcome after 4 s", result.Failure, result.Elapsed)
		}
	})
}

// TestReloadKeepsRequestsInFlight checks that a request keeps the routing table that it began with.
func TestReloadKeepsRequestsInFlight(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		s.backEnds.setHandler(answerAfter(2 * time.Second))
		results := make(chan gateway.Result, 1)
		go func() { results <- s.search() }()
		time.Sleep(100 * time.Millisecond)
		s.store.put(configurationItem(&routing.Configuration{Version: 5}))
		time.Sleep(time.Second)
		if result := s.search(); result.Failure == nil || result.Failure.Code != failure.UnknownService {
			t.Errorf("the new table is not in force: %+v", result.Answer)
		}
		if result := <-results; result.Failure != nil || result.Version != 1 {
			t.Errorf("the request in flight ended with %+v, want an answer by version 1", result.Answer)
		}
	})
}

// TestFinishInFlight checks that, at the end of a planned shutdown, each request in flight is answered at once.
func TestFinishInFlight(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		s.backEnds.setHandler(answerAfter(time.Hour))
		results := make(chan gateway.Result, 1)
		go func() { results <- s.search() }()
		time.Sleep(time.Second)
		s.gateway.Leave(time.Hour)
		s.gateway.FinishInFlight()
		if result := <-results; result.Failure == nil || result.Failure.NotRun || result.Reason != forward.GivenUp {
			t.Errorf("want the reason given up and an unknown outcome: answered %+v", result.Answer)
		}
		if s.gateway.Ready() {
			t.Error("the gateway reports that it is ready while it shuts down")
		}
	})
}

// TestUnusedAttemptsAreCancelled checks that attempts whose answers are no longer needed are cancelled when the
// request is answered, and at once when the caller disconnects.
func TestUnusedAttemptsAreCancelled(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		var cancelledAfter atomic.Int64
		var startedAt atomic.Value
		startedAt.Store(time.Now())
		s.backEnds.setHandler(answerExcept(func(ctx context.Context, _ gateway.BackEndRequest) forward.Outcome {
			<-ctx.Done()
			cancelledAfter.Store(int64(time.Since(startedAt.Load().(time.Time))))
			return forward.Outcome{Kind: forward.Lost}
		}, "s1-near", "s1-far"))
		result := s.search()
		time.Sleep(time.Second)
		if time.Duration(cancelledAfter.Load()) > result.Elapsed+10*time.Millisecond {
			t.Errorf("the request was answered after %v, its unused attempts were cancelled after %v", result.Elapsed, time.Duration(cancelledAfter.Load()))
		}
		ctx, cancel := context.WithCancel(context.Background())
		go s.gateway.Serve(ctx, &gateway.Call{ID: "id", Host: "h", Path: "/all/x"})
		time.Sleep(30 * time.Millisecond)
		startedAt.Store(time.Now())
		cancel()
		time.Sleep(time.Second)
		if time.Duration(cancelledAfter.Load()) > 10*time.Millisecond {
			t.Errorf("attempts were cancelled %v after the caller disconnected, want at once", time.Duration(cancelledAfter.Load()))
		}
	})
}

// TestNotReady checks that, without a configuration, a request is refused as not run rather than answered as unknown.
func TestNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		g := gateway.New(gateway.FromSettings(settings.DefaultGateway()), &fakeBackEnds{}, store, discardLog{})
		result := g.Serve(context.Background(), &gateway.Call{ID: "id", Host: "h", Path: "/all/x"})
		if result.Failure == nil || !result.Failure.NotRun || result.Failure.RetryAfter == 0 || g.Ready() {
			t.Errorf("want a refusal as not run, with a retry time, from a gateway that is not ready: answered %+v, ready %v", result.Failure, g.Ready())
		}
	})
}

// TestFirstListing checks that a request that arrives while the node starts is not refused: it waits for the first
// listing of the store, and for back ends that the listing lacks. It waits no longer than the setting, nor than a
// share of its caller's time.
func TestFirstListing(t *testing.T) {
	for name, c := range map[string]struct {
		// listing is when the store is first read. entries is when the back ends register in the store, both counted
		// from the start.
		listing, entries time.Duration
		// deadline is the time that the caller allows, 0 for no limit.
		deadline time.Duration
		// refused is after how long the request is refused, 0 if it is served.
		refused time.Duration
	}{
		"listing comes soon":                                  {listing: 50 * time.Millisecond},
		"listing comes when the store is back":                {listing: 1900 * time.Millisecond, deadline: 5 * time.Second},
		"listing comes too late":                              {listing: 4 * time.Second, refused: 2 * time.Second},
		"listing comes too late for the caller":               {listing: 400 * time.Millisecond, deadline: 500 * time.Millisecond, refused: 200 * time.Millisecond},
		"back ends register again":                            {listing: 50 * time.Millisecond, entries: 1200 * time.Millisecond, deadline: 4 * time.Second},
		"back ends do not register again":                     {listing: 50 * time.Millisecond, entries: time.Minute, refused: 2 * time.Second},
		"back ends register too late for the caller":          {listing: 50 * time.Millisecond, entries: time.Second, deadline: time.Second, refused: 400 * time.Millisecond},
		"last back ends register two seconds after the start": {listing: 100 * time.Millisecond, entries: 1700 * time.Millisecond},
		"late listing, and back ends register before it":      {listing: 700 * time.Millisecond, entries: 400 * time.Millisecond, deadline: 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkFirstRequest(t, c.listing, c.entries, c.deadline, c.refused) })
		})
	}
}

// checkFirstRequest sends a request to a node that has just started. It checks that the request is served, or refused
// as not run at the expected time.
func checkFirstRequest(t *testing.T, listing, entries, deadline, refused time.Duration) {
	store := newStore()
	store.put(configuration(1))
	loaded := settings.DefaultGateway()
	loaded.Zone = "zone"
	loaded.StartingHold = 2 * time.Second
	g := gateway.New(gateway.FromSettings(loaded), &fakeBackEnds{handler: answerAfter(10 * time.Millisecond)}, store, discardLog{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	time.AfterFunc(listing, func() { g.Run(ctx) })
	time.AfterFunc(entries, func() {
		for i := range shards {
			store.put(backEnd(fmt.Sprint("s", i), "-1", "zone"))
		}
	})
	call := &gateway.Call{ID: "id", Host: "h", Path: "/all/x"}
	if deadline > 0 {
		call.Deadline = time.Now().Add(deadline)
	}
	result := g.Serve(context.Background(), call)
	switch {
	case refused == 0 && result.Failure != nil:
		t.Errorf("refused with %+v after %v, want an answer", result.Failure, result.Elapsed)
	case refused > 0 && result.Failure == nil:
		t.Errorf("served after %v, want a refusal", result.Elapsed)
	case refused > 0 && (!result.Failure.NotRun || result.Failure.RetryAfter == 0 || result.Elapsed < refused || result.Elapsed > refused+50*time.Millisecond):
		t.Errorf("refused with %+v after %v, want a refusal as not run with a retry time after %v", result.Failure, result.Elapsed, refused)
	}
	cancel()
	time.Sleep(5 * time.Second)
}

// TestPanicInAttempt checks that a panic within an attempt ends that attempt only, not the process.
func TestPanicInAttempt(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		s.backEnds.setHandler(answerExcept(func(context.Context, gateway.BackEndRequest) forward.Outcome { panic("panic in a test") }, "s1-near", "s1-far"))
		if result := s.search(); result.Failure != nil || result.MissingShards != 1 {
			t.Errorf("want an answer with one missing shard: answered %+v", result.Answer)
		}
	})
}
