package gateway_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"stiletrail/internal/forward"
	"stiletrail/internal/gateway"
	"stiletrail/internal/settings"
)

// TestDisconnectedCallerIsNotServed guards against attempts for a caller that is gone: its request waits at a
// starting node that does not know the store yet, and the caller disconnects meanwhile.
func TestDisconnectedCallerIsNotServed(t *testing.T) {
	for name, c := range map[string]struct{ listing, entries time.Duration }{
		"before the first listing":        {listing: 300 * time.Millisecond},
		"before back ends register again": {listing: 5 * time.Millisecond, entries: 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, backEnds := newStore(), &fakeBackEnds{handler: answerAfter(10 * time.Millisecond)}
				store.put(configuration(1))
				loaded := settings.DefaultGateway()
				loaded.Zone, loaded.StartingHold = "zone", 2*time.Second
				g := gateway.New(gateway.FromSettings(loaded), backEnds, store, discardLog{})
				ctx, cancel := context.WithCancel(context.Background())
				time.AfterFunc(c.entries, func() {
					for i := range shards {
						store.put(backEnd(fmt.Sprint("s", i), "-1", "zone"))
					}
				})
				time.AfterFunc(c.listing, func() { g.Run(ctx) })
				time.Sleep(10 * time.Millisecond)
				caller, disconnect := context.WithCancel(ctx)
				time.AfterFunc(100*time.Millisecond, disconnect)
				result := g.Serve(caller, &gateway.Call{ID: "id", Host: "h", Path: "/all/x"})
				if !result.CallerGone || result.Elapsed > 150*time.Millisecond {
					t.Errorf("caller gone is %v after %v, want true within 150 ms: %+v", result.CallerGone, result.Elapsed, result.Answer)
				}
				time.Sleep(2 * time.Second)
				if sent := backEnds.sentRequests(); len(sent) > 0 {
					t.Errorf("%d attempts were sent for a caller that had disconnected, want none", len(sent))
				}
				cancel()
				time.Sleep(10 * time.Second)
				synctest.Wait()
			})
		})
	}
}

// TestServesAgainAfterAPause guards against a node that goes on refusing requests as too late to be answered. It was
// paused for nearly as long as callers wait, and all latencies that it knows of its back ends were measured during
// that pause.
func TestServesAgainAfterAPause(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		const callerTimeout = 2 * time.Second
		sendSearch := func() gateway.Result {
			return s.gateway.Serve(context.Background(), &gateway.Call{ID: "id", Host: "h", Path: "/all/x", Deadline: time.Now().Add(callerTimeout)})
		}
		// When the node resumes, the answers have arrived and the time of the requests is over.
		s.backEnds.setHandler(func(_ context.Context, request gateway.BackEndRequest) forward.Outcome {
			time.Sleep(callerTimeout + 100*time.Millisecond)
			return answered(request)
		})
		var callers sync.WaitGroup
		for range 8 {
			// More requests than one back end of each shard has capacity for.
			callers.Go(func() { sendSearch() })
		}
		callers.Wait()
		time.Sleep(200 * time.Millisecond)
		s.backEnds.setHandler(answerAfter(20 * time.Millisecond))
		refused := 0
		for range 40 {
			if result := sendSearch(); result.Failure != nil {
				refused++
			}
			time.Sleep(100 * time.Millisecond)
		}
		if maximumRefused := 21; refused > maximumRefused {
			t.Errorf("%d of 40 requests in four seconds were refused, at most %d were expected", refused, maximumRefused)
		}
		if result := sendSearch(); result.Failure != nil {
			t.Errorf("a request after the recovery was refused: %+v", result.Failure)
		}
	})
}
