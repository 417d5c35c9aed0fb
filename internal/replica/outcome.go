package replica

import "time"

// floorGain is the weight of a sample above the floor.
const floorGain = 0.01

// How failures take a replica out.
const (
	// failuresToEject in a row take a replica out; a failed connection does so at once.
	failuresToEject = 2
	firstEjection   = 250 * time.Millisecond
	longestEjection = 4 * time.Second
	// turnedAwayPause: what another connection over the limit tells is known already. crowdedFor is how long after one new connections
	// are doubted; back ends count those of lives that ended for some seconds.
	turnedAwayPause = 100 * time.Millisecond
	crowdedFor      = 4 * time.Second
)

// Verdict is what the end of an attempt says of its replica.
type Verdict int

// The verdicts.
const (
	// Answered: it gave an answer of its own.
	Answered Verdict = iota
	// Refused: it is too full to take the request.
	Refused
	// RefusedWithRoom: it refused the request though it says that slots are free.
	RefusedWithRoom
	// Failed: a broken connection or answer.
	Failed
	// Unreachable: no connection was had.
	Unreachable
	// TurnedAway: it ended a connection that had carried no answer yet. It may be at its limit, and sound.
	TurnedAway
	// Misdirected: its address answers for another back end.
	Misdirected
	// Abandoned: the attempt was given up on before an answer.
	Abandoned
	// Neutral: the end says nothing of the replica.
	Neutral
)

// Start counts an attempt in.
func (r *Replica) Start(now time.Duration) {
	r.inFlight = append(r.inFlight, now)
	if now < r.coldUntil {
		r.cold.note(now)
	}
}

// Finish counts out an attempt that started at the given time. It reports whether the replica was ejected by it.
func (r *Replica) Finish(now, started time.Duration, verdict Verdict) (ejected bool) {
	for i, start := range r.inFlight {
		if start == started {
			r.inFlight = append(r.inFlight[:i], r.inFlight[i+1:]...)
			break
		}
	}
	elapsed := now - started
	switch verdict {
	case Answered:
		r.failures = 0
		r.ejectedUntil = 0
		r.noteFault(now, 0)
		r.lowerFloor(elapsed)
		r.sample(now, r.atUsualPace(now, elapsed))
	case Abandoned:
		r.abandoned(now, elapsed)
	case Refused:
		r.sample(now, max(elapsed, 2*r.decayed(now)))
	case RefusedWithRoom:
		r.noteFault(now, 1)
	case Failed:
		r.noteFault(now, 1)
		r.failures++
		if r.failures >= failuresToEject {
			return r.eject(now)
		}
	case Unreachable:
		r.failures += failuresToEject
		return r.eject(now)
	case TurnedAway:
		r.crowdedUntil = now + crowdedFor
		before := r.Ejected(now)
		r.ejectedUntil = max(r.ejectedUntil, now+turnedAwayPause)
		return !before
	case Misdirected:
		r.misdirected = true
	}
	return false
}

// abandoned learns from an attempt without an answer, whose latency is more than its age by an unknown time.
func (r *Replica) abandoned(now, elapsed time.Duration) {
	if elapsed > r.decayed(now) {
		r.sample(now, time.Duration(r.withdrawnFactor*float64(elapsed)))
	}
}

func (r *Replica) sample(now, elapsed time.Duration) {
	if r.latency == 0 {
		r.latency = elapsed
	} else {
		average := r.decayed(now)
		r.latency = average + time.Duration(latencyGain*float64(elapsed-average))
	}
	r.sampledAt = now
}

// lowerFloor follows the least latencies down at once and up slowly.
func (r *Replica) lowerFloor(elapsed time.Duration) {
	if r.floor == 0 || elapsed < r.floor {
		r.floor = elapsed
		return
	}
	r.floor += time.Duration(floorGain * float64(elapsed-r.floor))
}

func (r *Replica) eject(now time.Duration) bool {
	length := firstEjection
	for i := failuresToEject; i < r.failures && length < longestEjection; i++ {
		length *= 2
	}
	before := r.Ejected(now)
	r.ejectedUntil = now + min(length, longestEjection)
	return !before
}
