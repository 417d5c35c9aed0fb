package gateway_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"stiletrail/internal/failure"
	"stiletrail/internal/gateway"
	"stiletrail/internal/settings"
)

// TestRefusalHasRetryAfter checks the retry time of a request that is refused before it starts: short while the node
// starts, and longer once the start has taken long or while too many requests are in flight.
func TestRefusalHasRetryAfter(t *testing.T) {
	check := func(t *testing.T, result gateway.Result, code failure.Code, retryAfter time.Duration) {
		t.Helper()
		if f := result.Failure; f == nil || f.Code != code || !f.NotRun || f.RetryAfter != retryAfter {
			t.Errorf("answered %+v, want code %s, not run, and a retry after %v", result.Failure, code, retryAfter)
		}
	}
	call := &gateway.Call{ID: "id", Host: "h", Path: "/all/x"}
	t.Run("no configuration", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := gateway.New(gateway.FromSettings(settings.DefaultGateway()), &fakeBackEnds{}, newStore(), discardLog{})
			check(t, g.Serve(context.Background(), call), failure.NotReady, 150*time.Millisecond)
			time.Sleep(time.Second)
			check(t, g.Serve(context.Background(), call), failure.NotReady, 500*time.Millisecond)
		})
	})
	t.Run("too many requests in flight", func(t *testing.T) {
		withGateway(t, func(t *testing.T, s *fixture) {
			limited := settings.DefaultGateway()
			limited.MaximumRequests = 1
			s.gateway.Reconfigure(withSeed(limited, 1))
			go s.gateway.Serve(context.Background(), call)
			synctest.Wait()
			check(t, s.gateway.Serve(context.Background(), call), failure.Overloaded, 500*time.Millisecond)
		})
	})
}
