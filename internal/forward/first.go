package forward

import "time"

// Waits for room, which double, so that many requests that wait do not take the time of those that are served.
const (
	firstWait   = 4 * time.Millisecond
	longestWait = 64 * time.Millisecond
)

// askFirst sends the first attempt at a shard to the best replica:
//   - a shard whose back ends the request ends is left out of it;
//   - one without a replica that can be asked, or that could answer by the deadline, has failed;
//   - one whose replicas all have their attempts waits for room.
func (r *Request) askFirst(now time.Duration, number int) {
	s := &r.shards[number]
	if r.node.ShardExcluded(s.service) {
		s.fail(DeniedQuarantined)
		return
	}
	chosen, busy := r.node.Pick(s.service, r.choice(s))
	switch {
	case chosen != nil && r.tooLate(now, chosen):
		s.fail(DeniedTooLate)
	case chosen != nil:
		r.send(now, number, chosen, First)
	case busy:
		s.wait = min(max(2*s.wait, firstWait), longestWait)
		s.become(waiting{until: now + s.wait})
	default:
		s.fail(DeniedNoOtherReplica)
	}
}
