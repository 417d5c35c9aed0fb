package gateway_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/failure"
	"stiletrail/internal/forward"
	"stiletrail/internal/gateway"
	"stiletrail/internal/tenant"
)

// limited returns a tenant with a limit on its requests, whose key is its name.
func limited(name string, rate, burst float64) tenant.Tenant {
	t := holding(name, name)
	t.Rate, t.Burst = rate, burst
	return t
}

// inDoubt is longer than an accountant that has just started lends only its reserve.
const inDoubt = 8 * time.Second

// serveTenant serves a call of a tenant on a node of the cluster.
func (c *cluster) serveTenant(number int, name string) gateway.Result {
	call := &gateway.Call{ID: "id", Host: "h", Path: "/all/x", Key: tenant.NewKey(name)}
	return c.gateways[number].Serve(context.Background(), call)
}

// serveMany serves calls of a tenant on all nodes in turn, one each interval, and returns when those were served that were
// answered and how many were refused for the limit.
func (c *cluster) serveMany(t *testing.T, name string, count int, interval time.Duration) (answered []time.Time, refused int) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	for i := range count {
		calls.Go(func() {
			sent := time.Now()
			result := c.serveTenant(i%len(c.gateways), name)
			mu.Lock()
			defer mu.Unlock()
			switch f := result.Failure; {
			case f == nil:
				answered = append(answered, sent)
			case f.Code == failure.QuotaExceeded && f.NotRun && f.RetryAfter > 0 && len(result.Attempts) == 0:
				refused++
			default:
				t.Errorf("answered %v", f)
			}
		})
		time.Sleep(interval)
	}
	calls.Wait()
	return answered, refused
}

// mostIn returns the largest number of the moments in any window.
func mostIn(moments []time.Time, window time.Duration) int {
	most := 0
	for _, from := range moments {
		count := 0
		for _, at := range moments {
			if !at.Before(from) && at.Sub(from) <= window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// TestTenantLimitOverNodes checks that a tenant that sends three times its limit over all nodes gets nearly what it is
// allowed and no more than the bound, and that one within its limit gets all, also beside the first.
func TestTenantLimitOverNodes(t *testing.T) {
	withCluster(t, 6, func(t *testing.T, c *cluster) {
		c.store.put(withTenants(2, limited("hot", 20, 0), limited("calm", 20, 0)))
		time.Sleep(inDoubt)
		var calm sync.WaitGroup
		calm.Go(func() {
			if answered, refused := c.serveMany(t, "calm", 120, 100*time.Millisecond); refused > 0 {
				t.Errorf("%d calls within the limit were refused, %d answered", refused, len(answered))
			}
		})
		answered, refused := c.serveMany(t, "hot", 720, 1000/60*time.Millisecond)
		calm.Wait()
		if most := mostIn(answered, 5*time.Second); most > 130 || most < 95 {
			t.Errorf("at most %d calls were answered in a window and %d refused, want nearly 100 and at most 130", most, refused)
		}
	})
}

// TestLimitAfterRestartOfAll checks that nodes that were all restarted do not send more than the bound together with their
// earlier processes.
func TestLimitAfterRestartOfAll(t *testing.T) {
	withCluster(t, 6, func(t *testing.T, c *cluster) {
		c.store.put(withTenants(2, limited("hot", 20, 0)))
		time.Sleep(inDoubt)
		before, _ := c.serveMany(t, "hot", 180, 1000/60*time.Millisecond)
		for number := range c.gateways {
			c.contexts[number]()
			c.start(number)
		}
		after, _ := c.serveMany(t, "hot", 600, 1000/60*time.Millisecond)
		if most := mostIn(append(before, after...), 5*time.Second); most > 130 {
			t.Errorf("%d calls were answered in a window, want at most 130", most)
		}
		if len(before) < 90 || len(after) < 40 {
			t.Errorf("%d calls were answered before the restart and %d after it", len(before), len(after))
		}
	})
}

// TestTokenReturns checks that requests of which nothing has run do not count against the limit.
func TestTokenReturns(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, c *cluster) {
		c.store.put(withTenants(2, limited("small", 1, 0)))
		time.Sleep(inDoubt)
		c.backEnds.setHandler(func(context.Context, gateway.BackEndRequest) forward.Outcome {
			return forward.Outcome{Kind: forward.Refused}
		})
		for i := range 100 {
			if f := c.serveTenant(0, "small").Failure; f == nil || f.Code == failure.QuotaExceeded || !f.NotRun {
				t.Fatalf("call %d: answered %v, want a refusal of the back ends", i, f)
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// TestTokenOfLostRequestStays checks that requests that may have run count against the limit although they failed.
func TestTokenOfLostRequestStays(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, c *cluster) {
		c.store.put(withTenants(2, limited("small", 1, 0)))
		time.Sleep(inDoubt)
		c.backEnds.setHandler(func(context.Context, gateway.BackEndRequest) forward.Outcome {
			return forward.Outcome{Kind: forward.Lost}
		})
		failed := 0
		for range 100 {
			f := c.serveTenant(0, "small").Failure
			switch {
			case f == nil || f.NotRun && f.Code != failure.QuotaExceeded:
				// Nothing was sent, because the back ends are ejected.
			case f.Code != failure.QuotaExceeded:
				failed++
			}
		}
		if failed == 0 || failed > 25 {
			t.Errorf("%d requests may have run, the bound is 25", failed)
		}
	})
}

// TestLimitIsDescribed checks what a refusal tells the log: the limit, what is in use, and that it is used up.
func TestLimitIsDescribed(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, c *cluster) {
		c.store.put(withTenants(2, limited("small", 1, 0)))
		time.Sleep(inDoubt)
		var refused *gateway.QuotaDecision
		for i := 0; refused == nil && i < 60; i++ {
			refused = c.serveTenant(0, "small").Quota
		}
		if refused == nil || refused.Allowed != 5 || refused.InUse < 5 || refused.Below || refused.Age > clock.Second {
			t.Errorf("refused by %s", fmt.Sprintf("%+v", refused))
		}
	})
}

// TestWithoutLimitNothingIsSent checks that nodes exchange nothing on limits where no tenant has one.
func TestWithoutLimitNothingIsSent(t *testing.T) {
	withCluster(t, 3, func(t *testing.T, c *cluster) {
		c.store.put(withTenants(2, holding("free", "free")))
		time.Sleep(inDoubt)
		for i := range 200 {
			if f := c.serveTenant(i%3, "free").Failure; f != nil {
				t.Errorf("answered %v", f)
			}
		}
		for number, g := range c.gateways {
			if state := g.Status().Quotas; state.Reports > 0 || state.Limits > 0 || state.Pools > 0 {
				t.Errorf("node %d has %+v", number, state)
			}
		}
	})
}
