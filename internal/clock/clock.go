// Package clock has the one type in which time is counted, whole milliseconds, and a clock that also goes on while the
// machine is suspended.
//
// It reads the machine's clocks and owns how far the monotonic one is behind, for the whole process.
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

// FromDuration returns a duration in whole milliseconds, rounded down.
func FromDuration(d time.Duration) Ms { return Ms(d.Milliseconds()) }

// Duration returns m as the standard library counts time.
func (m Ms) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Clock tells the time since it was started. It does not follow jumps of the time of day, and goes on while the machine
// is suspended, unlike the clock on which the standard library counts: what passes for a second old after a machine was
// suspended for ten may be eleven.
type Clock struct {
	started time.Time
	// behindThen is by how much the monotonic clock was behind at the start.
	behindThen time.Duration
}

// Start returns a clock that stands at 0.
func Start() Clock { return Clock{started: time.Now(), behindThen: (*behind.Load())()} }

// Now returns the time since the start.
func (c Clock) Now() Ms { return FromDuration(c.Elapsed()) }

// Elapsed is Now as the standard library counts time.
func (c Clock) Elapsed() time.Duration { return time.Since(c.started) + c.Suspended() }

// Suspended is for how long the machine has been suspended since the start.
func (c Clock) Suspended() time.Duration { return (*behind.Load())() - c.behindThen }

// ToTime gives a moment on the clock as the standard library's timers and deadlines understand it, unless the machine is
// suspended before it comes.
func (c Clock) ToTime(moment time.Duration) time.Time { return c.started.Add(moment - c.Suspended()) }

// FromTime gives a time of the standard library as a moment on the clock.
func (c Clock) FromTime(t time.Time) time.Duration { return t.Sub(c.started) + c.Suspended() }

// behind is by how much the monotonic clock, on which the standard library counts, is behind the machine's clock that
// also counts while the machine is suspended.
var behind atomic.Pointer[func() time.Duration]

func init() { ReplaceSuspendedTime((&gauge{began: time.Now()}).read) }

// ReplaceSuspendedTime has another function tell by how much the monotonic clock is behind, for tests on a virtual clock. The
// function returned undoes that.
func ReplaceSuspendedTime(with func() time.Duration) (undo func()) {
	before := behind.Swap(&with)
	return func() { behind.Store(before) }
}

// readEvery bounds how often the machine's clocks are read: it costs three system calls, and what happens this soon
// after a suspension can be taken for what happened before it.
const readEvery = 10 * time.Millisecond

// smallest difference that is a suspension: the two clocks are read one after the other.
const smallest = 5 * time.Millisecond

// gauge reads by how much the monotonic clock is behind.
type gauge struct {
	began time.Time
	// readAt is when it was last read, since it began; last is what was read.
	readAt atomic.Int64
	last   atomic.Int64
}

func (g *gauge) read() time.Duration {
	now := int64(time.Since(g.began)) + 1
	before := g.readAt.Load()
	if before > 0 && now >= before && now-before < int64(readEvery) || !g.readAt.CompareAndSwap(before, now) {
		return time.Duration(g.last.Load())
	}
	found := difference()
	if last := time.Duration(g.last.Load()); before == 0 || found-last >= smallest {
		g.last.Store(int64(found))
	}
	return time.Duration(g.last.Load())
}

// Reading two clocks takes less than a microsecond, unless the thread has to wait in between; then they are read again,
// a few times.
const (
	readWithin = time.Millisecond
	readTries  = 5
)

// difference is the machine's clock that counts suspensions less the one that does not, rather too small than too large.
func difference() (found time.Duration) {
	for range readTries {
		var before, whole, after unix.Timespec
		if unix.ClockGettime(unix.CLOCK_MONOTONIC, &before) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &whole) != nil ||
			unix.ClockGettime(unix.CLOCK_MONOTONIC, &after) != nil {
			// Without the clock nothing is known of suspensions, as on a machine that has none.
			return 0
		}
		found = time.Duration(whole.Nano() - after.Nano())
		if after.Nano()-before.Nano() < int64(readWithin) {
			return found
		}
	}
	return found
}
