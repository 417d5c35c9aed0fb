package forward

import "time"

// The rule of pauses and of giving up. A shard whose attempts have failed, and that can't be asked again at once (retry.go),
// is asked again after Settings.RetryPause, and each time after twice as long, and not before one of its replicas is
// expected to be out of its ejection (Node.Recovers): a late answer is worth more than none, and what the shard lacks now, a
// replica, room or budget, it has often a little later. It is given up
//   - where that moment is not before the deadline, or pauses are off;
//   - where the only back end asked gave a failure of its own, which is the caller's answer;
//   - where the request is kept from its service, whose back ends it ends.
//
// A request with enough answers doesn't wait for a shard that pauses beyond the moment at which the answer goes out
// (worthWaiting).
//
// longestPause bounds the pauses.
const longestPause = 200 * time.Millisecond

// pauseOrGiveUp pauses a shard with no attempt under way, or gives it up.
func (r *Request) pauseOrGiveUp(now time.Duration, number int) {
	s := &r.shards[number]
	s.pause = min(max(2*s.pause, r.settings.RetryPause), longestPause)
	s.tried = nil
	recovery, known := r.node.EarliestRecovery(s.service, r.choice(s))
	until := max(now+s.pause, recovery)
	if r.settings.RetryPause > 0 && known && until < r.deadline && !r.ownFailure(s) && !r.node.ShardExcluded(s.service) {
		s.become(paused{until: until})
	} else {
		s.become(failed{})
	}
}

// ownFailure reports whether the only back end asked gave a failure of its own, which is the caller's answer.
func (r *Request) ownFailure(s *shard) bool { return !r.route.FansOut() && s.last.Response != nil }

// resume asks a shard again after its pause.
func (r *Request) resume(now time.Duration, number int) {
	if !r.retry(now, number) {
		r.pauseOrGiveUp(now, number)
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
		if pause, ok := s.state.(paused); s.open() && (!ok || pause.until < until) {
			return true
		}
	}
	return false
}
