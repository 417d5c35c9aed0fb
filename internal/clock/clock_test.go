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
