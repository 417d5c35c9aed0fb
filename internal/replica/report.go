package replica

import "time"

// ownObservationPrecedence is how long what this node has observed itself takes precedence over reports of other nodes.
const ownObservationPrecedence = 200 * time.Millisecond

// Key returns the number that identifies the replica in messages between nodes.
func (r *Replica) Key() uint64 { return r.key }

// Health returns what nodes report to each other about the replica: how many times longer than usual work takes there,
// and the share of its recent attempts that failed.
func (r *Replica) Health(now time.Duration) (slowdown, faults float64) {
	return r.slowdown.current(now, r.affinity), r.faults.current(now)
}

// RecordReport stores what another node observed at a back end at the time seenAt. Recent observations of this node
// take precedence over it.
func (s *Set) RecordReport(now time.Duration, key uint64, slowdownFactor, faults float64, seenAt time.Duration) {
	r := s.byKey[key]
	if r == nil {
		return
	}
	if seenAt > r.slowdown.at && (r.load.at == 0 || now-r.load.at > ownObservationPrecedence) {
		r.slowdown = slowdown{slowdownFactor, seenAt}
	}
	if seenAt > r.faults.at && now-r.faults.at > ownObservationPrecedence {
		r.faults = faultRate{faults, seenAt}
	}
}
