package replica

import "time"

// ownObservationPrecedence is how long what a node met itself goes before what others tell.
const ownObservationPrecedence = 200 * time.Millisecond

// Key is by what nodes tell each other of the replica.
func (r *Replica) Key() uint64 { return r.key }

// Health is what nodes tell each other of the replica: how long work takes there as a multiple of the usual, and the
// share of its attempts of late that failed.
func (r *Replica) Health(now time.Duration) (slowdown, faults float64) {
	return r.slowdown.current(now, r.affinity), r.faults.current(now)
}

// RecordReport takes in what another node met at a back end at some moment. What this node has met itself of late goes before it.
func (s *Set) RecordReport(now time.Duration, key uint64, slowed, faults float64, seenAt time.Duration) {
	r := s.byKey[key]
	if r == nil {
		return
	}
	if seenAt > r.slowdown.at && (r.load.at == 0 || now-r.load.at > ownObservationPrecedence) {
		r.slowdown = slowdown{slowed, seenAt}
	}
	if seenAt > r.faults.at && now-r.faults.at > ownObservationPrecedence {
		r.faults = faultRate{faults, seenAt}
	}
}
