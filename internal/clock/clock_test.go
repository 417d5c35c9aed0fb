package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"stiletrail/internal/clock"
)

func TestClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Start()
		time.Sleep(1500*time.Millisecond + 900*time.Microsecond)
		if got := c.Now(); got != clock.Second+500 {
			t.Errorf("got %d ms", got)
		}
		if got := c.Now().Duration(); got != 1500*time.Millisecond {
			t.Errorf("got %s", got)
		}
	})
}

// TestSuspension: a clock goes on while the machine is suspended, and says of times of the standard library, which does not, what they mean then.
func TestSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		behind := 3 * time.Hour
		defer clock.ReplaceSuspendedTime(func() time.Duration { return behind })()
		c := clock.Start()
		deadline := time.Now().Add(2 * time.Second)
		if got := c.FromTime(deadline); got != 2*time.Second {
			t.Errorf("before the suspension the deadline is at %v", got)
		}
		time.Sleep(time.Second)
		behind += 10 * time.Second
		if got := c.Now(); got != 11*clock.Second {
			t.Errorf("after a second and ten of suspension it is %d ms", got)
		}
		if got := c.Suspended(); got != 10*time.Second {
			t.Errorf("suspended for %v", got)
		}
		if got := c.ToTime(12 * time.Second); !got.Equal(deadline) {
			t.Errorf("a second from now is %v before the deadline", deadline.Sub(got))
		}
	})
}

// TestNoSuspension: without one the machine's clocks do not drift apart by what it takes to read them.
func TestNoSuspension(t *testing.T) {
	c := clock.Start()
	for range 100 {
		if got := c.Suspended(); got != 0 {
			t.Fatalf("suspended for %v", got)
		}
		time.Sleep(100 * time.Microsecond)
	}
}
