// Package clock has the one type in which new code counts time: whole milliseconds on a monotonic clock.
package clock

import "time"

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
