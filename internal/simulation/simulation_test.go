package simulation

import (
	"os"
	"strconv"
	"testing"
	"time"
)

// seedsInCI is the number of random fault schedules that one run of the tests covers. "make simulate" covers more.
const seedsInCI = 40

func seeds(t *testing.T) (first, count uint64) {
	t.Helper()
	if text := os.Getenv("SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatalf("SEED: %v", err)
		}
		return seed, 1
	}
	if text := os.Getenv("SEEDS"); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatalf("SEEDS: %v", err)
		}
		return 1, number
	}
	return 1, seedsInCI
}

// TestRandomSchedules runs a cluster under random fault schedules and checks every invariant of the Checker.
// A failing seed is replayed with SEED=n.
func TestRandomSchedules(t *testing.T) {
	first, count := seeds(t)
	for seed := first; seed < first+count; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			schedule := DrawSchedule(seed)
			result := RunSchedule(schedule)
			checker := result.Checker
			t.Logf("missing shards by reason %v, sends to draining back ends without a drain signal %d", checker.Reasons, checker.UninformedSends)
			t.Logf("steps %d, faults %d, searches %d (%d complete, %d partial, %d refused, %d failed), executions %d (%d unknown), accepted %d, conflicts %d",
				result.Steps, result.Faults, checker.Searches, checker.Complete, checker.Partial, checker.Refusals, checker.Failures,
				checker.Executions, checker.Unknown, checker.Accepted, checker.Conflicts)
			if len(checker.Violations) > 0 {
				t.Errorf("seed %d: %d violations, replay with SEED=%d make simulate", seed, len(checker.Violations), seed)
				for _, violation := range checker.Violations[:min(len(checker.Violations), 5)] {
					t.Error(violation)
				}
				for _, fault := range schedule.Faults {
					t.Log(fault)
				}
			}
		})
	}
}

// TestNoFaults checks that every search is complete while no fault occurs.
func TestNoFaults(t *testing.T) {
	result := RunSchedule(Schedule{Seed: 1, Length: 25 * time.Second, Searches: 50})
	checker := result.Checker
	t.Log(checker.Searches, checker.Complete, checker.Partial, checker.Refusals, checker.Failures, checker.Reasons)
	if checker.Complete != checker.Searches || len(checker.Violations) > 0 {
		t.Errorf("without faults %d of %d searches are complete, want all; violations %v", checker.Complete, checker.Searches, checker.Violations)
	}
}

// TestSingleFaults injects three faults of one kind into each run, for every kind of fault.
func TestSingleFaults(t *testing.T) {
	for _, kind := range Kinds() {
		t.Run(kind.String(), func(t *testing.T) {
			t.Parallel()
			schedule := Schedule{Seed: 7, Length: 25 * time.Second, Searches: 50}
			for i := range 3 {
				at := time.Duration(6+6*i) * time.Second
				schedule.Faults = append(schedule.Faults, Fault{At: at, Kind: kind, Selector: 13 * i, Length: 4 * time.Second})
			}
			checker := RunSchedule(schedule).Checker
			t.Log(kind, checker.Searches, checker.Complete, checker.Partial, checker.Refusals, checker.Failures, checker.Reasons)
			for _, violation := range checker.Violations {
				t.Error(violation)
			}
		})
	}
}

// TestSameSeedSameTrace checks that a run is deterministic: two runs with one seed have the same events. Without that, a failing
// seed could not be replayed.
func TestSameSeedSameTrace(t *testing.T) {
	for _, seed := range []uint64{3, 17} {
		first, second := RunSchedule(DrawSchedule(seed)), RunSchedule(DrawSchedule(seed))
		if first.Trace != second.Trace || first.Steps != second.Steps {
			t.Errorf("seed %d: two runs differ: traces %x and %x, steps %d and %d", seed, first.Trace, second.Trace, first.Steps, second.Steps)
		}
	}
}

// TestTimeNeverGoesBack checks that an engine panics when it is called with an earlier time than before. Time-outs and bounds
// rely on a monotonic clock.
func TestTimeNeverGoesBack(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("the engine accepted an earlier time than before, want a panic")
		}
	}()
	w := New(SmallOptions(1))
	n := w.nodes[w.live[0]]
	w.Run(time.Second)
	n.engine.Tick(0)
}
