package gateway_test

import (
	"context"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"stiletrail/internal/forward"
	"stiletrail/internal/gateway"
)

// TestAttemptsWrittenTogetherFindCallerGone guards against attempts for a caller that has disconnected: all attempts of a
// request are about to be written at the same moment, as after a pause of the process. While one of them asks the operating
// system for the caller, the others must wait for what it finds.
func TestAttemptsWrittenTogetherFindCallerGone(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		var checks, written atomic.Int64
		ctx, disconnect := context.WithCancel(context.Background())
		defer disconnect()
		read := time.Now()
		disconnected := func() bool {
			if time.Since(read) < 100*time.Millisecond {
				return false
			}
			checks.Add(1)
			// The check takes a while, in which other attempts go on.
			for range 1000 {
				runtime.Gosched()
			}
			disconnect()
			return true
		}
		s.backEnds.setHandler(func(_ context.Context, request gateway.BackEndRequest) forward.Outcome {
			time.Sleep(100 * time.Millisecond)
			if request.CallerGone() {
				return forward.Outcome{Kind: forward.Expired}
			}
			written.Add(1)
			return answered(request)
		})
		s.gateway.Serve(ctx, &gateway.Call{ID: "id", Host: "h", Path: "/all/x", CallerGone: disconnected})
		time.Sleep(time.Second)
		if written.Load() > 0 || checks.Load() != 1 {
			t.Errorf("%d attempts were written for a caller that had left, after %d checks; want none after one", written.Load(), checks.Load())
		}
	})
}

// TestAttemptOfAbandonedRequestIsNotWritten guards against attempts for a caller that has disconnected: its request was
// abandoned while an attempt was about to be written. Its connection is closed then, and can no longer tell that it is gone.
func TestAttemptOfAbandonedRequestIsNotWritten(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		var written atomic.Int64
		ctx, disconnect := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, disconnect)
		s.backEnds.setHandler(func(_ context.Context, request gateway.BackEndRequest) forward.Outcome {
			time.Sleep(100 * time.Millisecond)
			if request.CallerGone() {
				return forward.Outcome{Kind: forward.Expired}
			}
			written.Add(1)
			return answered(request)
		})
		result := s.gateway.Serve(ctx, &gateway.Call{ID: "id", Host: "h", Path: "/all/x", CallerGone: func() bool { return false }})
		time.Sleep(time.Second)
		if !result.CallerGone || written.Load() > 0 {
			t.Errorf("caller gone is %v with %d attempts written, want true with none", result.CallerGone, written.Load())
		}
	})
}
