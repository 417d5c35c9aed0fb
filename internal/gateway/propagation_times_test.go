package gateway_test

import (
	"testing"

	"stiletrail/internal/clock"
	"stiletrail/internal/gateway"
)

// What the waits for news go with, at most.
const (
	// callTime is a call to the store or to a peer and its answer, over a new connection to another region.
	callTime = 200 * clock.Ms(1)
	// backoffTime is the longest first pause after a call to the store that failed.
	backoffTime = 150 * clock.Ms(1)
	// checkInterval is the longest time until a node looks at what is due: among peers, and whether it still stands by.
	checkInterval = 200 * clock.Ms(1)
	// deliveryTime is a request that was decided before the news came and has not arrived yet.
	deliveryTime = 100 * clock.Ms(1)
)

// TestPropagationTimesWithinBound: the waits of each way that news takes add up to no more than the bound, with one call lost where a node asks for
// itself.
func TestPropagationTimesWithinBound(t *testing.T) {
	for bound := 2 * clock.Second; bound <= 20*clock.Second; bound += 100 {
		w := gateway.PropagationTimesWithin(bound)
		for path, total := range map[string]clock.Ms{
			"told by a peer":             w.AnnounceInterval + checkInterval + w.PeerRequestDelay + callTime + deliveryTime,
			"by itself":                  w.StaleAfter + checkInterval + callTime + deliveryTime,
			"by itself, one answer lost": w.StaleAfter + checkInterval + w.PollTimeout + backoffTime + callTime + deliveryTime,
		} {
			if total > w.Bound {
				t.Errorf("%s: news within %d ms takes %d", path, w.Bound, total)
			}
		}
		if w.AnnounceInterval+callTime > w.StaleAfter {
			t.Errorf("within %d ms: a copy is stale after %d ms, and confirmed every %d", bound, w.StaleAfter, w.AnnounceInterval)
		}
	}
}
