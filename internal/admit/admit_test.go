package admit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"stiletrail/internal/admit"
	"stiletrail/internal/clock"
)

const (
	patience = 4 * clock.Second
	route    = "all"
)

// Requests of 30 shards, of which 3 may lack.
var (
	calm     = admit.Sample{Missing: 0, AllowedMissing: 3, ShedAttempts: 0, Attempts: 31}
	slow     = admit.Sample{Missing: 3, AllowedMissing: 3, ShedAttempts: 0, Attempts: 33}
	overload = admit.Sample{Missing: 6, AllowedMissing: 3, ShedAttempts: 5, Attempts: 36}
)

// met notes the same for so many requests, one each 400 ms, and returns the time.
func met(gate *admit.Controller, now clock.Ms, sample admit.Sample, count int) clock.Ms {
	for range count {
		now += 400 * clock.Ms(1)
		gate.Record(now, sample)
	}
	return now
}

// TestTurnedAway: which share is turned away by what requests met.
func TestTurnedAway(t *testing.T) {
	for name, c := range map[string]struct {
		seen        admit.Sample
		count       int
		least, most float64
	}{
		"nothing was met":                     {calm, 0, 0, 0},
		"all is well":                         {calm, 10, 0, 0},
		"one request in trouble is too few":   {overload, 1, 0, 0.65},
		"slow back ends, and none sheds":      {slow, 10, 0, 0},
		"overload":                            {overload, 10, 0.5, 0.75},
		"back ends shed, and parts are there": {admit.Sample{Missing: 1, AllowedMissing: 3, ShedAttempts: 5, Attempts: 36}, 10, 0, 0},
		"nothing may lack":                    {admit.Sample{Missing: 4, ShedAttempts: 5, Attempts: 36}, 10, 0.7, 0.7},
	} {
		t.Run(name, func(t *testing.T) {
			var gate admit.Controller
			now := met(&gate, 0, c.seen, c.count)
			if share := gate.OverloadLevel(now).TurnedAwayShare; share < c.least || share > c.most {
				t.Errorf("turns away %v, want %v to %v", share, c.least, c.most)
			}
		})
	}
}

// TestRoomAgain: once requests find room, all are admitted after four of them, and without any after some seconds.
func TestRoomAgain(t *testing.T) {
	var gate admit.Controller
	now := met(&gate, 0, overload, 10)
	if share := gate.OverloadLevel(met(&gate, now, calm, 4)).TurnedAwayShare; share > 0 {
		t.Errorf("turns away %v after four requests that found room", share)
	}
	gate = admit.Controller{}
	now = met(&gate, 0, overload, 10)
	if share := gate.OverloadLevel(now + 5*clock.Second).TurnedAwayShare; share > 0 {
		t.Errorf("turns away %v after five seconds without a request", share)
	}
}

// TestAgesBetweenManyDecisions: what was met is forgotten in the same time however often the gate is asked meanwhile.
func TestAgesBetweenManyDecisions(t *testing.T) {
	var gate admit.Controller
	now := met(&gate, 0, overload, 10)
	elapsed := now.Duration()
	for range 20000 {
		elapsed += 250 * time.Microsecond
		gate.OverloadLevel(clock.FromDuration(elapsed))
	}
	if level := gate.OverloadLevel(clock.FromDuration(elapsed)); level.TurnedAwayShare > 0 {
		t.Errorf("turns away %v after five seconds of four thousand decisions each", level.TurnedAwayShare)
	}
}

// TestAdmit: about the share is turned away, each with a time to come back that its caller heeds; who has waited before is admitted.
func TestAdmit(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var gate admit.Controller
	now := met(&gate, 0, overload, 10)
	share := gate.OverloadLevel(now).TurnedAwayShare
	const requests = 2000
	away := 0
	for range requests {
		decision := gate.Admit(now, route, patience, random.Float64)
		if decision.Admitted {
			continue
		}
		away++
		retryAfter := decision.RetryAfter
		if retryAfter < patience/10 || retryAfter > patience/3 {
			t.Fatalf("may come back after %d ms of %d", retryAfter, patience)
		}
		if !gate.Admit(now, route, patience-retryAfter, random.Float64).Admitted {
			t.Fatal("turned away twice")
		}
	}
	if got := float64(away) / requests; got < share-0.05 || got > share+0.05 {
		t.Errorf("%v of the requests turned away, want %v", got, share)
	}
}

// TestRetain: what callers of a route waited for is forgotten with the route.
func TestRetain(t *testing.T) {
	var gate admit.Controller
	now := met(&gate, 0, overload, 20)
	first := func() float64 { return 0 }
	gate.Admit(now, route, 100*clock.Second, first)
	if !gate.Admit(now, route, patience, first).Admitted {
		t.Error("a caller with less time than another was turned away")
	}
	gate.Retain(func(string) bool { return false })
	if gate.Admit(now, route, patience, first).Admitted {
		t.Error("admitted by what callers of an earlier route waited for")
	}
}
