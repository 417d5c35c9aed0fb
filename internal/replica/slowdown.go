package replica

import "time"

// slowdownLifetime is how long a slowdown counts that nobody tells again. Each node has a time of its own up to twice that,
// so that one tries a slow back end first and tells the others.
const slowdownLifetime = 2 * time.Second

// slowdown is how long work takes at a replica as a multiple of the usual, as the replica told it, or another node that asked it.
type slowdown struct {
	// factor is 0 before anybody told.
	factor float64
	at     time.Duration
}

// current is the factor that is expected, at least 1. The affinity spreads the nodes' times.
func (s *slowdown) current(now time.Duration, affinity uint64) float64 {
	lasts := time.Duration(float64(slowdownLifetime) * (1 + float64(affinity>>32)/(1<<32)))
	if s.factor == 0 || now-s.at > lasts {
		return 1
	}
	return max(s.factor, 1)
}

// withoutSlowdown is how long an answer would have taken at the usual speed, where the load came with that answer.
func (r *Replica) withoutSlowdown(now, elapsed time.Duration) time.Duration {
	floor := r.latency.minimum
	if !r.useSlowdown || r.load.at != now || !r.load.Reported || r.load.Slowdown <= 1 || elapsed <= floor {
		return elapsed
	}
	return floor + time.Duration(float64(elapsed-floor)/r.load.Slowdown)
}
