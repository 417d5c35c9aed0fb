package gateway

import (
	"fmt"
	"slices"
	"testing"

	"stiletrail/internal/spread"
)

// TestTreeReachesEachNodeOnce checks the distribution tree for many numbers of nodes. Each node that does not watch
// has exactly one parent in the tree of one watcher, and the parent has it among its children. No node sends a large
// change to more than treeFanout others.
func TestTreeReachesEachNodeOnce(t *testing.T) {
	for nodes := 7; nodes < 800; nodes += 1 + nodes/20 {
		var group []string
		for i := range nodes {
			group = append(group, fmt.Sprintf("10.0.%d.%d:1", i/250, i%250))
		}
		slices.Sort(group)
		watchers := spread.Watchers(group, 3)
		parents := map[string]string{}
		send := func(from string, children []string) {
			if len(children) > treeFanout {
				t.Fatalf("%d nodes: %s sends to %d nodes, more than the fan-out", nodes, from, len(children))
			}
			for _, child := range children {
				if other, found := parents[child]; found {
					t.Fatalf("%d nodes: %s gets the change from both %s and %s", nodes, child, other, from)
				}
				parents[child] = from
			}
		}
		for turn, watcher := range watchers {
			receivers := receiversOf(turn, group, watchers)
			send(watcher, receivers[:min(treeFanout, len(receivers))])
		}
		for _, node := range group {
			if !slices.Contains(watchers, node) {
				send(node, treePositionOf(node, group, watchers).children)
			}
		}
		for _, node := range group {
			if got := treePositionOf(node, group, watchers).parent; !slices.Contains(watchers, node) && (got == "" || got != parents[node]) {
				t.Fatalf("%d nodes: %s expects the change from %q, but %q sends it", nodes, node, got, parents[node])
			}
		}
	}
}
