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

// A configuration of a large deployment, and what the link of a small machine carries in a window, in bytes.
const (
	largeConfiguration      = 45 << 10
	smallLinkBytesPerSecond = 14_000_000 / 8
)

// nonWatchers are the nodes of a region among many that watchers tell of the store.
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

// TestLargeChangeLeavesLinkCapacity: a large configuration is in force on hundreds of nodes soon, and no node fills its link with telling others of it: the
// sentAt of its callers go over the same link, and wait behind what is there.
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
			t.Logf("a node sends %d bytes in %v at most", busiest, trafficWindow)
			if busiest > capacity/2 {
				t.Errorf("a node sends %d bytes in %v, a small link carries %d", busiest, trafficWindow, capacity)
			}
			for number, g := range c.gateways {
				if g.Version() != version {
					t.Errorf("node %d has version %d three seconds after %d", number, g.Version(), version)
				}
			}
		}
		c.stop()
	})
}

// TestLargeChangeIsForwardedAtOnce: nodes that pass a large configuration on do so at once: all have it in force before any would ask for it by itself.
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
			// A watcher's own watch may end later than the others': its part of the region has it one turn after.
			if perWatcher := len(nonWatchers(nodes, 0)) / 3; c.inForce(version, nonWatchers(nodes, 0)) < perWatcher-1 {
				t.Errorf("%d nodes have version %d in force %v after the first, a watcher tells %d", c.inForce(version, nonWatchers(nodes, 0)), version, hops*c.network.delay, perWatcher)
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

// TestLargeChangeWithSilentForwarders: all nodes of a region have a large configuration in force in time where many of those fall silent that are to pass it
// on.
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
						t.Errorf("node %d has version %d and %d back ends three seconds after the change", number, g.Version(), g.BackEndsKnown())
					}
				}
				c.stop()
			})
		})
	}
}
