package gateway_test

import (
	"slices"
	"testing"
	"time"

	"stiletrail/internal/gateway"
	"stiletrail/internal/spread"
)

// splitWatchers splits the nodes of a cluster of one region into those that watch the store and those that stand by.
func splitWatchers(nodes int) (watchers, others []int) {
	var addresses []string
	for i := range nodes {
		addresses = append(addresses, address(i))
	}
	chosen := spread.Watchers(addresses, 3)
	for i := range nodes {
		if slices.Contains(chosen, address(i)) {
			watchers = append(watchers, i)
		} else {
			others = append(others, i)
		}
	}
	return watchers, others
}

// TestFailingWatchers: nodes that stand by have a change of the configuration and the leaving of a back end in force within three
// seconds, whatever becomes of all that watch for them at that moment.
func TestFailingWatchers(t *testing.T) {
	for name, fail := range map[string]func(c *cluster, number int){
		"none":                     func(*cluster, int) {},
		"turned away by the store": func(c *cluster, number int) { c.stores[number].disconnected.Store(true) },
		"cut off from the others":  func(c *cluster, number int) { c.network.dropFrom(address(number)) },
		"ended":                    func(c *cluster, number int) { c.contexts[number](); c.network.dropFrom(address(number)) },
		"ended and started anew":   func(c *cluster, number int) { c.contexts[number](); c.start(number) },
		"of an older configuration": func(c *cluster, number int) {
			c.stores[number].disconnected.Store(true)
			c.network.dropFrom(address(number))
		},
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 12, func(t *testing.T, c *cluster) {
				watchers, others := splitWatchers(12)
				time.Sleep(20 * time.Second)
				for _, number := range watchers {
					fail(c, number)
				}
				c.store.put(configuration(2))
				removed := backEnd("s0", "-near", "zone")
				c.store.put(gateway.Item{Key: removed.Key, Deleted: true})
				time.Sleep(3 * time.Second)
				for _, number := range others {
					if g := c.gateways[number]; g.Version() != 2 || g.BackEndsKnown() != shards-1 {
						t.Errorf("node %d has version %d and %d back ends three seconds after the change", number, g.Version(), g.BackEndsKnown())
					}
				}
			})
		})
	}
}

// TestStoreCallsOfWatchers: of the nodes of a region three call the store, and a change costs three calls.
func TestStoreCallsOfWatchers(t *testing.T) {
	withCluster(t, 12, func(t *testing.T, c *cluster) {
		time.Sleep(20 * time.Second)
		before := c.store.callCount()
		for version := uint64(2); version < 12; version++ {
			c.store.put(configuration(version))
			time.Sleep(6 * time.Second)
		}
		// A minute of turns 0.9 s apart, and three calls for each of ten changes.
		if calls := c.store.callCount() - before; calls > 67+3*10+10 {
			t.Errorf("%d calls in a minute with ten changes", calls)
		}
	})
}
