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
	"stiletrail/internal/settings"
)

// restrictedConfiguration is a configuration whose routes may be served in the given regions only.
func restrictedConfiguration(version uint64, regions ...string) gateway.Item {
	item := configuration(version)
	for i := range configurationOf(item).Routes {
		configurationOf(item).Routes[i].Regions = region.NewSet(regions...)
	}
	return item
}

// countOutsideZone counts the attempts at back ends outside the allowed zone.
func countOutsideZone(requests []gateway.BackEndRequest, allowed string) (count int) {
	for _, request := range requests {
		if request.Entry.Zone != allowed {
			count++
		}
	}
	return count
}

// refuse is a handler that refuses every attempt.
func refuse(context.Context, gateway.BackEndRequest) forward.Outcome {
	return forward.Outcome{Kind: forward.Refused}
}

// outcomeAfter returns a handler that ends each attempt with an outcome after a delay.
func outcomeAfter(outcomeOf func(gateway.BackEndRequest) forward.Outcome, delay time.Duration) func(context.Context, gateway.BackEndRequest) forward.Outcome {
	return func(ctx context.Context, request gateway.BackEndRequest) forward.Outcome {
		select {
		case <-time.After(delay):
			return outcomeOf(request)
		case <-ctx.Done():
			return forward.Outcome{Kind: forward.Lost}
		}
	}
}

// requestOne sends a request on the route to a single service.
func (s *fixture) requestOne() gateway.Result {
	return s.gateway.Serve(context.Background(), &gateway.Call{ID: "id", Host: "h", Path: "/one/x", Deadline: time.Now().Add(4 * time.Second)})
}

// TestRequestsStayInRouteRegions checks that first attempts, hedges and retries of a route that is restricted to
// the other region go there only. That must hold although the back ends in the gateway's own zone work, and although
// the allowed ones are slow, refuse, lose answers or crash.
func TestRequestsStayInRouteRegions(t *testing.T) {
	behaviours := map[string]func(gateway.BackEndRequest) forward.Outcome{
		"back ends answer":       answered,
		"back ends refuse":       func(gateway.BackEndRequest) forward.Outcome { return forward.Outcome{Kind: forward.Refused} },
		"back ends lose answers": func(gateway.BackEndRequest) forward.Outcome { return forward.Outcome{Kind: forward.Lost} },
		"back ends crash": func(gateway.BackEndRequest) forward.Outcome {
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
				requests := s.backEnds.sentRequests()
				if count := countOutsideZone(requests, "other"); count > 0 || len(requests) < 20 {
					t.Errorf("%d of %d attempts went outside the allowed region, want none of at least 20", count, len(requests))
				}
			})
		})
	}
}

// TestRequestsStayInTenantRegions checks that the requests of a tenant that is restricted to the other region go there only,
// those of another tenant also elsewhere, and that a tenant and a route without a common region are refused at once.
func TestRequestsStayInTenantRegions(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		restricted := holding("first", "a")
		restricted.Regions = region.NewSet("b")
		s.apply(withTenants(2, restricted, holding("second", "b")))
		s.backEnds.setHandler(outcomeAfter(answered, 150*time.Millisecond))
		for range 20 {
			if _, result := s.serveKey("/all/x", "a"); result.Failure != nil {
				t.Fatalf("answered %v", result.Failure)
			}
		}
		if requests := s.backEnds.sentRequests(); countOutsideZone(requests, "other") > 0 || len(requests) < 20*shards {
			t.Errorf("%d of %d attempts went outside the tenant's region, want none of at least %d", countOutsideZone(requests, "other"), len(requests), 20*shards)
		}
		s.serveKey("/all/x", "b")
		if countOutsideZone(s.backEnds.sentRequests(), "other") == 0 {
			t.Error("the requests of an unrestricted tenant went to the other region only")
		}
		apart := withTenants(3, restricted)
		configurationOf(apart).Routes[0].Regions = region.NewSet("a")
		s.apply(apart)
		time.Sleep(6 * time.Second)
		sent := len(s.backEnds.sentRequests())
		if _, result := s.serveKey("/all/x", "a"); result.Failure == nil || !result.Failure.NotRun || result.Elapsed > 10*time.Millisecond || len(s.backEnds.sentRequests()) > sent {
			t.Errorf("a tenant and a route without a common region: answered %+v after %v", result.Answer, result.Elapsed)
		}
	})
}

