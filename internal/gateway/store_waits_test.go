package gateway_test

import (
	"testing"

	"stiletrail/internal/clock"
	"stiletrail/internal/gateway"
)

// What the waits for news go with, at most.
const (
	// answered is a call to the store or to a peer and its answer, over a new connection to another region.
	answered = 200 * clock.Ms(1)
	// backedOff is the longest first pause after a call to the store that failed.
	backedOff = 150 * clock.Ms(1)
	// noticed is the longest time until a node looks at what is due: among peers, and whether it still stands by.
	noticed = 200 * clock.Ms(1)
	// inFlight is a request that was decided before the news came and has not arrived yet.
	inFlight = 100 * clock.Ms(1)
)

// TestWaitsStayWithinTheBound: the waits of each way that news takes add up to no more than the bound, with one call lost where a node asks for
// itself.
func TestWaitsStayWithinTheBound(t *testing.T) {
	for bound := 2 * clock.Second; bound <= 20*clock.Second; bound += 100 {
		w := gateway.PropagationTimesWithin(bound)
		for way, takes := range map[string]clock.Ms{
			"told by a peer":             w.AnnounceInterval + noticed + w.PeerRequestDelay + answered + inFlight,
			"by itself":                  w.StaleAfter + noticed + answered + inFlight,
			"by itself, one answer lost": w.StaleAfter + noticed + w.PollTimeout + backedOff + answered + inFlight,
		} {
			if takes > w.Bound {
				t.Errorf("%s: news within %d ms takes %d", way, w.Bound, takes)
			}
		}
		if w.AnnounceInterval+answered > w.StaleAfter {
			t.Errorf("within %d ms: a copy is stale after %d ms, and confirmed every %d", bound, w.StaleAfter, w.AnnounceInterval)
		}
	}
}
