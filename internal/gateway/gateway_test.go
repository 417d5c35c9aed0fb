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

// TestWatchWithoutEvents: a change that no watch tells of, in a history that is dropped, is in force within three seconds.
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
			t.Errorf("version %d is in force after 3 s", version)
		}
	})
}

// TestStoreDownForHours: what is known stays in force, and changes are taken soon after the store is back.
func TestStoreDownForHours(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		s.store.update(func(s *fakeStore) { s.err = errUnavailable })
		time.Sleep(5 * time.Hour)
		if result := s.search(); result.Failure != nil || result.MissingShards != 0 {
			t.Errorf("answered %+v", result.Answer)
		}
		s.store.update(func(s *fakeStore) { s.err = nil })
		s.store.put(configuration(2))
		time.Sleep(2 * time.Second)
		if version := s.gateway.Version(); version != 2 {
			t.Errorf("version %d is in force 2 s after the store is back", version)
		}
	})
}

// TestStoreCallsPerHour: a quiet hour costs a node that nobody tells anything no more than a call in 1.2 s. It used to be one in 2.5 s, and a back end that
// leaves got requests for up to four seconds then, where its connection to the store had fallen silent; three are allowed.
func TestStoreCallsPerHour(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		time.Sleep(time.Hour)
		if maximumCalls := int(time.Hour/(1215*time.Millisecond)) + 10; s.store.callCount() > maximumCalls {
			t.Errorf("%d calls in an hour, at most %d were expected", s.store.callCount(), maximumCalls)
		}
	})
}

// TestExpiredEntries: entries that vanish in an outage and come back soon after cost no request; those that stay away are
// forgotten before a drain would be over.
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
		// The node has learned that all entries are gone.
		if result := s.search(); result.Failure != nil {
			t.Errorf("%v after the outage: %v", time.Since(recoveredAt), result.Failure)
		}
		time.Sleep(1200*time.Millisecond - time.Since(recoveredAt))
		if result := s.search(); result.Failure != nil {
			t.Errorf("1.2 s after the outage: %v", result.Failure)
		}
		s.store.put(backEnd("s0", "-near", "zone"))
		time.Sleep(2800 * time.Millisecond)
		if known := s.gateway.BackEndsKnown(); known != 1 {
			t.Errorf("%d back ends are known 4 s after the outage, one came back", known)
		}
	})
}

// TestRemovedBackEndDrainsFast: a back end whose entry goes while the store is well gets no request a second later.
func TestRemovedBackEndDrainsFast(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		time.Sleep(10 * time.Second)
		s.store.put(gateway.Item{Key: "back ends/s0-near", Deleted: true})
		time.Sleep(time.Second)
		s.search()
		for _, send := range s.backEnds.sentRequests() {
			if send.Entry.ID == "s0-near" {
				t.Error("the back end that left was asked")
			}
		}
	})
}

// TestPausedReplica: an answer comes within its target though a replica is silent, once there is a budget for hedges.
func TestPausedReplica(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		for range 20 {
			s.search()
		}
		s.backEnds.setHandler(answerExcept(answerAfter(time.Hour), "s1-near"))
		result := s.search()
		if result.MissingShards != 0 || result.Elapsed > 100*time.Millisecond {
			t.Errorf("answered with %d missing after %v", result.MissingShards, result.Elapsed)
		}
	})
}

// TestShardLost: with all replicas of a shard silent, the answer comes at the target without that shard, and says so.
func TestShardLost(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		s.backEnds.setHandler(answerExcept(answerAfter(time.Hour), "s1-near", "s1-far"))
		result := s.search()
		if result.Failure != nil || result.MissingShards != 1 || result.Elapsed > 250*time.Millisecond {
			t.Errorf("answered with %d missing after %v: %v", result.MissingShards, result.Elapsed, result.Failure)
		}
	})
}

// TestRouteTimeout: with every back end silent, the final answer comes at the route's timeout.
func TestRouteTimeout(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		s.backEnds.setHandler(answerAfter(time.Hour))
		result := s.search()
		if result.Failure == nil || result.Failure.NotRun || result.Elapsed < 3900*time.Millisecond || result.Elapsed > 4100*time.Millisecond {
			t.Errorf("answered %v after %v", result.Failure, result.Elapsed)
		}
	})
}

// TestReloadKeepsRequestsInFlight: a request keeps the table it began with.
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
			t.Errorf("what was under way ended with %+v", result.Answer)
		}
	})
}

