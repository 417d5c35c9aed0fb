package gateway_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"stiletrail/internal/gateway"
	"stiletrail/internal/settings"
)

// TestCallerThatLeftIsNotServed: a caller that leaves while its request waits for what a starting node does not know yet costs no back end anything.
func TestCallerThatLeftIsNotServed(t *testing.T) {
	for name, c := range map[string]struct{ listing, entries time.Duration }{
		"before the first listing": {listing: 300 * time.Millisecond},
		"before back ends return":  {listing: 5 * time.Millisecond, entries: 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, backEnds := newStore(), &fakeBackEnds{answer: after(10 * time.Millisecond)}
				store.put(configuration(1))
				loaded := settings.DefaultGateway()
				loaded.Zone, loaded.StartingHold = "zone", 2*time.Second
				g := gateway.New(gateway.FromSettings(loaded), backEnds, store, silentJournal{})
				ctx, cancel := context.WithCancel(context.Background())
				time.AfterFunc(c.entries, func() {
					for i := range shards {
						store.put(backEnd(fmt.Sprint("s", i), "-1", "zone"))
					}
				})
				time.AfterFunc(c.listing, func() { g.Run(ctx) })
				time.Sleep(10 * time.Millisecond)
				caller, leave := context.WithCancel(ctx)
				time.AfterFunc(100*time.Millisecond, leave)
				result := g.Serve(caller, &gateway.Call{ID: "id", Host: "h", Path: "/all/x"})
				if !result.Gone || result.Elapsed > 150*time.Millisecond {
					t.Errorf("gone %v after %v: %+v", result.Gone, result.Elapsed, result.Answer)
				}
				time.Sleep(2 * time.Second)
				if sent := backEnds.sent(); len(sent) > 0 {
					t.Errorf("%d attempts for a caller that has left", len(sent))
				}
				cancel()
				time.Sleep(10 * time.Second)
				synctest.Wait()
			})
		})
	}
}
