package forward

import "time"

// The rule of retries. A shard with no attempt under way any more is asked again if the request is repeatable, or its
// last attempt is proved not to have run, and the deadline has not come:
//   - at once, at a replica that was not tried since the last pause, if there is one with room that can answer by the
//     deadline and the service's budget allows it; an attempt in the place of one of which no byte was written costs
//     none;
//   - else after a pause (pause.go), if there are pauses and one may help;
//   - else it has failed.

// mostWithoutPause: a shard that has been tried at more replicas than that since its last pause is asked again only after
// another pause.
const mostWithoutPause = 3

// retryOrGiveUp decides what becomes of a shard whose attempt failed. Another attempt under way may still answer it.
func (r *Request) retryOrGiveUp(now time.Duration, number int) {
	s := &r.shards[number]
	if s.live() > 0 {
		return
	}
	if !r.mayRepeat(now, s) {
		s.become(failed{})
		return
	}
	if !r.retry(now, number) {
		r.pauseOrGiveUp(now, number)
	}
}

// mayRepeat: a request that is not repeatable goes out again only with proof that it did not run.
func (r *Request) mayRepeat(now time.Duration, s *shard) bool {
	kind := s.last.Kind
	if kind == Expired || now >= r.deadline {
		return false
	}
	return r.route.Repeatable || kind.NotRun()
}

// retry asks another replica at once, and reports whether it did.
func (r *Request) retry(now time.Duration, number int) bool {
	s := &r.shards[number]
	if r.node.ShardExcluded(s.service) {
		s.denied = DeniedQuarantined
		return false
	}
	if len(s.tried) > mostWithoutPause || (r.settings.RetryPause == 0 && s.sent >= r.route.MaximumAttempts) {
		return false
	}
	chosen, busy := r.node.Pick(s.service, r.choice(s))
	if chosen == nil {
		s.denied = noReplica(busy)
		return false
	}
	if r.tooLate(now, chosen) {
		s.denied = DeniedTooLate
		return false
	}
	if !r.spendRetry(s) {
		s.denied = DeniedNoBudget
		return false
	}
	r.send(now, number, chosen, Retry)
	return true
}

// spendRetry takes an attempt out of the budget. The first to arrive is no extra one, and neither is one in the place of
// another that was paid for and never arrived.
func (r *Request) spendRetry(s *shard) bool {
	if s.sent <= s.paid {
		return true
	}
	if !r.node.SpendRetry(s.service) {
		return false
	}
	s.paid++
	return true
}
