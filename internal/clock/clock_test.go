package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"stiletrail/internal/clock"
)

// TestClock checks that a clock reads whole milliseconds, rounded down.
func TestClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Start()
		time.Sleep(1500*time.Millisecond + 900*time.Microsecond)
		if got := c.Now(); got != clock.Second+500 {
			t.Errorf("Now is %d ms, want 1500", got)
		}
		if got := c.Now().Duration(); got != 1500*time.Millisecond {
			t.Errorf("Now is %s, want 1.5s", got)
		}
	})
}

// TestSuspension checks that a clock advances while the machine is suspended, and that it converts times of the
// standard library, whose clock does not advance, to its own readings and back.
func TestSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspended := 3 * time.Hour
		defer clock.ReplaceSuspendedTime(func() time.Duration { return suspended })()
		c := clock.Start()
		deadline := time.Now().Add(2 * time.Second)
		if got := c.FromTime(deadline); got != 2*time.Second {
			t.Errorf("before the suspension the deadline is at %v, want 2s", got)
		}
		time.Sleep(time.Second)
		suspended += 10 * time.Second
		if got := c.Now(); got != 11*clock.Second {
			t.Errorf("after 1 s and a suspension of 10 s Now is %d ms, want 11000", got)
		}
		if got := c.Suspended(); got != 10*time.Second {
			t.Errorf("Suspended is %v, want 10s", got)
		}
		if got := c.ToTime(12 * time.Second); !got.Equal(deadline) {
			t.Errorf("the time of reading 12s is %v before the deadline, want the deadline", deadline.Sub(got))
		}
	})
}

// TestNoSuspension checks that on a machine that is not suspended, the time that it takes to read the clocks is not
// taken for a suspension.
func TestNoSuspension(t *testing.T) {
	c := clock.Start()
	for range 100 {
		if got := c.Suspended(); got != 0 {
			t.Fatalf("Suspended is %v on a machine that was not suspended, want 0", got)
		}
		time.Sleep(100 * time.Microsecond)
	}
}
