package gateway

import (
	"fmt"
	"slices"
	"testing"

	"stiletrail/internal/spread"
)

// TestTellTreeReachesEachNodeOnce: with any number of nodes, each that does not watch has one node above it in the tree of one watcher, which has it among
// those below, and nobody sends a large change to more than treeFanout.
func TestTellTreeReachesEachNodeOnce(t *testing.T) {
	for nodes := 7; nodes < 800; nodes += 1 + nodes/20 {
		var group []string
		for i := range nodes {
			group = append(group, fmt.Sprintf("10.0.%d.%d:1", i/250, i%250))
		}
		slices.Sort(group)
		watchers := spread.Watchers(group, 3)
		above := map[string]string{}
		give := func(from string, children []string) {
			if len(children) > treeFanout {
				t.Fatalf("%d nodes: %s sends to %d", nodes, from, len(children))
			}
			for _, child := range children {
				if other, found := above[child]; found {
					t.Fatalf("%d nodes: %s gets it of %s and %s", nodes, child, other, from)
				}
				above[child] = from
			}
		}
		for turn, watcher := range watchers {
			receivers := receiversOf(turn, group, watchers)
			give(watcher, receivers[:min(treeFanout, len(receivers))])
		}
		for _, node := range group {
			if !slices.Contains(watchers, node) {
				give(node, treePositionOf(node, group, watchers).children)
			}
		}
		for _, node := range group {
			if got := treePositionOf(node, group, watchers).parent; !slices.Contains(watchers, node) && (got == "" || got != above[node]) {
				t.Fatalf("%d nodes: %s expects it of %q, %q sends it", nodes, node, got, above[node])
			}
		}
	}
}
