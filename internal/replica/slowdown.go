package replica

import "time"

// slowdownLifetime is how long a reported slowdown counts unless it is reported again. Each node extends it by a
// fraction of its own, up to twice the time, so that one node tries a slow back end first and reports the result to the
// others.
const slowdownLifetime = 2 * time.Second

// slowdown is how many times longer than usual work takes at a replica. The replica itself or another node has reported
// it.
type slowdown struct {
	// factor is 0 until a slowdown has been reported.
	factor float64
	at     time.Duration
}

// current returns the expected factor, at least 1. The affinity determines how long this node relies on a report.
func (s *slowdown) current(now time.Duration, affinity uint64) float64 {
	lifetime := time.Duration(float64(slowdownLifetime) * (1 + float64(affinity>>32)/(1<<32)))
	if s.factor == 0 || now-s.at > lifetime {
		return 1
	}
	return max(s.factor, 1)
}

// withoutSlowdown returns how long an answer would have taken at the replica's usual speed. It corrects only an answer
// that carried the replica's load.
func (r *Replica) withoutSlowdown(now, elapsed time.Duration) time.Duration {
	minimum := r.latency.minimum
	if !r.useSlowdown || r.load.at != now || !r.load.Reported || r.load.Slowdown <= 1 || elapsed <= minimum {
		return elapsed
	}
	return minimum + time.Duration(float64(elapsed-minimum)/r.load.Slowdown)
}
