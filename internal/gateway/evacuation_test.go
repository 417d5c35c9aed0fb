package gateway_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"stiletrail/internal/gateway"
)

// evacuationItem is the store item that requests the evacuation of a zone.
func evacuationItem(zone string) gateway.Item {
	return gateway.Item{Key: "evacuated/" + zone, Content: gateway.Evacuation{Zone: zone}}
}

func evacuationEndItem(zone string) gateway.Item {
	return gateway.Item{Key: "evacuated/" + zone, Deleted: true}
}

// countInZone counts the attempts at back ends of a zone.
func countInZone(requests []gateway.BackEndRequest, zone string) (count int) {
	for _, request := range requests {
		if request.Entry.Zone == zone {
			count++
		}
	}
	return count
}

// TestEvacuatedZoneGetsNoAttempts checks that soon after a zone is evacuated no attempt of any kind reaches its back
// ends, nor those that start there later. Requests that already run in the zone are not cancelled, and the zone gets
// requests again after the evacuation ends.
func TestEvacuatedZoneGetsNoAttempts(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		s.backEnds.setHandler(answerAfter(1500 * time.Millisecond))
		running := make(chan gateway.Result, 1)
		go func() { running <- s.requestOne() }()
		time.Sleep(100 * time.Millisecond)
		s.store.put(evacuationItem("zone"))
		time.Sleep(time.Second)
		s.store.put(backEnd("s0", "-near-2", "zone"))
		if result := <-running; result.Failure != nil || result.BackEndResponse == nil {
			t.Errorf("the request that ran in the zone was not answered by its back end: %+v", result.Answer)
		}
		s.backEnds.setHandler(answerAfter(20 * time.Millisecond))
		before := len(s.backEnds.sentRequests())
		for range 10 {
			s.search()
			s.requestOne()
			time.Sleep(100 * time.Millisecond)
		}
		if count := countInZone(s.backEnds.sentRequests()[before:], "zone"); count > 0 {
			t.Errorf("%d attempts went to the evacuated zone, want none", count)
		}
		before = len(s.backEnds.sentRequests())
		s.store.put(evacuationEndItem("zone"))
		time.Sleep(4 * time.Second)
		s.search()
		if countInZone(s.backEnds.sentRequests()[before:], "zone") == 0 {
			t.Error("no attempt went to the zone after its evacuation ended")
		}
	})
}

// TestEvacuationOfAllZonesOfAService checks that a request that no zone may serve is refused at once, as not run.
// When one of the two evacuations ends, it is served again.
func TestEvacuationOfAllZonesOfAService(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		s.store.put(evacuationItem("zone"))
		s.store.put(evacuationItem("other"))
		time.Sleep(2 * time.Second)
		for _, result := range []gateway.Result{s.search(), s.requestOne()} {
			if result.Failure == nil || !result.Failure.NotRun || result.Failure.RetryAfter == 0 || result.Elapsed > 10*time.Millisecond {
				t.Errorf("want a refusal at once, as not run and with a retry time; answered %+v after %v", result.Answer, result.Elapsed)
			}
		}
		s.store.put(evacuationEndItem("other"))
		time.Sleep(2 * time.Second)
		if result := s.search(); result.Failure != nil {
			t.Errorf("want an answer after one evacuation ended: answered %+v", result.Answer)
		}
		if countInZone(s.backEnds.sentRequests(), "zone") > 0 {
			t.Error("an attempt went to the zone that is still evacuated")
		}
	})
}

// TestEvacuationDuringStoreOutage checks that an evacuation, or its end, that is written while the store is
// unavailable takes effect soon after the store is back. A watch that delivers no events delays neither for longer
// than the bound.
func TestEvacuationDuringStoreOutage(t *testing.T) {
	failures := map[string]struct{ begin, end func(*fakeStore) }{
		"store is unavailable": {func(s *fakeStore) { s.err = errUnavailable }, func(s *fakeStore) { s.err = nil }},
		"watch delivers no events": {func(s *fakeStore) { s.suppressEvents = true }, func(s *fakeStore) {
			s.suppressEvents, s.history, s.compacted = false, nil, s.revision
		}},
	}
	for name, outage := range failures {
		t.Run(name, func(t *testing.T) {
			withGateway(t, func(t *testing.T, s *fixture) {
				for _, change := range []struct {
					item  gateway.Item
					gets  bool
					label string
				}{{evacuationItem("zone"), false, "evacuated"}, {evacuationEndItem("zone"), true, "released from evacuation"}} {
					s.store.update(outage.begin)
					time.Sleep(3 * time.Second)
					s.store.put(change.item)
					s.store.update(outage.end)
					time.Sleep(3 * time.Second)
					before := len(s.backEnds.sentRequests())
					for range 3 {
						s.search()
					}
					if got := countInZone(s.backEnds.sentRequests()[before:], "zone") > 0; got != change.gets {
						t.Errorf("3 s after the zone was %s it gets attempts: %v, want the opposite", change.label, got)
					}
				}
			})
		})
	}
}

// TestEvacuationReachesAllNodes checks that nodes without access to the store learn of an evacuation from their
// peers, and that a node that starts during an evacuation respects it.
func TestEvacuationReachesAllNodes(t *testing.T) {
	withCluster(t, 3, func(t *testing.T, c *cluster) {
		time.Sleep(10 * time.Second)
		for i := range shards {
			c.store.put(backEnd(fmt.Sprint("s", i), "-far", "other"))
		}
		c.stores[2].disconnected.Store(true)
		time.Sleep(2 * time.Second)
		c.store.put(evacuationItem("zone"))
		time.Sleep(2500 * time.Millisecond)
		c.contexts[1]()
		c.start(1)
		time.Sleep(500 * time.Millisecond)
		for i, g := range c.gateways {
			before := len(c.backEnds.sentRequests())
			if result := g.Serve(context.Background(), &gateway.Call{ID: "id", Host: "h", Path: "/all/x"}); result.Failure != nil {
				t.Errorf("node %d did not serve the request: answered %+v", i, result.Answer)
			}
			if count := countInZone(c.backEnds.sentRequests()[before:], "zone"); count > 0 {
				t.Errorf("node %d sent %d attempts to the evacuated zone, want none", i, count)
			}
		}
	})
}
