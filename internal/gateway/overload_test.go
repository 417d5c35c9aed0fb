package gateway_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"stiletrail/internal/forward"
	"stiletrail/internal/gateway"
)

// TestTurnedAwayUnderOverload checks admission control while back ends are full and answers are late. Some requests
// are refused at once, as not run and without a single attempt. A caller that retries after the given time is served.
// Once there is capacity again no request is refused.
func TestTurnedAwayUnderOverload(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		var mu sync.Mutex
		overloaded := true
		number := 0
		s.backEnds.setHandler(func(ctx context.Context, request gateway.BackEndRequest) forward.Outcome {
			mu.Lock()
			number++
			full, shed := overloaded, number%3 == 0
			mu.Unlock()
			switch {
			case !full:
				return answerAfter(20*time.Millisecond)(ctx, request)
			case shed:
				return forward.Outcome{Kind: forward.Refused}
			}
			return answerAfter(600*time.Millisecond)(ctx, request)
		})
		call := func(id string, timeout time.Duration) gateway.Result {
			return s.gateway.Serve(context.Background(), &gateway.Call{ID: id, Host: "h", Path: "/all/x", Deadline: time.Now().Add(timeout)})
		}
		var callers sync.WaitGroup
		turnedAway := map[string]bool{}
		for i := range 100 {
			callers.Go(func() {
				id := fmt.Sprint("overload-", i)
				result := call(id, 4*time.Second)
				if result.Reason != forward.TurnedAway {
					return
				}
				if !result.Failure.NotRun || result.Failure.RetryAfter < 400*time.Millisecond || result.Elapsed > 0 {
					t.Errorf("refused with %+v after %v, want a refusal at once, as not run, with a retry time of at least 400 ms", result.Failure, result.Elapsed)
				}
				mu.Lock()
				turnedAway[id] = true
				mu.Unlock()
				time.Sleep(result.Failure.RetryAfter)
				if again := call(id+"-again", 4*time.Second-result.Failure.RetryAfter); again.Reason == forward.TurnedAway {
					t.Error("a request was turned away again when it was retried at the given time")
				}
			})
			time.Sleep(50 * time.Millisecond)
		}
		callers.Wait()
		if len(turnedAway) < 10 || len(turnedAway) > 80 {
			t.Errorf("%d of 100 requests were turned away, want 10 to 80", len(turnedAway))
		}
		for _, request := range s.backEnds.sentRequests() {
			if turnedAway[request.Call.ID] {
				t.Fatalf("request %s was turned away, and an attempt was sent for it", request.Call.ID)
			}
		}
		mu.Lock()
		overloaded = false
		mu.Unlock()
		for i := range 60 {
			result := call(fmt.Sprint("room-", i), 4*time.Second)
			if i > 20 && result.Failure != nil {
				t.Errorf("refused although there is capacity again: %+v", result.Failure)
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}
