package replica

import "time"

// Load is what a back end tells of itself with an answer. The zero value is of one that tells nothing.
type Load struct {
	// Told: the back end told it.
	Told bool
	// Running requests are in its slots, Waiting ones in its queue.
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes there at the moment as a multiple of the usual; 1 where that is not told.
	Pace float64
}

// HasRoom reports whether a slot was free.
func (l Load) HasRoom() bool { return l.Told && l.Waiting == 0 && l.Running < l.Slots }

const (
	// paceFor is how long a pace is gone by that nobody tells again. Each node has a time of its own up to twice that, so that one tries a slow back end
	// first and tells the others.
	paceFor = 2 * time.Second
	// firstHandFor is how long what a node met itself goes before what others tell.
	firstHandFor = 200 * time.Millisecond
)

// Tell takes in what the replica told of itself.
func (r *Replica) Tell(now time.Duration, load Load) {
	if load.Told {
		r.load, r.loadAt = load, now
		r.pace, r.paceAt = load.Pace, now
	}
}

// paceNow is how long work is expected to take as a multiple of the usual.
func (r *Replica) paceNow(now time.Duration) float64 {
	own := time.Duration(float64(paceFor) * (1 + float64(r.affinity>>32)/(1<<32)))
	if r.pace == 0 || now-r.paceAt > own {
		return 1
	}
	return max(r.pace, 1)
}

// atUsualPace is how long an answer would have taken at the usual pace.
func (r *Replica) atUsualPace(now, elapsed time.Duration) time.Duration {
	if !r.byPace || r.loadAt != now || !r.load.Told || r.load.Pace <= 1 || elapsed <= r.floor {
		return elapsed
	}
	return r.floor + time.Duration(float64(elapsed-r.floor)/r.load.Pace)
}

// Key is by what nodes tell each other of the replica.
func (r *Replica) Key() uint64 { return r.key }

// Met is the pace that is known of the replica and the share of its attempts of late that failed.
func (r *Replica) Met(now time.Duration) (pace, faults float64) {
	return r.paceNow(now), r.faultRate(now)
}

// Hear takes in what another node met at a back end at some moment.
func (s *Set) Hear(now time.Duration, key uint64, pace, faults float64, seenAt time.Duration) {
	r := s.byKey[key]
	if r == nil {
		return
	}
	if seenAt > r.paceAt && (r.loadAt == 0 || now-r.loadAt > firstHandFor) {
		r.pace, r.paceAt = pace, seenAt
	}
	if seenAt > r.faultsAt && now-r.faultsAt > firstHandFor {
		r.faults, r.faultsAt = faults, seenAt
	}
}
