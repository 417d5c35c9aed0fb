package replica_test

import (
	"testing"
	"time"

	"stiletrail/internal/replica"
)

// startedAt is an entry of a back end with the Unix millisecond of its start.
func startedAt(id string, start int64) replica.Entry {
	e := entry(id, "a1")
	e.StartedAt = start
	return e
}

// leaving is an entry that says that the back end leaves.
func leaving(e replica.Entry) replica.Entry {
	e.Draining = true
	return e
}

// TestStartedAgain: a back end that drained and starts again under its id is another one, and is picked.
func TestStartedAgain(t *testing.T) {
	set := newSet(startedAt("x", 1000))
	set.Put(0, leaving(startedAt("x", 1000)))
	if set.Put(time.Minute, startedAt("x", 61_000)); picked(set, time.Minute) != "x" {
		t.Error("the second start is not picked")
	}
}

// TestNothingOutlivesAStart: what was met at an earlier start says nothing of the next one, and what is still under way there does not count at it.
func TestNothingOutlivesAStart(t *testing.T) {
	set := newSet(startedAt("x", 1000))
	before := set.Get("x")
	run(set, 0, "x", 3*time.Second, replica.Answered)
	for range 4 {
		run(set, 3*time.Second, "x", 0, replica.Failed)
	}
	before.RecordLoad(3*time.Second, replica.Load{Reported: true, Slots: 1, Slowdown: 9})
	before.FinishAttempt(3*time.Second, 3*time.Second, replica.Misdirected)
	before.StartAttempt(3 * time.Second)

	now := 4 * time.Second
	set.Put(now, startedAt("x", 2000))
	after := set.Get("x")
	if after == before {
		t.Fatal("the second start is the same replica")
	}
	if after.InFlight() != 0 || after.AverageLatency() != 0 || after.MinimumLatency() != 0 || after.Ejected(now) || after.Doubtful() || after.Cold(now) {
		t.Errorf("of the earlier start: %d under way, latency %v, floor %v, ejected %v", after.InFlight(), after.AverageLatency(), after.MinimumLatency(), after.Ejected(now))
	}
	if slowdown, faults := after.Health(now); slowdown != 1 || faults != 0 {
		t.Errorf("slowdown %v and faults %v of the earlier start", slowdown, faults)
	}
	before.FinishAttempt(now, 3*time.Second, replica.Unreachable)
	if after.Ejected(now) || picked(set, now) != "x" {
		t.Error("the end of an attempt at the earlier start counts at the next one")
	}
}

// TestReportOfAnEarlierStart: what another node met at an earlier start is not taken for the next one.
func TestReportOfAnEarlierStart(t *testing.T) {
	set := newSet(startedAt("x", 1000))
	earlier := set.Get("x").Key()
	set.Put(time.Second, startedAt("x", 2000))
	set.RecordReport(2*time.Second, earlier, 9, 1, 2*time.Second)
	if slowdown, faults := set.Get("x").Health(2 * time.Second); slowdown != 1 || faults != 0 {
		t.Errorf("slowdown %v and faults %v by a report of the earlier start", slowdown, faults)
	}
	if set.Get("x").Key() == earlier {
		t.Error("both starts have one key among nodes")
	}
}

// TestEarlierStartIsOld: an entry of an earlier start that comes later, by a peer or from a copy of the store, changes nothing; also where the later start
// has left, and where it is in doubt.
func TestEarlierStartIsOld(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(set *replica.Set)
		want   string
	}{
		{"the later start serves", func(*replica.Set) {}, "x"},
		{"the later start leaves", func(set *replica.Set) { set.Put(0, leaving(startedAt("x", 2000))) }, ""},
		{"the later start has left", func(set *replica.Set) { set.Remove(0, "x", 0) }, ""},
		{"the later start has left, and the store came from a copy", func(set *replica.Set) {
			set.Remove(0, "x", 0)
			set.DistrustDeparted(time.Second)
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := newSet(startedAt("x", 2000))
			c.before(set)
			earlier := startedAt("x", 1000)
			earlier.Address = "127.0.0.1:2"
			for _, old := range []replica.Entry{earlier, leaving(earlier)} {
				if set.Put(time.Millisecond, old) {
					t.Error("the entry of the earlier start changed something")
				}
			}
			set.ReadmitDeparted(10 * time.Second)
			if got := picked(set, 10*time.Second); got != c.want {
				t.Errorf("picked %q, want %q", got, c.want)
			}
			if known := set.Get("x"); known != nil && (known.Entry.StartedAt != 2000 || known.Address == earlier.Address) {
				t.Errorf("start %d at %s", known.Entry.StartedAt, known.Address)
			}
		})
	}
}

