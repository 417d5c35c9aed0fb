package replica

import (
	"strconv"
	"time"
)

// Entry describes a back end as the discovery service lists it.
type Entry struct {
	// ID identifies a back end. The back end keeps it across restarts.
	ID string
	// StartedAt is the time at which the back end's process started, in Unix milliseconds; 0 if the entry does not
	// state it. A process with the same id but another start time is a different incarnation and shares no state with
	// the earlier one.
	StartedAt int64
	Service   string
	// Address is an IP address and port. Another incarnation may be given the same address later.
	Address string
	Zone    string
	// Version is the version of the back end's software; empty if the entry does not state it.
	Version string
	// Slots is the number of requests that the back end processes concurrently.
	Slots    int
	Draining bool
	// WarmupLeft is the remaining time in which the back end is slow after its start.
	WarmupLeft time.Duration
}

// Incarnation identifies one process of a back end, by its id and start time. State that belongs to a process, and not
// to the back end's id, is kept under this name.
func (e Entry) Incarnation() string {
	if e.StartedAt == 0 {
		return e.ID
	}
	return e.ID + "@" + strconv.FormatInt(e.StartedAt, 10)
}

// Endpoint is the address at which one incarnation of a back end accepts requests.
type Endpoint struct {
	Address     string
	Incarnation string
}

// Endpoint returns the endpoint of the back end.
func (e Entry) Endpoint() Endpoint { return Endpoint{Address: e.Address, Incarnation: e.Incarnation()} }

// startedBefore reports whether an entry describes an earlier incarnation than another entry of the same id. Such an
// entry is outdated, whenever it arrives.
func (e Entry) startedBefore(other Entry) bool {
	return e.StartedAt != 0 && e.StartedAt < other.StartedAt
}

// startedAfter reports whether an entry describes a later incarnation than another entry of the same id. An entry
// without a start time is taken to describe the known incarnation.
func (e Entry) startedAfter(other Entry) bool { return e.StartedAt > other.StartedAt }

// Replica is one incarnation of a back end, with what this node has learned about it from attempts and reports.
type Replica struct {
	Entry
	// key is the hash of the incarnation. It identifies the replica in messages between nodes.
	key uint64
	// affinity ranks the replica for this node; the node's preferred subset is chosen by it.
	affinity      uint64
	outsideSubset bool
	// region is the region of the replica's zone; empty if it is not known.
	region string
	// evacuated is set while the replica's zone is evacuated and must get no requests.
	evacuated bool
	// misdirected is set if another back end answers at the replica's address.
	misdirected bool

	// inFlight holds the start times of the attempts in flight, oldest first.
	inFlight []time.Duration
	latency  latency
	faults   faultRate
	slowdown slowdown
	load     lastLoad
	ejection ejection
	shared   verdictState
	doubt    doubt
	cold     coldPhase
	// verifyConnectionsUntil is the time up to which new connections are verified, because the replica has recently
	// rejected one.
	verifyConnectionsUntil time.Duration
	// cancelledFactor and useSlowdown are copies of the settings of the same names.
	cancelledFactor float64
	useSlowdown     bool
}

// InFlight returns the number of attempts in flight.
func (r *Replica) InFlight() int { return len(r.inFlight) }

// AverageLatency returns the moving average of the latencies, without decay.
func (r *Replica) AverageLatency() time.Duration { return r.latency.average }

// MinimumLatency returns the moving minimum of the answers' latencies, which is about the network round trip.
func (r *Replica) MinimumLatency() time.Duration { return r.latency.minimum }

// ExpectedMinimum returns the minimum latency, decayed while the replica is unused. Answers that arrive after this
// process was paused appear to have taken seconds. Without the decay, the node would rule out every attempt that could
// correct the minimum.
func (r *Replica) ExpectedMinimum(now time.Duration) time.Duration {
	return r.latency.decay(now, r.latency.minimum)
}

// ExpectedLatency returns the latency that is expected of an attempt: the average, decayed while the replica is unused,
// or the age of the oldest attempt in flight if that is greater.
func (r *Replica) ExpectedLatency(now time.Duration) time.Duration {
	expected := r.latency.expected(now)
	if len(r.inFlight) > 0 {
		expected = max(expected, now-r.inFlight[0])
	}
	return expected
}

// Doubtful reports whether the replica's entry has vanished from the store without proof that the back end has left.
func (r *Replica) Doubtful() bool { return r.doubt.doubtful }

// Ejected reports whether the replica is ejected at the moment. An ejected replica is picked only if there is no other.
func (r *Replica) Ejected(now time.Duration) bool { return r.ejection.active(now) }

// Evacuated reports whether the replica's zone is evacuated.
func (r *Replica) Evacuated() bool { return r.evacuated }

// Cold reports whether the replica is cold: it started recently, or the evacuation of its zone ended recently.
func (r *Replica) Cold(now time.Duration) bool { return r.cold.active(now) }

// StartAttempt records that an attempt begins.
func (r *Replica) StartAttempt(now time.Duration) {
	r.inFlight = append(r.inFlight, now)
	r.shared.recordStart(now)
	if r.Cold(now) {
		r.cold.recordStart(now)
	}
}

// FinishAttempt records the end of the attempt that began at the time started. It reports whether the result ejected
// the replica.
func (r *Replica) FinishAttempt(now, started time.Duration, result AttemptResult) (ejected bool) {
	for i, start := range r.inFlight {
		if start == started {
			r.inFlight = append(r.inFlight[:i], r.inFlight[i+1:]...)
			break
		}
	}
	elapsed := now - started
	switch result {
	case Answered:
		r.ejection = ejection{}
		r.shared.answeredAt = now
		r.faults.record(now, 0)
		r.latency.recordMinimum(elapsed)
		r.latency.addSample(now, r.withoutSlowdown(now, elapsed))
	case Cancelled:
		// The attempt would have taken longer than its age, by an unknown time.
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

// RecordContradiction records that the replica blamed the request for a failure, but another replica answered that
// request. It reports whether this ejected the replica.
func (r *Replica) RecordContradiction(now time.Duration) (ejected bool) {
	r.faults.record(now, 1)
	return r.ejection.recordFailure(now)
}
