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

// TestTurnedAwayUnderOverload: while full back ends shed and answers come late, a part of the requests is refused at once, as not run and without a
// single attempt; a caller that comes back is served; once there is room none is refused.
func TestTurnedAwayUnderOverload(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		var mu sync.Mutex
		overloaded := true
		number := 0
		s.backEnds.setHandler(func(ctx context.Context, send gateway.BackEndRequest) forward.Outcome {
			mu.Lock()
			number++
			full, shed := overloaded, number%3 == 0
			mu.Unlock()
			switch {
			case !full:
				return answerAfter(20*time.Millisecond)(ctx, send)
			case shed:
				return forward.Outcome{Kind: forward.Refused}
			}
			return answerAfter(600*time.Millisecond)(ctx, send)
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
					t.Errorf("refused with %+v after %v", result.Failure, result.Elapsed)
				}
				mu.Lock()
				turnedAway[id] = true
				mu.Unlock()
				time.Sleep(result.Failure.RetryAfter)
				if again := call(id+"-again", 4*time.Second-result.Failure.RetryAfter); again.Reason == forward.TurnedAway {
					t.Error("turned away twice")
				}
			})
			time.Sleep(50 * time.Millisecond)
		}
		callers.Wait()
		if len(turnedAway) < 10 || len(turnedAway) > 80 {
			t.Errorf("%d of 100 were turned away", len(turnedAway))
		}
		for _, send := range s.backEnds.sentRequests() {
			if turnedAway[send.Call.ID] {
				t.Fatalf("%s was turned away and sent", send.Call.ID)
			}
		}
		mu.Lock()
		overloaded = false
		mu.Unlock()
		for i := range 60 {
			result := call(fmt.Sprint("room-", i), 4*time.Second)
			if i > 20 && result.Failure != nil {
				t.Errorf("with room again: %+v", result.Failure)
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}
