package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"stiletrail/internal/tenant"
)

// TestLastNodeWithoutStoreServesItsTenants: the last node of a fleet of six loses the store soon after it has started again. It
// cannot tell then whether the others are gone or cut off, and refuses most of what a tenant within its limit sends.
func TestLastNodeWithoutStoreServesItsTenants(t *testing.T) {
	for _, use := range []float64{0.2, 0.5} {
		t.Run(fmt.Sprintf("%.1f of the limit", use), func(t *testing.T) {
			held := limited("calm", 100, 0)
			runLimits(t, 1, 3, 2, []tenant.Tenant{held}, func(r *limitRun) {
				r.until = r.began.Add(60 * time.Second)
				r.calls.Go(func() { r.load(held.Name, use*held.Rate, rand.New(rand.NewPCG(1, 1))) })
				time.Sleep(15 * time.Second)
				r.remove(r.numbers()[1:]...)
				time.Sleep(time.Second)
				r.restart(300*time.Millisecond, 0)
				started := time.Now().Add(300 * time.Millisecond)
				time.AfterFunc(1300*time.Millisecond, func() { r.setStoreReach(false, r.numbers()...) })
				time.Sleep(time.Until(r.until))
				r.calls.Wait()
				r.checkBound(held)
				if share := r.uses[held.Name].served(started.Add(15*time.Second), started.Add(36*time.Second)); share < 0.25 {
					t.Errorf("%.2f of the requests were served from 15 s after the start on", share)
				}
			})
		})
	}
}
