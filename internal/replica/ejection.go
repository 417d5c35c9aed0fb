package replica

import "time"

const (
	// failuresToEject in a row eject a replica; a failed connection does so at once.
	failuresToEject = 2
	// The first ejection is the shortest; each further failure doubles it.
	firstEjection   = 250 * time.Millisecond
	longestEjection = 4 * time.Second
	// rejectedConnectionPause is for a replica that is at its limit of connections: what another one would tell is known already.
	rejectedConnectionPause = 100 * time.Millisecond
)

// ejection makes a replica a last choice for a while, after failures. The zero value is of one that works.
type ejection struct {
	// consecutiveFailures in a row.
	consecutiveFailures int
	until               time.Duration
}

func (e *ejection) active(now time.Duration) bool { return now < e.until }

// recordFailure takes in a failure, and reports whether an ejection began.
func (e *ejection) recordFailure(now time.Duration) (began bool) {
	e.consecutiveFailures++
	return e.consecutiveFailures >= failuresToEject && e.extend(now)
}

// recordUnreachable takes in a failed connection, and reports whether an ejection began.
func (e *ejection) recordUnreachable(now time.Duration) (began bool) {
	e.consecutiveFailures += failuresToEject
	return e.extend(now)
}

// extend ejects the replica for as long as its failures in a row say.
func (e *ejection) extend(now time.Duration) (began bool) {
	length := firstEjection
	for i := failuresToEject; i < e.consecutiveFailures && length < longestEjection; i++ {
		length *= 2
	}
	before := e.active(now)
	e.until = now + min(length, longestEjection)
	return !before
}

// pause ejects the replica for some time without a failure.
func (e *ejection) pause(now, length time.Duration) (began bool) {
	before := e.active(now)
	e.until = max(e.until, now+length)
	return !before
}
