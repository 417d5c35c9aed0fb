package replica_test

import (
	"testing"
	"time"

	"stiletrail/internal/replica"
)

// entryStartedAt returns an entry of a back end with a start time in Unix milliseconds.
func entryStartedAt(id string, start int64) replica.Entry {
	e := entry(id, "a1")
	e.StartedAt = start
	return e
}

// draining returns the entry with its draining flag set.
func draining(e replica.Entry) replica.Entry {
	e.Draining = true
	return e
}

// TestRestartAfterDraining checks that a back end that drained and starts again under its id is picked: it is another
// incarnation.
func TestRestartAfterDraining(t *testing.T) {
	set := newSet(entryStartedAt("x", 1000))
	set.Put(0, draining(entryStartedAt("x", 1000)))
	if set.Put(time.Minute, entryStartedAt("x", 61_000)); picked(set, time.Minute) != "x" {
		t.Error("the second incarnation is not picked")
	}
}

// TestRestartResetsState guards against blaming a restarted back end for its former process: latency, faults, ejection,
// load and attempts in flight of an incarnation do not affect the next one, nor does the end of an attempt that began
// at the former one.
func TestRestartResetsState(t *testing.T) {
	set := newSet(entryStartedAt("x", 1000))
	before := set.Get("x")
	runAttempt(set, 0, "x", 3*time.Second, replica.Answered)
	for range 4 {
		runAttempt(set, 3*time.Second, "x", 0, replica.Failed)
	}
	before.RecordLoad(3*time.Second, replica.Load{Reported: true, Slots: 1, Slowdown: 9})
	before.FinishAttempt(3*time.Second, 3*time.Second, replica.Misdirected)
	before.StartAttempt(3 * time.Second)

	now := 4 * time.Second
	set.Put(now, entryStartedAt("x", 2000))
	after := set.Get("x")
	if after == before {
		t.Fatal("the second incarnation is the same replica as the first")
	}
	if after.InFlight() != 0 || after.AverageLatency() != 0 || after.MinimumLatency() != 0 || after.Ejected(now) ||
		after.Doubtful() || after.Cold(now) {
		t.Errorf("state of the first incarnation remains: %d attempts in flight, average latency %v, minimum latency %v, ejected %v",
			after.InFlight(), after.AverageLatency(), after.MinimumLatency(), after.Ejected(now))
	}
	if slowdown, faults := after.Health(now); slowdown != 1 || faults != 0 {
		t.Errorf("slowdown %v and fault rate %v after the restart, want 1 and 0", slowdown, faults)
	}
	before.FinishAttempt(now, 3*time.Second, replica.Unreachable)
	if after.Ejected(now) || picked(set, now) != "x" {
		t.Error("the end of an attempt at the first incarnation affects the second one")
	}
}

// TestReportOfEarlierIncarnation checks that another node's report about an incarnation does not affect the next one.
func TestReportOfEarlierIncarnation(t *testing.T) {
	set := newSet(entryStartedAt("x", 1000))
	earlier := set.Get("x").Key()
	set.Put(time.Second, entryStartedAt("x", 2000))
	set.RecordReport(2*time.Second, earlier, 9, 1, 2*time.Second)
	if slowdown, faults := set.Get("x").Health(2 * time.Second); slowdown != 1 || faults != 0 {
		t.Errorf("slowdown %v and fault rate %v after a report about the first incarnation, want 1 and 0",
			slowdown, faults)
	}
	if set.Get("x").Key() == earlier {
		t.Error("both incarnations have the same key in messages between nodes")
	}
}

// TestEntryOfEarlierIncarnationIsIgnored checks that an outdated entry changes nothing. Entries of an earlier
// incarnation can arrive late, from a peer or from a restored backup of the store. The same holds if the later
// incarnation has left, and if its departure is in doubt.
func TestEntryOfEarlierIncarnationIsIgnored(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(set *replica.Set)
		want   string
	}{
		{"the later incarnation serves", func(*replica.Set) {}, "x"},
		{"the later incarnation drains", func(set *replica.Set) { set.Put(0, draining(entryStartedAt("x", 2000))) }, ""},
		{"the later incarnation has left", func(set *replica.Set) { set.Remove(0, "x", 0) }, ""},
		{"the later incarnation has left, and the store was restored", func(set *replica.Set) {
			set.Remove(0, "x", 0)
			set.DistrustDeparted(time.Second)
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := newSet(entryStartedAt("x", 2000))
			c.before(set)
			earlier := entryStartedAt("x", 1000)
			earlier.Address = "127.0.0.1:2"
			for _, old := range []replica.Entry{earlier, draining(earlier)} {
				if set.Put(time.Millisecond, old) {
					t.Error("an entry of the earlier incarnation changed something")
				}
			}
			set.ReadmitDeparted(10 * time.Second)
			if got := picked(set, 10*time.Second); got != c.want {
				t.Errorf("picked %q, want %q", got, c.want)
			}
			if known := set.Get("x"); known != nil && (known.Entry.StartedAt != 2000 || known.Address == earlier.Address) {
				t.Errorf("the known entry has start time %d and address %s, want those of the later incarnation",
					known.Entry.StartedAt, known.Address)
			}
		})
	}
}

