package replica

import (
	"strconv"
	"time"
)

// Entry is a back end as the discovery service tells it.
type Entry struct {
	// ID names a back end; it may start again under it.
	ID string
	// StartedAt is the Unix millisecond at which the back end started, 0 where it does not tell that. Another start under the same
	// id is another back end, which knows nothing of the one before.
	StartedAt int64
	Service   string
	// Address is an IP address and port; another incarnation may have it later.
	Address string
	Zone    string
	// Version of its software, empty where it is not told.
	Version string
	// Slots is the number of requests the back end works on at a time.
	Slots    int
	Draining bool
	// WarmupLeft is how much longer the back end is slow after its start.
	WarmupLeft time.Duration
}

// Incarnation names one start of a back end: what counts by who a back end is counts by it.
func (e Entry) Incarnation() string {
	if e.StartedAt == 0 {
		return e.ID
	}
	return e.ID + "@" + strconv.FormatInt(e.StartedAt, 10)
}

// Endpoint is where one start of a back end takes requests.
type Endpoint struct {
	Address     string
	Incarnation string
}

// Endpoint of the back end.
func (e Entry) Endpoint() Endpoint { return Endpoint{Address: e.Address, Incarnation: e.Incarnation()} }

// startedBefore reports whether an entry of the same id is of an earlier start than another: it is old, whenever it comes.
func (e Entry) startedBefore(other Entry) bool {
	return e.StartedAt != 0 && e.StartedAt < other.StartedAt
}

// startedAfter reports whether an entry of the same id is of a later start than another. One that tells no start is of the one
// that is known.
func (e Entry) startedAfter(other Entry) bool { return e.StartedAt > other.StartedAt }

// Replica is one incarnation of a back end with what attempts at it have shown.
type Replica struct {
	Entry
	// key is the hash of the incarnation, by which nodes tell each other of the replica.
	key uint64
	// affinity of this node to the replica, by which the node's subset is chosen.
	affinity      uint64
	outsideSubset bool
	// region of its zone, empty where that is not known.
	region string
	// evacuated: its zone is to get nothing.
	evacuated bool
	// misdirected: the address answers for another back end.
	misdirected bool

	// inFlight has the start of each attempt under way, oldest first.
	inFlight []time.Duration
	latency  latency
	faults   faultRate
	slowdown slowdown
	load     lastLoad
	ejection ejection
	doubt    doubt
	cold     coldPhase
	// verifyConnectionsUntil: it has turned connections away of late.
	verifyConnectionsUntil time.Duration
	// cancelledFactor and useSlowdown are of the settings.
	cancelledFactor float64
	useSlowdown     bool
}

// InFlight is the number of attempts under way.
func (r *Replica) InFlight() int { return len(r.inFlight) }

// AverageLatency is the average the choice goes by.
func (r *Replica) AverageLatency() time.Duration { return r.latency.average }

// MinimumLatency is the least that an answer of the replica takes: the way there and back.
func (r *Replica) MinimumLatency() time.Duration { return r.latency.minimum }

// ExpectedMinimum is the least that an answer takes by what is known now. Answers that came while this node stood still say that
// it takes seconds, and who goes by that for good makes no attempt that would show otherwise; so what was learned
// decays.
func (r *Replica) ExpectedMinimum(now time.Duration) time.Duration {
	return r.latency.decay(now, r.latency.minimum)
}

// ExpectedLatency is the latency expected of an attempt: the average, decayed while the replica is unused, and no less than
// the age of the oldest attempt without an answer.
func (r *Replica) ExpectedLatency(now time.Duration) time.Duration {
	expected := r.latency.expected(now)
	if len(r.inFlight) > 0 {
		expected = max(expected, now-r.inFlight[0])
	}
	return expected
}

// Doubtful reports whether the replica's entry has vanished without proof that the back end leaves.
func (r *Replica) Doubtful() bool { return r.doubt.doubtful }

// Ejected reports whether the replica is a last choice at the moment.
func (r *Replica) Ejected(now time.Duration) bool { return r.ejection.active(now) }

// Evacuated reports whether the replica's zone is to get nothing.
func (r *Replica) Evacuated() bool { return r.evacuated }

// Cold reports whether the replica is cold: it has just started, or its zone has just been taken back.
func (r *Replica) Cold(now time.Duration) bool { return r.cold.active(now) }

// StartAttempt counts an attempt in.
func (r *Replica) StartAttempt(now time.Duration) {
	r.inFlight = append(r.inFlight, now)
	if r.Cold(now) {
		r.cold.recordStart(now)
	}
}

// FinishAttempt counts out an attempt that started at the given time. It reports whether the replica was ejected by it.
func (r *Replica) FinishAttempt(now, started time.Duration, verdict AttemptResult) (ejected bool) {
	for i, start := range r.inFlight {
		if start == started {
			r.inFlight = append(r.inFlight[:i], r.inFlight[i+1:]...)
			break
		}
	}
	elapsed := now - started
	switch verdict {
	case Answered:
		r.ejection = ejection{}
		r.faults.record(now, 0)
		r.latency.recordMinimum(elapsed)
		r.latency.addSample(now, r.withoutSlowdown(now, elapsed))
	case Cancelled:
		// Its latency is more than its age, by an unknown time.
		if elapsed > r.latency.expected(now) {
			r.latency.addSample(now, time.Duration(r.cancelledFactor*float64(elapsed)))
		}
	case Refused:
		r.latency.addSample(now, max(elapsed, 2*r.latency.expected(now)))
	case RefusedWithFreeSlots:
		r.faults.record(now, 1)
	case Failed:
		r.faults.record(now, 1)
		return r.ejection.recordFailure(now)
	case Unreachable:
		return r.ejection.recordUnreachable(now)
	case ConnectionRejected:
		r.verifyConnectionsUntil = now + verifyConnectionsFor
		return r.ejection.pause(now, rejectedConnectionPause)
	case Misdirected:
		r.misdirected = true
	}
	return false
}

// RecordContradiction takes in that another replica has answered what this one said is the request's fault. It reports whether the
// replica was ejected by it.
func (r *Replica) RecordContradiction(now time.Duration) (ejected bool) {
	r.faults.record(now, 1)
	return r.ejection.recordFailure(now)
}
