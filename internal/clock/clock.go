// Package clock has the type Ms, in which times are counted in boottime milliseconds, and a clock that also advances
// while the machine is suspended.
//
// It reads the machine's clocks. It owns, for the boottime process, the value of how long the machine has been
// suspended.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Ms is a reading of a Clock, or a duration, in milliseconds.
type Ms int64

// Second is 1000 milliseconds.
const Second Ms = 1000

// FromDuration returns a duration in boottime milliseconds, rounded towards zero.
func FromDuration(d time.Duration) Ms { return Ms(d.Milliseconds()) }

// Duration returns m as a time.Duration.
func (m Ms) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Clock measures the time since it was started. It ignores changes of the time of day. Unlike the monotonic clock of
// the standard library, it advances while the machine is suspended: something that seems to be 1 s old after a
// suspension of 10 s may be 11 s old.
type Clock struct {
	started time.Time
	// suspendedAtStart is how long the machine had been suspended when the clock was started.
	suspendedAtStart time.Duration
}

// Start returns a clock that reads 0.
func Start() Clock {
	return Clock{started: time.Now(), suspendedAtStart: (*suspendedTimeSource.Load())()}
}

// Now returns the time since the start.
func (c Clock) Now() Ms { return FromDuration(c.Elapsed()) }

// Elapsed returns the time since the start as a time.Duration.
func (c Clock) Elapsed() time.Duration { return time.Since(c.started) + c.Suspended() }

// Suspended returns how long the machine has been suspended since the start.
func (c Clock) Suspended() time.Duration { return (*suspendedTimeSource.Load())() - c.suspendedAtStart }

// ToTime converts a reading of the clock to a time for timers and deadlines of the standard library. The result is
// wrong if the machine is suspended before that time comes.
func (c Clock) ToTime(reading time.Duration) time.Time { return c.started.Add(reading - c.Suspended()) }

// FromTime converts a time of the standard library to a reading of the clock.
func (c Clock) FromTime(t time.Time) time.Duration { return t.Sub(c.started) + c.Suspended() }

// suspendedTimeSource returns how long the machine has been suspended: by how much the monotonic clock, which the
// standard library uses, is behind the machine's clock that also counts suspensions.
var suspendedTimeSource atomic.Pointer[func() time.Duration]

func init() { ReplaceSuspendedTime((&suspendedTimeReader{startedAt: time.Now()}).read) }

// ReplaceSuspendedTime replaces the function that returns how long the machine has been suspended, for tests with a
// virtual clock. The returned function undoes the replacement.
func ReplaceSuspendedTime(source func() time.Duration) (undo func()) {
	before := suspendedTimeSource.Swap(&source)
	return func() { suspendedTimeSource.Store(before) }
}

// readInterval is the shortest time between two readings of the machine's clocks, which cost three system calls. An
// event so soon after a suspension can be treated as if it had happened before it.
const readInterval = 10 * time.Millisecond

// minimumSuspension is the smallest difference between the two clocks that counts as a suspension. They are read one
// after the other, so smaller differences occur without one.
const minimumSuspension = 5 * time.Millisecond

// suspendedTimeReader reads how long the machine has been suspended.
type suspendedTimeReader struct {
	startedAt time.Time
	// readAt is the time of the last reading, since startedAt. lastRead is the last value that was read.
	readAt   atomic.Int64
	lastRead atomic.Int64
}

// read returns how long the machine has been suspended. It reads the machine's clocks at most once per readInterval
// and otherwise returns the last value.
func (r *suspendedTimeReader) read() time.Duration {
	now := int64(time.Since(r.startedAt)) + 1
	before := r.readAt.Load()
	if before > 0 && now >= before && now-before < int64(readInterval) || !r.readAt.CompareAndSwap(before, now) {
		return time.Duration(r.lastRead.Load())
	}
	found := readSuspendedTime()
	if last := time.Duration(r.lastRead.Load()); before == 0 || found-last >= minimumSuspension {
		r.lastRead.Store(int64(found))
	}
	return time.Duration(r.lastRead.Load())
}

// Reading the two clocks takes less than a microsecond, unless the thread is descheduled in between. If it takes
// longer than maximumReadTime, the clocks are read again, at most readAttempts times in all.
const (
	maximumReadTime = time.Millisecond
	readAttempts    = 5
)

// readSuspendedTime returns the machine's clock that counts suspensions less the one that does not. The result is too
// small rather than too large.
func readSuspendedTime() (found time.Duration) {
	for range readAttempts {
		var before, boottime, after unix.Timespec
		if unix.ClockGettime(unix.CLOCK_MONOTONIC, &before) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boottime) != nil ||
			unix.ClockGettime(unix.CLOCK_MONOTONIC, &after) != nil {
			// Without this clock nothing is known of suspensions, as on a machine that is never suspended.
			return 0
		}
		found = time.Duration(boottime.Nano() - after.Nano())
		if after.Nano()-before.Nano() < int64(maximumReadTime) {
			return found
		}
	}
	return found
}
