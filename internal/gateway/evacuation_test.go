package gateway_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"stiletrail/internal/gateway"
)

// evacuation asks for nothing more to be sent to a zone.
func evacuation(zone string) gateway.Item {
	return gateway.Item{Key: "evacuated/" + zone, Content: gateway.Evacuation{Zone: zone}}
}

func takenBack(zone string) gateway.Item {
	return gateway.Item{Key: "evacuated/" + zone, Deleted: true}
}

// toZone counts the attempts at a zone's back ends.
func toZone(sends []gateway.BackEndRequest, zone string) (count int) {
	for _, send := range sends {
		if send.Entry.Zone == zone {
			count++
		}
	}
	return count
}

// TestEvacuatedZoneGetsNothing: soon after a zone is evacuated no attempt of any kind reaches its back ends, also not those that appear there later; what
// runs there is not cut; and requests go there again once it is taken back.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	play(t, func(t *testing.T, s *scene) {
		s.backEnds.set(after(1500 * time.Millisecond))
		running := make(chan gateway.Result, 1)
		go func() { running <- s.one() }()
		time.Sleep(100 * time.Millisecond)
		s.store.put(evacuation("zone"))
		time.Sleep(time.Second)
		s.store.put(backEnd("s0", "-near-2", "zone"))
		if result := <-running; result.Failure != nil || result.BackEndResponse == nil {
			t.Errorf("what ran in the zone was cut: %+v", result.Answer)
		}
		s.backEnds.set(after(20 * time.Millisecond))
		before := len(s.backEnds.sent())
		for range 10 {
			s.search()
			s.one()
			time.Sleep(100 * time.Millisecond)
		}
		if count := toZone(s.backEnds.sent()[before:], "zone"); count > 0 {
			t.Errorf("%d attempts went to the evacuated zone", count)
		}
		before = len(s.backEnds.sent())
		s.store.put(takenBack("zone"))
		time.Sleep(4 * time.Second)
		s.search()
		if toZone(s.backEnds.sent()[before:], "zone") == 0 {
			t.Error("no attempt goes to the zone that was taken back")
		}
	})
}

// TestEvacuationOfAllZonesOfAService: what no zone may serve is refused at once, as not run; the end of one evacuation of two has it served again.
func TestEvacuationOfAllZonesOfAService(t *testing.T) {
	play(t, func(t *testing.T, s *scene) {
		s.store.put(evacuation("zone"))
		s.store.put(evacuation("other"))
		time.Sleep(2 * time.Second)
		for _, result := range []gateway.Result{s.search(), s.one()} {
			if result.Failure == nil || !result.Failure.NotRun || result.Failure.RetryAfter == 0 || result.Elapsed > 10*time.Millisecond {
				t.Errorf("answered %+v after %v", result.Answer, result.Elapsed)
			}
		}
		s.store.put(takenBack("other"))
		time.Sleep(2 * time.Second)
		if result := s.search(); result.Failure != nil {
			t.Errorf("answered %+v", result.Answer)
		}
		if toZone(s.backEnds.sent(), "zone") > 0 {
			t.Error("an attempt went to the zone that is still evacuated")
		}
	})
}

// TestEvacuationInTrouble: a request for an evacuation and its end that come while the store is away are followed soon after it is back; a watch that
// tells nothing hides neither for longer than the bound.
func TestEvacuationInTrouble(t *testing.T) {
	troubles := map[string]struct{ begin, end func(*fakeStore) }{
		"away": {func(s *fakeStore) { s.err = errDown }, func(s *fakeStore) { s.err = nil }},
		"silent": {func(s *fakeStore) { s.silent = true }, func(s *fakeStore) {
			s.silent, s.history, s.dropped = false, nil, s.revision
		}},
	}
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, s *scene) {
				for _, change := range []struct {
					item  gateway.Item
					gets  bool
					label string
				}{{evacuation("zone"), false, "evacuated"}, {takenBack("zone"), true, "taken back"}} {
					s.store.set(trouble.begin)
					time.Sleep(3 * time.Second)
					s.store.put(change.item)
					s.store.set(trouble.end)
					time.Sleep(3 * time.Second)
					before := len(s.backEnds.sent())
					for range 3 {
						s.search()
					}
					if got := toZone(s.backEnds.sent()[before:], "zone") > 0; got != change.gets {
						t.Errorf("3 s after the zone was %s it gets attempts: %v", change.label, got)
					}
				}
			})
		})
	}
}

// TestEvacuationReachesAllNodes: nodes that the store refuses learn of an evacuation from others, and a node that starts begins with it.
func TestEvacuationReachesAllNodes(t *testing.T) {
	playCluster(t, 3, func(t *testing.T, c *cluster) {
		time.Sleep(10 * time.Second)
		for i := range shards {
			c.store.put(backEnd(fmt.Sprint("s", i), "-far", "other"))
		}
		c.paths[2].cut.Store(true)
		time.Sleep(2 * time.Second)
		c.store.put(evacuation("zone"))
		time.Sleep(2500 * time.Millisecond)
		c.contexts[1]()
		c.start(1)
		time.Sleep(500 * time.Millisecond)
		for i, g := range c.gateways {
			before := len(c.backEnds.sent())
			if result := g.Serve(context.Background(), &gateway.Call{ID: "id", Host: "h", Path: "/all/x"}); result.Failure != nil {
				t.Errorf("node %d answered %+v", i, result.Answer)
			}
			if count := toZone(c.backEnds.sent()[before:], "zone"); count > 0 {
				t.Errorf("node %d sent %d attempts to the evacuated zone", i, count)
			}
		}
	})
}
