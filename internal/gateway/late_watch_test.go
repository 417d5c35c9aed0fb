package gateway_test

import (
	"slices"
	"testing"
	"time"

	"stiletrail/internal/gateway"
)

// TestLateWatchIsNotAnnounced guards against copies of the store that miss changes for good: a watcher announced an
// answer of the store that arrived after its peers had brought later changes, and named the revision of those. Its
// receivers took themselves for up to date. Here they hear of the changes from that watcher alone.
func TestLateWatchIsNotAnnounced(t *testing.T) {
	const nodes = 12
	for name, restored := range map[string]bool{"changes of the same era": false, "the store is restored meanwhile": true} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, nodes, func(t *testing.T, c *cluster) {
				late, receivers := watcherWithReceivers(nodes)
				c.network.partition(func(from, to string) bool { return from != address(late) && slices.Contains(receivers, to) })
				removed, backup := backEnd("s0", "-near", "zone"), c.store.backup()
				c.stores[late].watchDelay.Store(int64(800 * time.Millisecond))
				c.store.put(configuration(2))
				time.Sleep(300 * time.Millisecond)
				if restored {
					c.store.restore(backup)
				}
				c.store.put(gateway.Item{Key: removed.Key, Deleted: true})
				time.Sleep(4 * time.Second)
				c.stores[late].watchDelay.Store(0)
				c.network.partition(nil)
				time.Sleep(4 * time.Second)
				for number, g := range c.gateways {
					if g.BackEndsKnown() != shards-1 {
						t.Errorf("node %d knows %d back ends eight seconds after the entry of one was deleted, want %d", number, g.BackEndsKnown(), shards-1)
					}
				}
			})
		})
	}
}

// watcherWithReceivers returns a watcher of a cluster in one region, and the addresses of the nodes that it announces
// changes to.
func watcherWithReceivers(nodes int) (watcher int, receivers []string) {
	var addresses []string
	for i := range nodes {
		addresses = append(addresses, address(i))
	}
	slices.Sort(addresses)
	watchers := watchersOf(nodes)
	for i, other := range addresses {
		if i%len(watchers) == 0 && !slices.Contains(watchers, other) {
			receivers = append(receivers, other)
		}
	}
	for number := range nodes {
		if address(number) == watchers[0] {
			watcher = number
		}
	}
	return watcher, receivers
}
