package gateway_test

import (
	"slices"
	"testing"
	"time"

	"stiletrail/internal/gateway"
	"stiletrail/internal/spread"
)

// splitWatchers divides the nodes of a cluster in one region into those that watch the store and those that do not.
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

// TestFailingWatchers checks that a node that does not watch the store itself has a change in force within three
// seconds, whatever happens at that moment to all nodes that watch for it. The change is a configuration and the
// removal of a back end.
func TestFailingWatchers(t *testing.T) {
	for name, fail := range map[string]func(c *cluster, number int){
		"no failure":                            func(*cluster, int) {},
		"watchers lose access to the store":     func(c *cluster, number int) { c.stores[number].disconnected.Store(true) },
		"watchers are cut off from their peers": func(c *cluster, number int) { c.network.dropFrom(address(number)) },
		"watchers stop":                         func(c *cluster, number int) { c.contexts[number](); c.network.dropFrom(address(number)) },
		"watchers restart":                      func(c *cluster, number int) { c.contexts[number](); c.start(number) },
		"watchers lose the store and their peers": func(c *cluster, number int) {
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

// TestStoreCallsOfWatchers checks that three nodes of a region call the store, and that a change costs three calls.
func TestStoreCallsOfWatchers(t *testing.T) {
	withCluster(t, 12, func(t *testing.T, c *cluster) {
		time.Sleep(20 * time.Second)
		before := c.store.callCount()
		for version := uint64(2); version < 12; version++ {
			c.store.put(configuration(version))
			time.Sleep(6 * time.Second)
		}
		// The bound allows a minute of store polls 0.9 s apart, three calls for each of ten changes, and ten more.
		if calls := c.store.callCount() - before; calls > 67+3*10+10 {
			t.Errorf("%d store calls in a minute with ten changes, more than allowed", calls)
		}
	})
}
