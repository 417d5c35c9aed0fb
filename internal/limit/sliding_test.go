package limit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"stiletrail/internal/limit"
)

// TestSlidingBudgetSumsOverNodes checks that in any window the extra attempts of all nodes stay within the share of
// the requests of that window and the one before, also when nodes restart with empty budgets.
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
				nodes[node].CountRequests(now, 1)
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
				rt.Fatalf("%d extra attempts for %d requests in the window up to %v, want at most a share of 0.2", extras, requests, last.at)
			}
		}
	})
}

// TestSlidingBudgetWithinOneWindow checks that whenever one node spends, its extra attempts in the window up to then
// are within the share of its requests in the same window, however unevenly requests arrive.
func TestSlidingBudgetWithinOneWindow(t *testing.T) {
	const share, window = 0.2, 10 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		budget := limit.NewSlidingBudget(share, window)
		var requests, extras []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pass")) * time.Millisecond
			for range rapid.IntRange(0, 50).Draw(rt, "requests") {
				budget.CountRequests(now, 1)
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 50).Draw(rt, "extras") {
				if !budget.Spend(now, 0, 0) {
					break
				}
				extras = append(extras, now)
				if spent, asked := countAfter(extras, now-window), countAfter(requests, now-window); float64(spent) > share*float64(asked) {
					rt.Fatalf("%d extra attempts for %d requests in the window up to %v, want at most a share of 0.2", spent, asked, now)
				}
			}
		}
	})
}

// TestExtrasCountForWholeWindow checks that extra attempts stay counted for a whole window. They were once dropped as
// soon as the part of the window in which they were sent had ended, which allowed twice the budget in one window.
func TestExtrasCountForWholeWindow(t *testing.T) {
	budget := limit.NewSlidingBudget(0.2, 10*time.Second)
	for at := range 10 {
		budget.CountRequests(time.Duration(at)*time.Second, 10)
	}
	const spentAt = 9900 * time.Millisecond
	for budget.Spend(spentAt, 0, 0) {
		continue
	}
	for at := 10; at < 20; at++ {
		budget.CountRequests(time.Duration(at)*time.Second, 10)
	}
	if budget.Spend(spentAt+9500*time.Millisecond, 0, 0) {
		t.Error("20 extra attempts for 100 requests were spent 9.5 s ago, and one more was allowed, want none")
	}
	if !budget.Spend(spentAt+11*time.Second, 0, 0) {
		t.Error("20 extra attempts for 100 requests were spent 11 s ago, and none was allowed, want one")
	}
}

func countAfter(moments []time.Duration, after time.Duration) int {
	count := 0
	for _, moment := range moments {
		if moment > after {
			count++
		}
	}
	return count
}

// TestSlidingBudget checks that a budget is empty at the start, leaves the reserved part, and is free again once a
// window has passed.
func TestSlidingBudget(t *testing.T) {
	budget := limit.NewSlidingBudget(0.2, 10*time.Second)
	if budget.Spend(0, 0, 0) {
		t.Error("an extra attempt was allowed before any request, want none")
	}
	budget.CountRequests(0, 50)
	for budget.Spend(0, 0.5, 0) {
		continue
	}
	if left := budget.Remaining(0, 0); left != 5 {
		t.Errorf("%v extra attempts left, want the 5 reserved of 10", left)
	}
	for budget.Spend(0, 0, 0) {
		continue
	}
	budget.CountRequests(9*time.Second, 10)
	if budget.Remaining(9*time.Second, 0) != 2 {
		t.Errorf("%v extra attempts left, want 2 of 12 with 10 spent", budget.Remaining(9*time.Second, 0))
	}
	if budget.Remaining(10*time.Second, 0) != 0 {
		t.Errorf("%v extra attempts left, want 0 while the spent ones may still be in the window", budget.Remaining(10*time.Second, 0))
	}
	if budget.Remaining(11*time.Second, 0) != 2 {
		t.Errorf("%v extra attempts left, want 2 after the spent ones left the window", budget.Remaining(11*time.Second, 0))
	}
}
