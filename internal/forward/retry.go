package forward

import (
	"slices"
	"time"

	"stiletrail/internal/replica"
)

// How a shard whose attempts have failed is tried again.
const (
	// longestPause bounds the pauses between tries, which double.
	longestPause = 200 * time.Millisecond
	// unsentTries bounds how often a shard looks for another replica without a pause after attempts of which no byte was written.
	unsentTries = 3
)

// tryAgain decides what becomes of a shard whose attempt failed: another attempt under way may still answer it, another
// replica is asked if that is safe and allowed, or it is tried again after a pause.
func (r *Request) tryAgain(now time.Duration, number int) {
	s := &r.shards[number]
	if s.live > 0 {
		return
	}
	if !r.mayRepeat(now, s) {
		s.failed = true
		return
	}
	if !r.retry(now, number) {
		r.tryLater(now, number)
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

// retry asks another replica at once, and reports whether there was one and the budget allowed it.
func (r *Request) retry(now time.Duration, number int) bool {
	s := &r.shards[number]
	if r.world.LeftOut(s.service) {
		s.denied = DeniedQuarantined
		return false
	}
	if len(s.tried) > unsentTries || (r.settings.Pace == 0 && s.sent >= r.route.MaximumAttempts) {
		return false
	}
	chosen, busy := r.world.Pick(s.service, r.choice(s))
	if chosen == nil {
		s.denied = noReplica(busy)
		return false
	}
	if r.tooLate(now, chosen) {
		s.denied = DeniedTooLate
		return false
	}
	if !r.pay(s) {
		s.denied = DeniedBudget
		return false
	}
	r.send(now, number, chosen, Retry)
	return true
}

// pay takes an attempt out of the budget. The first to arrive is no extra one, and neither is one in the place of another that was
// paid for and never arrived.
func (r *Request) pay(s *shard) bool {
	if s.sent <= s.paid {
		return true
	}
	if !r.world.SpendRetry(s.service) {
		return false
	}
	s.paid++
	return true
}

// tryLater has a shard with no attempt under way tried again after a pause, and not before one of its replicas is expected to be
// sound: a late answer is worth more than none, and what the shard lacks now (a replica, room, budget) it has often a little
// later. The shard has failed where that cannot be in the time there is.
func (r *Request) tryLater(now time.Duration, number int) {
	s := &r.shards[number]
	s.pause = min(max(2*s.pause, r.settings.Pace), longestPause)
	s.tried = nil
	recovery, known := r.world.Recovers(s.service, r.choice(s))
	s.lookAgainAt = max(now+s.pause, recovery)
	s.paused = r.settings.Pace > 0 && known && s.lookAgainAt < r.deadline && !r.ownFailure(s) && !r.world.LeftOut(s.service)
	s.failed = !s.paused
}

// ownFailure reports whether the only back end asked gave a failure of its own, which is the caller's answer.
func (r *Request) ownFailure(s *shard) bool { return !r.route.FansOut() && s.last.Response != nil }

// resume tries a shard again after its pause.
func (r *Request) resume(now time.Duration, number int) {
	s := &r.shards[number]
	s.paused = false
	if !r.retry(now, number) {
		r.tryLater(now, number)
	}
}

// worthWaiting reports whether a shard may still be answered by the moment at which the answer goes out with what is there.
func (r *Request) worthWaiting() bool {
	until := r.deadline
	if r.settings.EarlyFinish {
		until = r.target
	}
	for i := range r.shards {
		s := &r.shards[i]
		if s.response == nil && !s.failed && (!s.paused || s.lookAgainAt < until) {
			return true
		}
	}
	return false
}

// takeBack notes that an attempt at a replica did not arrive.
func (s *shard) takeBack(unreached *replica.Replica) {
	s.sent--
	i := slices.Index(s.asked, unreached)
	s.asked = slices.Delete(s.asked, i, i+1)
}

func distinct(replicas []*replica.Replica) int {
	count := 0
	for i, r := range replicas {
		if !slices.Contains(replicas[:i], r) {
			count++
		}
	}
	return count
}

func noReplica(busy bool) Denied {
	if busy {
		return DeniedBusy
	}
	return DeniedNoReplica
}
