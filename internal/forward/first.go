package forward

import "time"

// Waits before a replica is picked again if all replicas were at their limit. The wait doubles each time up to the
// longest one, so that many waiting requests do not use up the processor time of those that are being served.
const (
	firstCapacityWait   = 4 * time.Millisecond
	longestCapacityWait = 64 * time.Millisecond
)

// startFirstAttempt sends the first attempt at a shard to the best replica, with these exceptions:
//   - A shard whose back ends the request crashes has failed; nothing is sent to it.
//   - A shard has failed if no replica can be asked, or if the best one cannot answer by the deadline.
//   - A shard whose replicas are all at their limit waits for capacity.
func (r *Request) startFirstAttempt(now time.Duration, number int) {
	s := &r.shards[number]
	if r.node.ShardExcluded(s.service) {
		s.fail(DeniedQuarantined)
		return
	}
	chosen, busy := r.node.Pick(s.service, r.pickOptions(s))
	switch {
	case chosen != nil && r.answersTooLate(now, chosen):
		s.fail(DeniedTooLate)
	case chosen != nil:
		r.startAttempt(now, number, chosen, First)
	case busy && r.waitsInVain(now, s):
		s.fail(DeniedTooLate)
	case busy:
		s.capacityWait = min(max(2*s.capacityWait, firstCapacityWait), longestCapacityWait)
		s.setState(waitingForCapacity{until: r.nextPoll(now, s)})
		r.awaitCapacity(now, number)
	default:
		s.fail(DeniedNoOtherReplica)
	}
}
