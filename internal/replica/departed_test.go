package replica_test

import (
	"fmt"
	"testing"
	"time"

	"stiletrail/internal/replica"
)

// TestDrainingCannotBeRevoked guards against picking a back end that is leaving: it has set its entry to draining, and
// another entry, which says that it is not draining, arrives afterwards.
func TestDrainingCannotBeRevoked(t *testing.T) {
	set := newSet()
	leaves := entry("leaves", "a1")
	leaves.Draining = true
	set.Put(0, leaves)
	set.Put(0, entry("leaves", "a1"))
	if chosen, _ := set.Pick(0, "s", replica.PickOptions{}); chosen != nil {
		t.Errorf("%s is picked after it was draining, want none", chosen.ID)
	}
}

// TestEntryOfDepartedBackEndAfterRestore guards against requests to back ends that have left. After the store was
// restored from a backup, it lists their old entries again. For a while such an entry is held back; it is readmitted if
// the store still lists it at the end of that time. If the store was not restored, the entry counts at once.
func TestEntryOfDepartedBackEndAfterRestore(t *testing.T) {
	const doubt = 6 * time.Second
	for _, c := range []struct {
		name string
		// restored: the store was restored from a backup; removed: the old entry vanishes again.
		restored, removed bool
		at                time.Duration
		want              bool
	}{
		{"not restored", false, false, 0, true},
		{"restored, during the hold", true, false, doubt / 2, false},
		{"restored, entry still listed afterwards", true, false, doubt, true},
		{"restored, entry vanished meanwhile", true, true, doubt, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := newSet()
			set.Put(0, entry("left", "a1"))
			set.Remove(0, "left", 0)
			if c.restored {
				set.DistrustDeparted(doubt)
			}
			set.Put(time.Second, entry("left", "a1"))
			if c.removed {
				set.Remove(2*time.Second, "left", 2*time.Second)
			}
			readmitted := set.ReadmitDeparted(c.at)
			if known := set.Get("left") != nil; known != c.want {
				t.Errorf("back end known: %v, want %v", known, c.want)
			}
			if c.restored && len(readmitted) > 0 != c.want {
				t.Errorf("readmitted %v, want an entry only if the back end is known afterwards", readmitted)
			}
		})
	}
}

// TestDepartedBackEndsAreForgotten guards against unbounded memory: a departed back end is remembered for one minute,
// and at most 1024 are remembered at a time.
func TestDepartedBackEndsAreForgotten(t *testing.T) {
	const many, most = 3000, 1024
	set := newSet()
	leave := func(now time.Duration) {
		for i := range many {
			id := fmt.Sprint(i)
			set.Put(now, entry(id, "a1"))
			set.Remove(now, id, now)
		}
	}
	leave(0)
	set.DistrustDeparted(time.Second)
	known := func(now time.Duration) (count int) {
		for i := range many {
			set.Put(now, entry(fmt.Sprint(i), "a1"))
		}
		return set.Len()
	}
	if count := known(0); count != many-most {
		t.Errorf("%d of %d entries are stored at once, want all but the %d that are remembered as departed",
			count, many, most)
	}
	set = newSet()
	leave(0)
	set.ReadmitDeparted(time.Minute)
	set.DistrustDeparted(2 * time.Minute)
	if count := known(time.Minute); count != many {
		t.Errorf("%d of %d entries are stored after a minute, want all", count, many)
	}
}