// TestLaterIncarnationAfterRestore checks that the hold on entries of departed back ends does not apply to a later
// incarnation: its entry cannot come from the restored backup.
func TestLaterIncarnationAfterRestore(t *testing.T) {
	set := newSet(entryStartedAt("x", 1000))
	set.Remove(0, "x", 0)
	set.DistrustDeparted(time.Minute)
	set.Put(time.Second, entryStartedAt("x", 2000))
	if picked(set, time.Second) != "x" {
		t.Error("the later incarnation is not picked; its entry was held back")
	}
}

// TestDrainingIsFinalForAnIncarnation checks that an entry of the same incarnation that is not draining is outdated,
// even if the back end's entry was removed in between.
func TestDrainingIsFinalForAnIncarnation(t *testing.T) {
	for _, removed := range []bool{false, true} {
		set := newSet(entryStartedAt("x", 1000))
		set.Put(0, draining(entryStartedAt("x", 1000)))
		if removed {
			set.Remove(0, "x", 0)
		}
		set.Put(time.Second, entryStartedAt("x", 1000))
		if got := picked(set, time.Second); got != "" {
			t.Errorf("entry removed in between: %v: the draining incarnation is picked", removed)
		}
	}
}

// TestEntriesWithoutStartTime checks that an entry without a start time describes the known incarnation, and that the
// first entry with a start time describes another one.
func TestEntriesWithoutStartTime(t *testing.T) {
	set := newSet(entry("x", "a1"))
	first := set.Get("x")
	set.Put(0, draining(entry("x", "a1")))
	set.Put(0, entry("x", "a1"))
	if set.Get("x") != first || picked(set, 0) != "" {
		t.Error("a draining back end without a start time is picked, or was replaced")
	}
	set.Put(0, entryStartedAt("x", 1000))
	if set.Get("x") == first || picked(set, 0) != "x" {
		t.Error("the first entry with a start time is taken for the known incarnation")
	}
	second := set.Get("x")
	set.Put(0, draining(entry("x", "a1")))
	if set.Get("x") != second || picked(set, 0) != "" {
		t.Error("an entry without a start time is taken for another incarnation, or its draining flag is ignored")
	}
}

// TestMisdirectedUntilAddressChanges checks that a back end whose address was answered by another one is picked again
// once its entry has another address.
func TestMisdirectedUntilAddressChanges(t *testing.T) {
	at := func(address string) replica.Entry {
		e := entry("x", "a1")
		e.Address = address
		return e
	}
	set := newSet(at("10.0.0.1:80"))
	runAttempt(set, 0, "x", 0, replica.Misdirected)
	set.Put(0, at("10.0.0.1:80"))
	if picked(set, 0) != "" {
		t.Error("picked at the address that another back end answers")
	}
	set.Put(0, at("10.0.0.2:80"))
	if picked(set, 0) != "x" {
		t.Error("not picked after its address changed")
	}
}

// TestIncarnation checks that each start of a back end is an incarnation of its own, and that a back end without a
// start time is identified by its id.
func TestIncarnation(t *testing.T) {
	if entryStartedAt("x", 1000).Incarnation() == entryStartedAt("x", 2000).Incarnation() {
		t.Error("entries with different start times have the same incarnation")
	}
	if entry("x", "a1").Incarnation() != "x" {
		t.Error("the incarnation of a back end without a start time is not its id")
	}
}

// TestSubsetSurvivesRestart checks that a node's preferred subset depends on the ids of the back ends and not on their
// start times: a restart must not move the requests of other nodes.
func TestSubsetSurvivesRestart(t *testing.T) {
	preferred := func(starts ...int64) string {
		set := newSet()
		set.SetConnectionShares(map[string]replica.ConnectionShare{"s": {SameRegion: 1, OtherRegions: 1}})
		for i, start := range starts {
			set.Put(0, entryStartedAt(string(rune('a'+i)), start))
		}
		return picked(set, 0)
	}
	want := preferred(1, 1, 1, 1, 1, 1)
	for i := range 6 {
		starts := []int64{1, 1, 1, 1, 1, 1}
		starts[i] = 2
		if got := preferred(starts...); got != want {
			t.Errorf("the restart of back end %d changes the preferred one from %s to %s", i, want, got)
		}
	}
}
