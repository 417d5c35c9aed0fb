package limit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"stiletrail/internal/limit"
)

// TestSlidingBudgetSumsOverNodes: over any window, what all nodes spend is within the share of what all nodes were asked,
// counted in that window and the one before it, also when nodes are restarted with empty budgets.
func TestSlidingBudgetSumsOverNodes(t *testing.T) {
	const share, window = 0.2, 10 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		nodes := make([]limit.SlidingBudget, rapid.IntRange(1, 6).Draw(rt, "nodes"))
		for i := range nodes {
			nodes[i] = limit.NewSlidingBudget(share, window)
		}
		type event struct {
			at      time.Duration
			request bool
		}
		var events []event
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(rt, "pass")) * time.Millisecond
			node := rapid.IntRange(0, len(nodes)-1).Draw(rt, "node")
			switch rapid.IntRange(0, 9).Draw(rt, "what") {
			case 0:
				nodes[node] = limit.NewSlidingBudget(share, window)
			case 1, 2, 3, 4:
				if nodes[node].Spend(now, 0, 0) {
					events = append(events, event{now, false})
				}
			default:
				nodes[node].Request(now, 1)
				events = append(events, event{now, true})
			}
		}
		for _, last := range events {
			extras, requests := 0, 0
			for _, e := range events {
				if !e.request && e.at > last.at-window && e.at <= last.at {
					extras++
				}
				if e.request && e.at > last.at-2*window && e.at <= last.at {
					requests++
				}
			}
			if float64(extras) > share*float64(requests) {
				rt.Fatalf("%d extra attempts for %d requests in the window up to %v", extras, requests, last.at)
			}
		}
	})
}

// TestSlidingBudget: empty at the start, a part kept back for urgent uses, and free again when the window has passed.
func TestSlidingBudget(t *testing.T) {
	budget := limit.NewSlidingBudget(0.2, 10*time.Second)
	if budget.Spend(0, 0, 0) {
		t.Error("spent before any request")
	}
	budget.Request(0, 50)
	for budget.Spend(0, 0.5, 0) {
		continue
	}
	if left := budget.Left(0, 0); left != 5 {
		t.Errorf("%v left, 5 were kept back of 10", left)
	}
	for budget.Spend(0, 0, 0) {
		continue
	}
	budget.Request(9*time.Second, 10)
	if budget.Left(9*time.Second, 0) != 2 {
		t.Errorf("%v left of 12 with 10 spent", budget.Left(9*time.Second, 0))
	}
	if budget.Left(10*time.Second, 0) != 2 {
		t.Errorf("%v left after the first requests left the window", budget.Left(10*time.Second, 0))
	}
}
