package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"stiletrail/internal/tenant"
)

// TestLastNodeServesItsTenants: the last node of a fleet, whose others are gone for good, refused all requests of tenants with a
// limit for ever once it had started again, because it waited for others before it lent tokens.
func TestLastNodeServesItsTenants(t *testing.T) {
	for _, nodesPerZone := range []int{1, 2, 7} {
		for _, use := range []float64{0.2, 0.5, 0.8} {
			t.Run(fmt.Sprintf("%d nodes, %.1f of the limit", 3*nodesPerZone, use), func(t *testing.T) {
				t.Parallel()
				held := limited("calm", 100, 0)
				runLimits(t, 1, 3, nodesPerZone, []tenant.Tenant{held}, func(r *limitRun) {
					r.until = r.began.Add(60 * time.Second)
					r.calls.Go(func() { r.load(held.Name, use*held.Rate, rand.New(rand.NewPCG(1, 1))) })
					time.Sleep(15 * time.Second)
					r.remove(r.numbers()[1:]...)
					time.Sleep(time.Second)
					r.restart(300*time.Millisecond, 0)
					started := time.Now().Add(300 * time.Millisecond)
					time.Sleep(time.Until(r.until))
					r.calls.Wait()
					r.checkBound(held)
					if share := r.uses[held.Name].served(started.Add(15*time.Second), started.Add(36*time.Second)); share < 0.25 {
						t.Errorf("%.2f of the requests were served from 15 s after the start on", share)
					} else {
						t.Logf("%.2f of the requests were served from 15 s after the start on", share)
					}
				})
			})
		}
	}
}

// TestRestartWhileCutOffKeepsTheBound: nodes that start again while they are cut off took each other for the whole fleet, and lent
// all of a limit beside those on the other side. They lend their part, before and after the end of the cut.
func TestRestartWhileCutOffKeepsTheBound(t *testing.T) {
	// Times are counted from the beginning of the cut.
	for name, test := range map[string]struct {
		cutLasts time.Duration
		restarts []time.Duration
		nodes    []int
		// alone puts each node of the cut zone on a side of its own.
		alone bool
	}{
		"the cut zone, once":                  {11 * time.Second, []time.Duration{time.Second}, []int{4, 5}, false},
		"the cut zone, in a long cut":         {100 * time.Second, []time.Duration{70 * time.Second}, []int{4, 5}, false},
		"the cut zone, twice":                 {40 * time.Second, []time.Duration{time.Second, 20 * time.Second}, []int{4, 5}, false},
		"the cut zone, as the cut ends":       {70 * time.Second, []time.Duration{time.Second, 70 * time.Second}, []int{4, 5}, false},
		"all nodes, in the cut":               {90 * time.Second, []time.Duration{5 * time.Second}, []int{0, 1, 2, 3, 4, 5}, false},
		"all nodes, after the cut":            {90 * time.Second, []time.Duration{91 * time.Second}, []int{0, 1, 2, 3, 4, 5}, false},
		"one node of the cut zone":            {30 * time.Second, []time.Duration{2 * time.Second}, []int{5}, false},
		"nodes that are cut off from all":     {60 * time.Second, []time.Duration{2 * time.Second, 30 * time.Second}, []int{4, 5}, true},
		"the other zones, while one is apart": {60 * time.Second, []time.Duration{2 * time.Second, 45 * time.Second}, []int{0, 1, 2, 3}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			held := limited("hot", 40, 0)
			runLimits(t, 1, 3, 2, []tenant.Tenant{held}, func(r *limitRun) {
				const before = 10 * time.Second
				r.until = r.began.Add(before + test.cutLasts + 40*time.Second)
				r.calls.Go(func() { r.load(held.Name, 4*held.Rate, rand.New(rand.NewPCG(1, 1))) })
				time.Sleep(before)
				cutAt := time.Now()
				r.cut(1, 4)
				r.cut(1, 5)
				if test.alone {
					r.cut(2, 5)
				}
				for _, after := range test.restarts {
					time.AfterFunc(after, func() { r.restart(300*time.Millisecond, test.nodes...) })
				}
				time.Sleep(test.cutLasts)
				healed := time.Now()
				r.cut(0, r.numbers()...)
				time.Sleep(time.Until(r.until))
				r.calls.Wait()
				r.checkBound(held)
				served := r.uses[held.Name].served(cutAt, healed)
				t.Logf("%.2f of the calls were served during the cut", served)
				if allowed := 0.25 * 0.5; served < allowed {
					t.Errorf("%.2f of the calls were served during the cut, a half of what is allowed is %.2f", served, allowed)
				}
			})
		})
	}
}
