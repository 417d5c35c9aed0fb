// Package clock has the one type in which new code counts time: whole milliseconds on a clock that stands still for nobody.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Ms is a moment on a Clock, or a length of time, in milliseconds.
type Ms int64

// Second is a thousand milliseconds.
const Second Ms = 1000

// Of returns a duration in whole milliseconds, rounded down.
func Of(d time.Duration) Ms { return Ms(d.Milliseconds()) }

// Duration returns m as the standard library counts time.
func (m Ms) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Clock tells the time since it was started. It does not follow jumps of the time of day.
type Clock struct{ started time.Time }

// Start returns a clock that stands at 0.
func Start() Clock { return Clock{started: time.Now()} }

// Now returns the time since the start.
func (c Clock) Now() Ms { return Of(time.Since(c.started)) }

// behind is by how much the monotonic clock, on which the standard library counts, is behind the machine's clock that also counts while the machine is
// suspended.
var behind atomic.Pointer[func() time.Duration]

func init() { Replace(readBehind) }

// Replace has another function tell by how much the monotonic clock is behind, for tests on a virtual clock. The function returned undoes that.
func Replace(with func() time.Duration) (undo func()) {
	before := behind.Swap(&with)
	return func() { behind.Store(before) }
}

func readBehind() time.Duration {
	var whole, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &whole) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		// Without the clock nothing is known of suspensions; those there are go unnoticed, as on a machine that has none.
		return 0
	}
	return time.Duration(whole.Nano() - monotonic.Nano())
}
