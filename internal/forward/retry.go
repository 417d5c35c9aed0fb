package forward

import "time"

// Retries are attempts after a failure. A shard that has no attempt left in flight is asked again if the deadline has
// not come, and the request is repeatable or its last attempt provably did not run:
//   - at once, if a replica that was not tried since the last pause is below its limit and can answer by the
//     deadline, and the service's budget allows the attempt (an attempt that replaces one of which no byte was
//     written is not charged to the budget);
//   - otherwise after a pause (pause.go), if pauses are on and another attempt may help.
//
// In all other cases the shard has failed.

// maximumTriedWithoutPause bounds the attempts without a pause. A shard that has tried more replicas than this since
// its last pause is asked again only after another pause.
const maximumTriedWithoutPause = 3

// retryOrGiveUp decides what follows after an attempt at a shard failed. While another attempt is in flight at the
// shard, nothing follows.
func (r *Request) retryOrGiveUp(now time.Duration, number int) {
	s := &r.shards[number]
	if s.attemptsInFlight() > 0 {
		return
	}
	if !r.repeatAllowed(now, s) {
		s.setState(failed{})
		return
	}
	if !r.startRetry(now, number) {
		r.pauseOrGiveUp(now, number)
	}
}

// repeatAllowed reports whether a shard may be asked again. A request that is not repeatable is sent again only if
// its last attempt provably did not run.
func (r *Request) repeatAllowed(now time.Duration, s *shard) bool {
	kind := s.lastFailure.Kind
	if kind == Expired || now >= r.timing.deadline {
		return false
	}
	return r.route.Repeatable || kind.NotRun()
}

// startRetry asks another replica at once, and reports whether an attempt was sent.
func (r *Request) startRetry(now time.Duration, number int) bool {
	s := &r.shards[number]
	s.extraReserved, s.extraAsked = false, false
	if r.node.ShardExcluded(s.service) {
		s.denied = DeniedQuarantined
		return false
	}
	if len(s.tried) > maximumTriedWithoutPause || (r.settings.RetryPause == 0 && s.delivered >= r.route.MaximumAttempts) {
		return false
	}
	chosen, busy := r.node.Pick(s.service, r.pickOptions(s))
	if chosen == nil {
		s.denied = denialWithoutReplica(busy)
		return false
	}
	if r.answersTooLate(now, chosen) {
		s.denied = DeniedTooLate
		return false
	}
	if !r.spendRetry(now, number) {
		return false
	}
	r.startAttempt(now, number, chosen, Retry)
	return true
}

// spendRetry takes an attempt out of the budget, unless it is free, or records why that is not allowed.
func (r *Request) spendRetry(now time.Duration, number int) bool {
	s := &r.shards[number]
	if s.retryIsFree() {
		return true
	}
	denied := r.extraDenied(now, number, Retry)
	if denied == "" && !r.node.SpendRetry(s.service) {
		denied = DeniedNoBudget
	}
	if denied == "" {
		s.extrasSpent++
		return true
	}
	s.denied = denied
	s.extraReserved = denied == DeniedReserved
	s.extraAsked = denied == DeniedNoBudget && r.settings.ExtrasByNeed && r.node.AskForExtra(s.service)
	return false
}
