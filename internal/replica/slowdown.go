package replica

import "time"

const (
	// slowdownFor is how long a slowdown counts that nobody tells again. Each node has a time of its own up to twice that, so that one tries a slow back end
	// first and tells the others.
	slowdownFor = 2 * time.Second
	// firstHandFor is how long what a node met itself goes before what others tell.
	firstHandFor = 200 * time.Millisecond
)

// Load is what a back end tells of itself with an answer. The zero value is of one that tells nothing.
type Load struct {
	// Told: the back end told it.
	Told bool
	// Running requests are in its slots, Waiting ones in its queue.
	Running int
	Waiting int
	Slots   int
	// Slowdown is how long work takes there at the moment as a multiple of the usual; 1 where that is not told.
	Slowdown float64
}

// HasRoom reports whether a slot was free.
func (l Load) HasRoom() bool { return l.Told && l.Waiting == 0 && l.Running < l.Slots }

// lastLoad is the load that a replica told last; at is 0 before it told any.
type lastLoad struct {
	Load
	at time.Duration
}

// slowdown is how long work takes at a replica as a multiple of the usual, as the replica told it, or another node that asked it.
type slowdown struct {
	// factor is 0 before anybody told.
	factor float64
	at     time.Duration
}

// now is the factor that is expected, at least 1. The affinity spreads the nodes' times.
func (s *slowdown) now(now time.Duration, affinity uint64) float64 {
	lasts := time.Duration(float64(slowdownFor) * (1 + float64(affinity>>32)/(1<<32)))
	if s.factor == 0 || now-s.at > lasts {
		return 1
	}
	return max(s.factor, 1)
}

// withoutSlowdown is how long an answer would have taken at the usual speed, where the load came with that answer.
func (r *Replica) withoutSlowdown(now, elapsed time.Duration) time.Duration {
	floor := r.latency.floor
	if !r.useSlowdown || r.load.at != now || !r.load.Told || r.load.Slowdown <= 1 || elapsed <= floor {
		return elapsed
	}
	return floor + time.Duration(float64(elapsed-floor)/r.load.Slowdown)
}

// TakeLoad takes in what the replica told of itself.
func (r *Replica) TakeLoad(now time.Duration, load Load) {
	if load.Told {
		r.load = lastLoad{load, now}
		r.slowdown = slowdown{load.Slowdown, now}
	}
}

// Key is by what nodes tell each other of the replica.
func (r *Replica) Key() uint64 { return r.key }

// Health is what nodes tell each other of the replica: how long work takes there as a multiple of the usual, and the share of its attempts of late that failed.
func (r *Replica) Health(now time.Duration) (slowdown, faults float64) {
	return r.slowdown.now(now, r.affinity), r.faults.now(now)
}

// TakeReport takes in what another node met at a back end at some moment. What this node has met itself of late goes before it.
func (s *Set) TakeReport(now time.Duration, key uint64, slowed, faults float64, seenAt time.Duration) {
	r := s.byKey[key]
	if r == nil {
		return
	}
	if seenAt > r.slowdown.at && (r.load.at == 0 || now-r.load.at > firstHandFor) {
		r.slowdown = slowdown{slowed, seenAt}
	}
	if seenAt > r.faults.at && now-r.faults.at > firstHandFor {
		r.faults = faultRate{faults, seenAt}
	}
}
