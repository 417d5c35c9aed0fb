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

// TestDisconnectedCallerIsNotServed: a caller that leaves while its request waits for what a starting node does not know yet costs no back end anything.
func TestDisconnectedCallerIsNotServed(t *testing.T) {
	for name, c := range map[string]struct{ listing, entries time.Duration }{
		"before the first listing": {listing: 300 * time.Millisecond},
		"before back ends return":  {listing: 5 * time.Millisecond, entries: 300 * time.Millisecond},
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
					t.Errorf("gone %v after %v: %+v", result.CallerGone, result.Elapsed, result.Answer)
				}
				time.Sleep(2 * time.Second)
				if sent := backEnds.sentRequests(); len(sent) > 0 {
					t.Errorf("%d attempts for a caller that has left", len(sent))
				}
				cancel()
				time.Sleep(10 * time.Second)
				synctest.Wait()
			})
		})
	}
}

// TestServesAgainAfterAPause: where all that a node knows of how long its back ends take was learned while it stood still, for nearly as long as callers wait, it does not go on
// to refuse requests as too late to be answered.
func TestServesAgainAfterAPause(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		const callerTimeout = 2 * time.Second
		request := func() gateway.Result {
			return s.gateway.Serve(context.Background(), &gateway.Call{ID: "id", Host: "h", Path: "/all/x", Deadline: time.Now().Add(callerTimeout)})
		}
		// The answers are there when the node goes on, as is the end of the request's time.
		s.backEnds.setHandler(func(_ context.Context, send gateway.BackEndRequest) forward.Outcome {
			time.Sleep(callerTimeout + 100*time.Millisecond)
			return answered(send)
		})
		var callers sync.WaitGroup
		for range 8 {
			// More than one back end of each shard has room for.
			callers.Go(func() { request() })
		}
		callers.Wait()
		time.Sleep(200 * time.Millisecond)
		s.backEnds.setHandler(answerAfter(20 * time.Millisecond))
		refused := 0
		for range 40 {
			if result := request(); result.Failure != nil {
				refused++
			}
			time.Sleep(100 * time.Millisecond)
		}
		if maximumRefused := 21; refused > maximumRefused {
			t.Errorf("%d of 40 requests in four seconds were refused, at most %d were expected", refused, maximumRefused)
		}
		if result := request(); result.Failure != nil {
			t.Errorf("afterwards: %+v", result.Failure)
		}
	})
}
