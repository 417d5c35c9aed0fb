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
