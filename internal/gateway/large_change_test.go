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
	largeConfiguration = 45 << 10
	smallLink          = 14_000_000 / 8
)

// bystanders are the nodes of a region among many that watchers tell of the store.
func bystanders(nodes, region int) (others []int) {
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

// TestLargeChangeLeavesRoomOnLinks: a large configuration is in force on hundreds of nodes soon, and no node fills its link with telling others of it: the
// requests of its callers go over the same link, and wait behind what is there.
func TestLargeChangeLeavesRoomOnLinks(t *testing.T) {
	const nodes = 300
	synctest.Test(t, func(t *testing.T) {
		c, sent := startMany(nodes, &fakeBackEnds{})
		c.store.set(func(s *fakeStore) { s.padding = largeConfiguration })
		c.store.put(configuration(1))
		time.Sleep(41 * time.Second)
		for version := uint64(2); version < 5; version++ {
			sent.busiest()
			c.store.put(configuration(version))
			time.Sleep(3 * time.Second)
			room := int(smallLink * trafficWindow / time.Second)
			most := sent.busiest()
			t.Logf("a node sends %d bytes in %v at most", most, trafficWindow)
			if most > room/2 {
				t.Errorf("a node sends %d bytes in %v, a small link carries %d", most, trafficWindow, room)
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

// TestLargeChangeIsPassedOnSoon: nodes that pass a large configuration on do so at once: all have it in force before any would ask for it by itself.
func TestLargeChangeIsPassedOnSoon(t *testing.T) {
	const nodes, ways = 300, 5
	synctest.Test(t, func(t *testing.T) {
		c, _ := startMany(nodes, &fakeBackEnds{})
		c.store.set(func(s *fakeStore) { s.padding = largeConfiguration })
		c.store.put(configuration(1))
		time.Sleep(41 * time.Second)
		for version := uint64(2); version < 8; version++ {
			c.store.put(configuration(version))
			first := 0
			for ; first == 0; time.Sleep(time.Millisecond) {
				first = c.inForce(version, bystanders(nodes, 0))
			}
			time.Sleep(ways * c.network.delay)
			// A watcher's own watch may end later than the others': its part of the region has it one turn after.
			if third := len(bystanders(nodes, 0)) / 3; c.inForce(version, bystanders(nodes, 0)) < third-1 {
				t.Errorf("%d nodes have version %d in force %v after the first, a watcher tells %d", c.inForce(version, bystanders(nodes, 0)), version, ways*c.network.delay, third)
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

// TestLargeChangeWithoutThoseThatPassItOn: all nodes of a region have a large configuration in force in time where many of those fall silent that are to pass it
// on.
func TestLargeChangeWithoutThoseThatPassItOn(t *testing.T) {
	const nodes = 150
	for _, step := range []int{2, 3, 5} {
		t.Run(fmt.Sprint("one in ", step), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, _ := startMany(nodes, &fakeBackEnds{})
				c.store.set(func(s *fakeStore) { s.padding = largeConfiguration })
				c.store.put(configuration(1))
				time.Sleep(41 * time.Second)
				others := bystanders(nodes, 0)
				for i := 0; i < len(others); i += step {
					c.network.silence(address(others[i]))
				}
				c.store.put(configuration(2))
				gone := backEnd("s0", "-near", "zone-0")
				c.store.put(gone)
				c.store.put(gateway.Item{Key: gone.Key, Deleted: true})
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
