package forward

import "time"

// Pauses and giving up. A shard whose attempts have failed, and that cannot be asked again at once (retry.go), is
// asked again after Settings.RetryPause. Each further pause is twice as long as the last one, up to longestPause. A
// pause also lasts until one of the shard's replicas is expected to return from its ejection (Node.EarliestRecovery).
// A shard that waits only for an extra attempt that is reserved or asked for (need.go) still leaves out the replicas that it has
// tried. A late answer is better than none, and a replica, capacity or budget that the shard lacks now is often available a
// little later. The shard is given up
//   - if the pause would end at or after the deadline, or pauses are off;
//   - if the only back end asked gave a failure of its own, which is then the caller's answer;
//   - if the request must not be sent to the shard's service, because it crashes the back ends there.
//
// A request with enough answers does not wait for a shard whose pause ends after the time at which the answer goes
// out (openShardMayAnswerInTime).
//
// longestPause bounds the pauses. lendingRecheckInterval is the pause while other nodes are asked to lend an extra attempt.
const (
	longestPause           = 200 * time.Millisecond
	lendingRecheckInterval = 10 * time.Millisecond
)

// pauseOrGiveUp pauses a shard that has no attempt in flight, or gives it up.
func (r *Request) pauseOrGiveUp(now time.Duration, number int) {
	s := &r.shards[number]
	s.pauseLength = r.nextPauseLength(now, s)
	if !s.waitsForExtra() {
		s.tried = nil
	}
	recovery, known := r.node.EarliestRecovery(s.service, r.pickOptions(s))
	until := max(now+s.pauseLength, recovery)
	if r.settings.RetryPause > 0 && known && until < r.timing.deadline && !r.isSingleBackEndFailure(s) && !r.node.ShardExcluded(s.service) {
		s.setState(paused{until: until})
	} else {
		s.setState(failed{})
	}
}

// nextPauseLength returns the length of a shard's next pause. One that waits only for extra attempts is asked again soon
// while the answer may still be within the target latency.
func (r *Request) nextPauseLength(now time.Duration, s *shard) time.Duration {
	switch {
	case s.extraAsked:
		return min(lendingRecheckInterval, r.settings.RetryPause)
	case s.extraReserved && now < r.timing.serviceTarget:
		return r.settings.RetryPause
	}
	return min(max(2*s.pauseLength, r.settings.RetryPause), longestPause)
}

// isSingleBackEndFailure reports whether the only back end asked gave a failure of its own, which is the caller's
// answer.
func (r *Request) isSingleBackEndFailure(s *shard) bool {
	return !r.route.FansOut() && s.lastFailure.Response != nil
}

// retryAfterPause asks a shard again after its pause, or pauses it again.
func (r *Request) retryAfterPause(now time.Duration, number int) {
	if r.startRetry(now, number) {
		return
	}
	r.pauseOrGiveUp(now, number)
	if r.shards[number].waitsForCapacity() {
		r.awaitCapacity(now, number)
	}
}

// openShardMayAnswerInTime reports whether a shard may still answer by the time at which the answer goes out with the
// shards that have answered: the time of an early answer with EarlyFinish, otherwise the deadline.
func (r *Request) openShardMayAnswerInTime() bool {
	until := r.timing.deadline
	if r.settings.EarlyFinish {
		until = r.timing.earlyFinishAt()
	}
	for i := range r.shards {
		s := &r.shards[i]
		if pause, ok := s.state.(paused); s.isOpen() && (!ok || pause.until < until) {
			return true
		}
	}
	return false
}
