package gateway_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"stiletrail/internal/gateway"
	"stiletrail/internal/spread"
)

// largeConfiguration is the size in bytes of the configuration of a large deployment. smallLinkBytesPerSecond is the
// capacity of the network link of a small machine.
const (
	largeConfiguration      = 45 << 10
	smallLinkBytesPerSecond = 14_000_000 / 8
)

// nonWatchers returns the numbers of a region's nodes that do not watch the store. The region's watchers announce
// changes to them.
func nonWatchers(nodes, region int) (others []int) {
	var addresses []string
	for i := region; i < nodes; i += trafficRegions {
		addresses = append(addresses, address(i))
	}
	watchers := spread.Watchers(addresses, 3)
	for i := region; i < nodes; i += trafficRegions {
		if !slices.Contains(watchers, address(i)) {
			others = append(others, i)
		}
	}
	return others
}

// TestLargeChangeLeavesLinkCapacity guards against a node that fills its network link with a large configuration for
// its peers, so that its callers' requests wait behind it on the same link. The configuration must still be in force
// on hundreds of nodes soon.
func TestLargeChangeLeavesLinkCapacity(t *testing.T) {
	const nodes = 300
	synctest.Test(t, func(t *testing.T) {
		c, sent := startNodes(nodes, &fakeBackEnds{})
		c.store.update(func(s *fakeStore) { s.padding = largeConfiguration })
		c.store.put(configuration(1))
		time.Sleep(41 * time.Second)
		for version := uint64(2); version < 5; version++ {
			sent.takeBusiest()
			c.store.put(configuration(version))
			time.Sleep(3 * time.Second)
			capacity := int(smallLinkBytesPerSecond * trafficWindow / time.Second)
			busiest := sent.takeBusiest()
			t.Logf("the busiest node sends %d bytes in %v", busiest, trafficWindow)
			if busiest > capacity/2 {
				t.Errorf("a node sends %d bytes in %v, at most half of the %d bytes that a small link carries were expected", busiest, trafficWindow, capacity)
			}
			for number, g := range c.gateways {
				if g.Version() != version {
					t.Errorf("node %d has version %d in force three seconds after version %d was put", number, g.Version(), version)
				}
			}
		}
		c.stop()
	})
}

// TestLargeChangeIsForwardedAtOnce checks that nodes forward a large configuration at once: it is in force on all
// nodes before any of them would ask a peer for it.
func TestLargeChangeIsForwardedAtOnce(t *testing.T) {
	const nodes, hops = 300, 5
	synctest.Test(t, func(t *testing.T) {
		c, _ := startNodes(nodes, &fakeBackEnds{})
		c.store.update(func(s *fakeStore) { s.padding = largeConfiguration })
		c.store.put(configuration(1))
		time.Sleep(41 * time.Second)
		for version := uint64(2); version < 8; version++ {
			c.store.put(configuration(version))
			first := 0
			for ; first == 0; time.Sleep(time.Millisecond) {
				first = c.inForce(version, nonWatchers(nodes, 0))
			}
			time.Sleep(hops * c.network.delay)
			// A watcher's own watch may end later than those of the other watchers. Its share of the region then has
			// the change one turn later.
			if perWatcher := len(nonWatchers(nodes, 0)) / 3; c.inForce(version, nonWatchers(nodes, 0)) < perWatcher-1 {
				t.Errorf("%d nodes have version %d in force %v after the first node, want about the %d that one watcher announces it to", c.inForce(version, nonWatchers(nodes, 0)), version, hops*c.network.delay, perWatcher)
			}
			time.Sleep(3 * time.Second)
		}
		c.stop()
	})
}

// inForce counts the nodes that have a version in force.
func (c *cluster) inForce(version uint64, numbers []int) (count int) {
	for _, number := range numbers {
		if c.gateways[number].Version() == version {
			count++
		}
	}
	return count
}

// TestLargeChangeWithSilentForwarders checks that a large configuration is in force on all nodes of a region in time
// although many of the nodes that should forward it send nothing.
func TestLargeChangeWithSilentForwarders(t *testing.T) {
	const nodes = 150
	for _, step := range []int{2, 3, 5} {
		t.Run(fmt.Sprint("one in ", step), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, _ := startNodes(nodes, &fakeBackEnds{})
				c.store.update(func(s *fakeStore) { s.padding = largeConfiguration })
				c.store.put(configuration(1))
				time.Sleep(41 * time.Second)
				others := nonWatchers(nodes, 0)
				for i := 0; i < len(others); i += step {
					c.network.dropFrom(address(others[i]))
				}
				c.store.put(configuration(2))
				removed := backEnd("s0", "-near", "zone-0")
				c.store.put(removed)
				c.store.put(gateway.Item{Key: removed.Key, Deleted: true})
				time.Sleep(3 * time.Second)
				for _, number := range others {
					if g := c.gateways[number]; g.Version() != 2 || g.BackEndsKnown() != 0 {
						t.Errorf("node %d has version %d and %d back ends three seconds after the change, want version 2 and none", number, g.Version(), g.BackEndsKnown())
					}
				}
				c.stop()
			})
		})
	}
}
