package replica

import "time"

const (
	// failuresToEject is the number of consecutive failures that eject a replica. A failed connection ejects it at
	// once.
	failuresToEject = 2
	// firstEjection is the length of the first ejection. Each further failure doubles it, up to longestEjection.
	firstEjection   = 250 * time.Millisecond
	longestEjection = 4 * time.Second
	// rejectedConnectionPause is how long a replica at its connection limit is ejected. Another connection attempt
	// would reveal nothing new during that time.
	rejectedConnectionPause = 100 * time.Millisecond
)

// ejection makes a replica a last resort for a limited time after failures. The zero value is a replica that is not
// ejected.
type ejection struct {
	consecutiveFailures int
	until               time.Duration
}

func (e *ejection) active(now time.Duration) bool { return now < e.until }

// recordFailure counts a failure and reports whether an ejection began.
func (e *ejection) recordFailure(now time.Duration) (began bool) {
	e.consecutiveFailures++
	return e.consecutiveFailures >= failuresToEject && e.extend(now)
}

// recordUnreachable counts a failed connection and reports whether an ejection began.
func (e *ejection) recordUnreachable(now time.Duration) (began bool) {
	e.consecutiveFailures += failuresToEject
	return e.extend(now)
}

// extend ejects the replica for a time that depends on the number of consecutive failures, and reports whether an
// ejection began.
func (e *ejection) extend(now time.Duration) (began bool) {
	length := firstEjection
	for i := failuresToEject; i < e.consecutiveFailures && length < longestEjection; i++ {
		length *= 2
	}
	before := e.active(now)
	e.until = now + min(length, longestEjection)
	return !before
}

// pause ejects the replica for the given time without counting a failure, and reports whether an ejection began.
func (e *ejection) pause(now, length time.Duration) (began bool) {
	before := e.active(now)
	e.until = max(e.until, now+length)
	return !before
}
