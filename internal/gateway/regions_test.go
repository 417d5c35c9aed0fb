package gateway_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"stiletrail/internal/failure"
	"stiletrail/internal/forward"
	"stiletrail/internal/gateway"
	"stiletrail/internal/region"
	"stiletrail/internal/routing"
)

// restrictedConfiguration is a configuration whose routes may be served in some regions only.
func restrictedConfiguration(version uint64, regions ...string) gateway.Item {
	item := configuration(version)
	for i := range configurationOf(item).Routes {
		configurationOf(item).Routes[i].Regions = region.NewSet(regions...)
	}
	return item
}

// countOutsideZone counts the attempts at back ends in zones that do not count as allowed.
func countOutsideZone(sends []gateway.BackEndRequest, allowed string) (count int) {
	for _, send := range sends {
		if send.Entry.Zone != allowed {
			count++
		}
	}
	return count
}

// refuse has an attempt refused.
func refuse(context.Context, gateway.BackEndRequest) forward.Outcome {
	return forward.Outcome{Kind: forward.Refused}
}

// outcomeAfter ends each attempt with an outcome after some time.
func outcomeAfter(outcomeOf func(gateway.BackEndRequest) forward.Outcome, delay time.Duration) func(context.Context, gateway.BackEndRequest) forward.Outcome {
	return func(ctx context.Context, send gateway.BackEndRequest) forward.Outcome {
		select {
		case <-time.After(delay):
			return outcomeOf(send)
		case <-ctx.Done():
			return forward.Outcome{Kind: forward.Lost}
		}
	}
}

// requestOne serves a request to a single back end.
func (s *fixture) requestOne() gateway.Result {
	return s.gateway.Serve(context.Background(), &gateway.Call{ID: "id", Host: "h", Path: "/one/x", Deadline: time.Now().Add(4 * time.Second)})
}

// TestRequestsStayInAllowedRegions: first attempts, hedges and retries of a route that is bound to the other region go there only, though the near
// back ends are sound, and though those allowed are slow, refuse, lose answers or end.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	behaviours := map[string]func(gateway.BackEndRequest) forward.Outcome{
		"sound":  answered,
		"refuse": func(gateway.BackEndRequest) forward.Outcome { return forward.Outcome{Kind: forward.Refused} },
		"lose":   func(gateway.BackEndRequest) forward.Outcome { return forward.Outcome{Kind: forward.Lost} },
		"end": func(gateway.BackEndRequest) forward.Outcome {
			return forward.Outcome{Kind: forward.Lost, BackEndCrashed: true}
		},
	}
	for name, behaviour := range behaviours {
		t.Run(name, func(t *testing.T) {
			withGateway(t, func(t *testing.T, s *fixture) {
				s.store.put(restrictedConfiguration(2, "b"))
				for i := range shards {
					s.store.put(backEnd(fmt.Sprint("s", i), "-far-2", "other"))
				}
				time.Sleep(2 * time.Second)
				s.backEnds.setHandler(outcomeAfter(behaviour, 150*time.Millisecond))
				for range 20 {
					s.search()
					s.requestOne()
				}
				sends := s.backEnds.sentRequests()
				if count := countOutsideZone(sends, "other"); count > 0 || len(sends) < 20 {
					t.Errorf("%d of %d attempts left their region", count, len(sends))
				}
			})
		})
	}
}

// TestNoBackEndInAllowedRegions: where no region that a request may be served in has a back end, it is refused at once as not run, with a time to come back.
func TestNoBackEndInAllowedRegions(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		for i := range shards {
			s.store.put(gateway.Item{Key: fmt.Sprint("back ends/s", i, "-far"), Deleted: true})
		}
		s.store.put(restrictedConfiguration(2, "b"))
		time.Sleep(6 * time.Second)
		for _, result := range []gateway.Result{s.search(), s.requestOne()} {
			if result.Failure == nil || !result.Failure.NotRun || result.Failure.RetryAfter == 0 || result.Elapsed > 10*time.Millisecond {
				t.Errorf("answered %+v after %v", result.Answer, result.Elapsed)
			}
		}
		if sends := s.backEnds.sentRequests(); len(sends) > 0 {
			t.Errorf("%d attempts were sent", len(sends))
		}
	})
}

// TestUnknownRegionIsRejected: a configuration that names a region nobody knows is not put in force; the last good one stays.
func TestUnknownRegionIsRejected(t *testing.T) {
	table, err := routing.Compile(*configurationOf(restrictedConfiguration(2, "nowhere")))
	if err != nil {
		t.Fatal(err)
	}
	known := func(name string) bool { return name == "a" || name == "b" }
	if err := table.CheckRegions(known); failure.CodeOf(err) != failure.InvalidArgument {
		t.Errorf("checked with %v", err)
	}
	withGateway(t, func(t *testing.T, s *fixture) {
		s.store.put(restrictedConfiguration(2, "a", "nowhere"))
		time.Sleep(2 * time.Second)
		if version := s.gateway.Version(); version != 1 {
			t.Errorf("version %d is in force", version)
		}
		s.store.put(restrictedConfiguration(3, "a", "b"))
		time.Sleep(2 * time.Second)
		if version := s.gateway.Version(); version != 3 {
			t.Errorf("version %d is in force", version)
		}
	})
}

// TestRequestKeepsRegionsOfItsVersion: a request under way keeps the regions of the version that it began with, also for what it sends later; the next
// requestOne has the new ones.
func TestRequestKeepsRegionsOfItsVersion(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		s.store.put(restrictedConfiguration(2, "a"))
		time.Sleep(2 * time.Second)
		s.backEnds.setHandler(outcomeAfter(func(gateway.BackEndRequest) forward.Outcome { return forward.Outcome{Kind: forward.Refused} }, 20*time.Millisecond))
		results := make(chan gateway.Result, 1)
		go func() { results <- s.requestOne() }()
		time.Sleep(30 * time.Millisecond)
		s.store.put(restrictedConfiguration(3, "b"))
		<-results
		if count := countOutsideZone(s.backEnds.sentRequests(), "zone"); count > 0 {
			t.Errorf("%d attempts went by a later version", count)
		}
		before := len(s.backEnds.sentRequests())
		time.Sleep(2 * time.Second)
		s.backEnds.setHandler(answerAfter(20 * time.Millisecond))
		s.requestOne()
		if sends := s.backEnds.sentRequests()[before:]; len(sends) == 0 || countOutsideZone(sends, "other") > 0 {
			t.Errorf("sent %d attempts, %d of them by an earlier version", len(sends), countOutsideZone(sends, "other"))
		}
	})
}

// TestFullSplitTargetIsRefused: what does not fit at one part of a split is refused as not run and not moved to another part.
func TestFullSplitTargetIsRefused(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		split := configuration(2)
		configurationOf(split).Routes[1].Targets = []routing.Target{{Service: "s0", Weight: 1}, {Service: "s1", Weight: 1}}
		s.store.put(split)
		time.Sleep(2 * time.Second)
		s.backEnds.setHandler(answerExcept(refuse, "s0-near", "s0-far"))
		refused := 0
		for range 40 {
			if result := s.requestOne(); result.Failure != nil && result.Failure.NotRun {
				refused++
			}
		}
		if refused != 20 {
			t.Errorf("%d of 40 were refused, half of them go to the part without room", refused)
		}
	})
}
