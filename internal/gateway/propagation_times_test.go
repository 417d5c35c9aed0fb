package gateway_test

import (
	"testing"

	"stiletrail/internal/clock"
	"stiletrail/internal/gateway"
)

// These times pass in addition to the propagation times. Each is the longest that is expected.
const (
	// callTime is a call to the store or a peer with its answer, over a new connection to another region.
	callTime = 200 * clock.Ms(1)
	// backoffTime is the longest first pause after a failed call to the store.
	backoffTime = 150 * clock.Ms(1)
	// checkInterval is the longest time until a node checks what is due: what its peers announced, and whether it
	// still relies on watchers.
	checkInterval = 200 * clock.Ms(1)
	// deliveryTime is how long a request may still be on its way that was sent before the change arrived.
	deliveryTime = 100 * clock.Ms(1)
)

// TestPropagationTimesWithinBound checks that, on each path that a change can take, the times add up to no more than
// the bound. On the path on which the node asks the store itself, one answer may be lost.
func TestPropagationTimesWithinBound(t *testing.T) {
	for bound := 2 * clock.Second; bound <= 20*clock.Second; bound += 100 {
		w := gateway.PropagationTimesWithin(bound)
		for path, total := range map[string]clock.Ms{
			"announced by a peer":                  w.AnnounceInterval + checkInterval + w.PeerRequestDelay + callTime + deliveryTime,
			"node asks the store":                  w.StaleAfter + checkInterval + callTime + deliveryTime,
			"node asks the store, one answer lost": w.StaleAfter + checkInterval + w.PollTimeout + backoffTime + callTime + deliveryTime,
		} {
			if total > w.Bound {
				t.Errorf("%s: a change must arrive within %d ms and takes %d ms", path, w.Bound, total)
			}
		}
		if w.AnnounceInterval+callTime > w.StaleAfter {
			t.Errorf("bound of %d ms: a copy is stale after %d ms although it is confirmed only every %d ms", bound, w.StaleAfter, w.AnnounceInterval)
		}
	}
}
