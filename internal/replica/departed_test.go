package replica_test

import (
	"fmt"
	"testing"
	"time"

	"stiletrail/internal/replica"
)

// TestLeavingIsFinal: a back end that has said that it leaves does not come back by an entry that says otherwise.
func TestLeavingIsFinal(t *testing.T) {
	set := newSet()
	leaves := entry("leaves", "a1")
	leaves.Draining = true
	set.Put(0, leaves)
	set.Put(0, entry("leaves", "a1"))
	if chosen, _ := set.Pick(0, "s", replica.PickOptions{}); chosen != nil {
		t.Errorf("%s is picked", chosen.ID)
	}
}

// TestOldEntriesOfThoseThatLeft: for a while after the store has come back from a copy, an entry of a back end that has left is put aside; it counts where the
// store still has it then, or where nothing is known to be old.
func TestOldEntriesOfThoseThatLeft(t *testing.T) {
	const doubt = 6 * time.Second
	for _, c := range []struct {
		name string
		// copied: the store has come back from a copy; gone: the old entry goes again.
		copied, gone bool
		at           time.Duration
		want         bool
	}{
		{"no copy", false, false, 0, true},
		{"copy", true, false, doubt / 2, false},
		{"copy, and the entry stays", true, false, doubt, true},
		{"copy, and the entry goes", true, true, doubt, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := newSet()
			set.Put(0, entry("left", "a1"))
			set.Remove(0, "left", 0)
			if c.copied {
				set.DistrustDeparted(doubt)
			}
			set.Put(time.Second, entry("left", "a1"))
			if c.gone {
				set.Remove(2*time.Second, "left", 2*time.Second)
			}
			readmitted := set.ReadmitDeparted(c.at)
			if known := set.Get("left") != nil; known != c.want {
				t.Errorf("known %v, want %v", known, c.want)
			}
			if c.copied && len(readmitted) > 0 != c.want {
				t.Errorf("readmitted %v", readmitted)
			}
		})
	}
}

// TestThoseThatLeftAreForgotten: who has left is remembered for a minute, and no more than some at a time.
func TestThoseThatLeftAreForgotten(t *testing.T) {
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
		t.Errorf("%d of %d count at once, %d may be remembered", count, many, most)
	}
	set = newSet()
	leave(0)
	set.ReadmitDeparted(time.Minute)
	set.DistrustDeparted(2 * time.Minute)
	if count := known(time.Minute); count != many {
		t.Errorf("%d of %d count after a minute", count, many)
	}
}