// TestFinishInFlight: at the end of a planned stop each request under way is answered at once.
func TestFinishInFlight(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		s.backEnds.setHandler(answerAfter(time.Hour))
		results := make(chan gateway.Result, 1)
		go func() { results <- s.search() }()
		time.Sleep(time.Second)
		s.gateway.Leave()
		s.gateway.FinishInFlight()
		if result := <-results; result.Failure == nil || result.Failure.NotRun || result.Reason != forward.GivenUp {
			t.Errorf("answered %+v", result.Answer)
		}
		if s.gateway.Ready() {
			t.Error("ready while it leaves")
		}
	})
}

// TestUnusedAttemptsAreCancelled: attempts of no more use end with the answer, and at once when the caller leaves.
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
			t.Errorf("answered after %v, withdrawn after %v", result.Elapsed, time.Duration(cancelledAfter.Load()))
		}
		ctx, cancel := context.WithCancel(context.Background())
		go s.gateway.Serve(ctx, &gateway.Call{ID: "id", Host: "h", Path: "/all/x"})
		time.Sleep(30 * time.Millisecond)
		startedAt.Store(time.Now())
		cancel()
		time.Sleep(time.Second)
		if time.Duration(cancelledAfter.Load()) > 10*time.Millisecond {
			t.Errorf("withdrawn %v after the caller left", time.Duration(cancelledAfter.Load()))
		}
	})
}

// TestNotReady: without a configuration a request is refused as not run, not as unknown.
func TestNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		g := gateway.New(gateway.FromSettings(settings.DefaultGateway()), &fakeBackEnds{}, store, discardLog{})
		result := g.Serve(context.Background(), &gateway.Call{ID: "id", Host: "h", Path: "/all/x"})
		if result.Failure == nil || !result.Failure.NotRun || result.Failure.RetryAfter == 0 || g.Ready() {
			t.Errorf("answered %+v, ready %v", result.Failure, g.Ready())
		}
	})
}

// TestFirstListing: a request that comes while the node starts waits for the first listing, and for back ends that the listing lacks, instead
// of being refused; for no longer than the setting, nor than a share of its caller's time.
func TestFirstListing(t *testing.T) {
	for name, c := range map[string]struct {
		// listing is when the store is first read, entries how much later it has back ends.
		listing, entries time.Duration
		// deadline of the caller, 0 for none.
		deadline time.Duration
		// refused is after how long the request is refused, 0 if it is served.
		refused time.Duration
	}{
		"soon":                                 {listing: 50 * time.Millisecond},
		"when the store is back":               {listing: 1900 * time.Millisecond, deadline: 5 * time.Second},
		"too late":                             {listing: 4 * time.Second, refused: 2 * time.Second},
		"too late for the caller":              {listing: 400 * time.Millisecond, deadline: 500 * time.Millisecond, refused: 200 * time.Millisecond},
		"entries come back":                    {listing: 50 * time.Millisecond, entries: 1200 * time.Millisecond, deadline: 4 * time.Second},
		"entries stay away":                    {listing: 50 * time.Millisecond, entries: time.Minute, refused: 2 * time.Second},
		"entries come too late for the caller": {listing: 50 * time.Millisecond, entries: time.Second, deadline: time.Second, refused: 400 * time.Millisecond},
		"the last entries come two seconds on": {listing: 100 * time.Millisecond, entries: 1700 * time.Millisecond},
		"both":                                 {listing: 700 * time.Millisecond, entries: 400 * time.Millisecond, deadline: 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkFirstRequest(t, c.listing, c.entries, c.deadline, c.refused) })
		})
	}
}

// checkFirstRequest sends a request to a node that has just started, and checks that it is served or refused as not run after some time.
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
		t.Errorf("refused with %+v after %v", result.Failure, result.Elapsed)
	case refused > 0 && result.Failure == nil:
		t.Errorf("served after %v", result.Elapsed)
	case refused > 0 && (!result.Failure.NotRun || result.Failure.RetryAfter == 0 || result.Elapsed < refused || result.Elapsed > refused+50*time.Millisecond):
		t.Errorf("refused with %+v after %v, want %v", result.Failure, result.Elapsed, refused)
	}
	cancel()
	time.Sleep(5 * time.Second)
}

// TestPanicInAttempt: a panic within an attempt ends that attempt and not the process.
func TestPanicInAttempt(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		s.backEnds.setHandler(answerExcept(func(context.Context, gateway.BackEndRequest) forward.Outcome { panic("a fault") }, "s1-near", "s1-far"))
		if result := s.search(); result.Failure != nil || result.MissingShards != 1 {
			t.Errorf("answered %+v", result.Answer)
		}
	})
}