// TestLaterStartAfterACopy: a start later than the one that has left is no old entry of a store that came back from a copy.
func TestLaterStartAfterACopy(t *testing.T) {
	set := newSet(startedAt("x", 1000))
	set.Remove(0, "x", 0)
	set.DistrustDeparted(time.Minute)
	set.Put(time.Second, startedAt("x", 2000))
	if picked(set, time.Second) != "x" {
		t.Error("the later start is put aside")
	}
}

// TestLeavingIsFinalWithinAStart: an entry of the same start that says ready again is old, also where the back end had gone meanwhile.
func TestLeavingIsFinalWithinAStart(t *testing.T) {
	for _, gone := range []bool{false, true} {
		set := newSet(startedAt("x", 1000))
		set.Put(0, leaving(startedAt("x", 1000)))
		if gone {
			set.Remove(0, "x", 0)
		}
		set.Put(time.Second, startedAt("x", 1000))
		if got := picked(set, time.Second); got != "" {
			t.Errorf("gone %v: the start that leaves is picked", gone)
		}
	}
}

// TestWithoutAStart: entries that tell no start are of the one that is known; the first that tells one is another back end.
func TestWithoutAStart(t *testing.T) {
	set := newSet(entry("x", "a1"))
	first := set.Get("x")
	set.Put(0, leaving(entry("x", "a1")))
	set.Put(0, entry("x", "a1"))
	if set.Get("x") != first || picked(set, 0) != "" {
		t.Error("a back end that tells no start changed its mind")
	}
	set.Put(0, startedAt("x", 1000))
	if set.Get("x") == first || picked(set, 0) != "x" {
		t.Error("the start that is told first is taken for the one before")
	}
	second := set.Get("x")
	set.Put(0, leaving(entry("x", "a1")))
	if set.Get("x") != second || picked(set, 0) != "" {
		t.Error("an entry that tells no start is taken for another one")
	}
}

// TestMisdirectedElsewhere: a back end whose address answered for another one is picked again at another address.
func TestMisdirectedElsewhere(t *testing.T) {
	at := func(address string) replica.Entry {
		e := entry("x", "a1")
		e.Address = address
		return e
	}
	set := newSet(at("10.0.0.1:80"))
	run(set, 0, "x", 0, replica.Misdirected)
	set.Put(0, at("10.0.0.1:80"))
	if picked(set, 0) != "" {
		t.Error("picked at the address that answers for another back end")
	}
	set.Put(0, at("10.0.0.2:80"))
	if picked(set, 0) != "x" {
		t.Error("not picked at another address")
	}
}

// TestIncarnation: each start of a back end is an incarnation of its own; one that tells none is known by its id.
func TestIncarnation(t *testing.T) {
	if startedAt("x", 1000).Incarnation() == startedAt("x", 2000).Incarnation() {
		t.Error("both starts are one incarnation")
	}
	if entry("x", "a1").Incarnation() != "x" {
		t.Error("the incarnation of a back end that tells no start is not its id")
	}
}

// TestPreferenceOutlivesAStart: which near back ends a node prefers hangs on their ids, so that a restart moves no other choice.
func TestPreferenceOutlivesAStart(t *testing.T) {
	preferred := func(starts ...int64) string {
		set := newSet()
		set.SetConnectionShares(map[string]replica.ConnectionShare{"s": {SameRegion: 1, OtherRegions: 1}})
		for i, start := range starts {
			set.Put(0, startedAt(string(rune('a'+i)), start))
		}
		return picked(set, 0)
	}
	want := preferred(1, 1, 1, 1, 1, 1)
	for i := range 6 {
		starts := []int64{1, 1, 1, 1, 1, 1}
		starts[i] = 2
		if got := preferred(starts...); got != want {
			t.Errorf("the restart of number %d moves the choice from %s to %s", i, want, got)
		}
	}
}
