package forward

import "time"

// timing holds the times that the rules of a request go by. A request may have lain unread before it was started,
// because the node was paused or got little processor time. So its times count from two origins:
//   - What the caller waits for counts from the arrival of the request: the deadline, and the time at which an answer is
//     still within the target latency.
//   - What the node and the back ends get to do their part counts from the start of the request. Time that the node has
//     lost before is no sign that the back ends are overloaded, and no reason to refuse a request or to answer it with
//     fewer shards.
//
// Both are the same for a request that was read at once.
type timing struct {
	startedAt time.Duration
	// deadline is when the final answer goes out.
	deadline time.Duration
	// callerTarget is the latest time at which an answer still reaches the caller within the target latency.
	// callerTargetMissed is set if too few shards had answered by then.
	callerTarget       time.Duration
	callerTargetMissed bool
	// serviceTarget is when the shards have had the target latency to answer.
	serviceTarget time.Duration
	// acceptanceDeadline is until when the request tries to find a back end that runs it, while none has.
	acceptanceDeadline time.Duration
}

// A request is refused if no back end has run any of it within the target latency divided by acceptanceDivisor.
const acceptanceDivisor = 5

// newTiming returns the times of a request that starts now. The margin is the time in which an answer travels back to the
// caller.
func newTiming(now time.Duration, parameters *Parameters, margin time.Duration) timing {
	route, arrived := parameters.Route, parameters.ArrivedAt
	if arrived == 0 {
		arrived = now
	}
	t := timing{
		startedAt: now, deadline: arrived + route.Timeout, callerTarget: arrived + route.TargetLatency - margin,
		serviceTarget: now + route.TargetLatency - margin, acceptanceDeadline: now + route.TargetLatency/acceptanceDivisor,
	}
	if parameters.Deadline > 0 {
		t.deadline = min(t.deadline, parameters.Deadline-margin)
	}
	return t
}

// earlyFinishAt returns when an answer with enough shards may go out. That is the last time at which it is within the
// target latency for the caller. Once that is missed, an answer with few shards is of no more use to the caller than a
// slightly later one with all of them, and the shards get their whole time.
func (t *timing) earlyFinishAt() time.Duration {
	if t.callerTargetMissed {
		return t.serviceTarget
	}
	return t.callerTarget
}