// TestUnknownRegionOfTenantIsRejected checks that a configuration whose tenant names an unknown region changes nothing.
func TestUnknownRegionOfTenantIsRejected(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		lost := holding("first", "a")
		lost.Regions = region.NewSet("b", "nowhere")
		s.store.put(withTenants(2, lost))
		time.Sleep(3 * time.Second)
		if version := s.gateway.Version(); version != 1 {
			t.Errorf("version %d is in force, want 1", version)
		}
	})
}

// TestNoBackEndInRouteRegions checks that a request is refused at once, as not run and with a retry time, if no
// allowed region has a back end.
func TestNoBackEndInRouteRegions(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		for i := range shards {
			s.store.put(gateway.Item{Key: fmt.Sprint("back ends/s", i, "-far"), Deleted: true})
		}
		s.store.put(restrictedConfiguration(2, "b"))
		time.Sleep(6 * time.Second)
		for _, result := range []gateway.Result{s.search(), s.requestOne()} {
			if result.Failure == nil || !result.Failure.NotRun || result.Failure.RetryAfter == 0 || result.Elapsed > 10*time.Millisecond {
				t.Errorf("want a refusal at once, as not run and with a retry time; answered %+v after %v", result.Answer, result.Elapsed)
			}
		}
		if requests := s.backEnds.sentRequests(); len(requests) > 0 {
			t.Errorf("%d attempts were sent, want none", len(requests))
		}
	})
}

// TestUnknownRegionIsRejected checks that a configuration that names an unknown region is not put in force. The last
// valid one stays in force.
func TestUnknownRegionIsRejected(t *testing.T) {
	table, err := routing.Compile(*configurationOf(restrictedConfiguration(2, "nowhere")))
	if err != nil {
		t.Fatal(err)
	}
	known := func(name string) bool { return name == "a" || name == "b" }
	if err := table.CheckRegions(known); failure.CodeOf(err) != failure.InvalidArgument {
		t.Errorf("want an invalid argument for the unknown region, found %v", err)
	}
	withGateway(t, func(t *testing.T, s *fixture) {
		s.store.put(restrictedConfiguration(2, "a", "nowhere"))
		time.Sleep(2 * time.Second)
		if version := s.gateway.Version(); version != 1 {
			t.Errorf("version %d is in force, want 1 since version 2 names an unknown region", version)
		}
		s.store.put(restrictedConfiguration(3, "a", "b"))
		time.Sleep(2 * time.Second)
		if version := s.gateway.Version(); version != 3 {
			t.Errorf("version %d is in force, want 3", version)
		}
	})
}

// TestRejectedConfigurationUnderNewSettings guards against a confirmed configuration that never comes into force: it names a
// region that the node's settings add only after it was read. A later version that was applied meanwhile stays.
func TestRejectedConfigurationUnderNewSettings(t *testing.T) {
	changed := settings.DefaultGateway()
	changed.Zone = "zone"
	changed.Regions = map[string]string{"zone": "a", "other": "b", "new": "c"}
	for name, versions := range map[string][]gateway.Item{
		"the latest was rejected":     {restrictedConfiguration(2, "a", "c")},
		"a later one came into force": {restrictedConfiguration(2, "a", "c"), restrictedConfiguration(3, "a", "b")},
	} {
		t.Run(name, func(t *testing.T) {
			withGateway(t, func(t *testing.T, s *fixture) {
				for _, version := range versions {
					s.store.put(version)
					time.Sleep(2 * time.Second)
				}
				s.gateway.Reconfigure(withSeed(changed, 1))
				if got, want := s.gateway.Version(), uint64(1+len(versions)); got != want {
					t.Errorf("version %d is in force after the settings have added its region, want %d", got, want)
				}
			})
		})
	}
}

// TestRequestKeepsRegionsOfItsVersion checks that a request in flight keeps the allowed regions of the configuration
// version that it began with, also for attempts that it sends later. The next request has the regions of the new
// version.
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
			t.Errorf("%d attempts went to the regions of a later version, want none", count)
		}
		before := len(s.backEnds.sentRequests())
		time.Sleep(2 * time.Second)
		s.backEnds.setHandler(answerAfter(20 * time.Millisecond))
		s.requestOne()
		if requests := s.backEnds.sentRequests()[before:]; len(requests) == 0 || countOutsideZone(requests, "other") > 0 {
			t.Errorf("%d attempts were sent, %d of them to the regions of an earlier version; want some and none", len(requests), countOutsideZone(requests, "other"))
		}
	})
}

// TestFullSplitTargetIsRefused checks that requests that exceed the capacity of one target of a traffic split are
// refused as not run. They must not move to another target.
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
			t.Errorf("%d of 40 requests were refused, want the half that goes to the target without capacity", refused)
		}
	})
}
