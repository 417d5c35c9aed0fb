package forward

import (
	"time"

	"stiletrail/internal/failure"
)

// A refusal promises that the request did not run and never will. It is given only where nothing was sent, or each
// attempt is proved not to have run and none is under way (nothingRan). These are all that this package gives; the
// gateway has others, given before a request starts.
//
//	when                                                       code               reason                  time to come back
//	at the start, fewer shards than required can be asked      NO_REPLICA         no_back_end             Settings.RetryAfter
//	later, nothing was sent and no shard can be asked          NO_REPLICA         no_back_end             Settings.RetryAfter
//	no back end took it for a part of the target (roomUntil)   OVERLOADED         no_room, all_refused    retryAfterOverloaded
//	no shard is left to ask, and all attempts were refused     OVERLOADED         all_refused             retryAfterOverloaded
//	under quarantine                                           QUARANTINED        quarantined             Settings.RetryAfter
//	at the deadline                                            DEADLINE_EXCEEDED  deadline                retryAfterOverloaded
//	the node stops                                             LEAVING            given_up                retryAfterOverloaded
//
// Where back ends that refused named a time, the longest of theirs goes before these.
const (
	// roomShare of the target latency is how long a request is held that no back end has room for.
	roomShare = 5
	// retryAfterOverloaded is said where a back end may have room at any moment.
	retryAfterOverloaded = 60 * time.Millisecond
)

// refusal says that the request did not run.
func (r *Request) refusal(code failure.Code, retryAfter time.Duration) *failure.Failure {
	if r.retryAfter > 0 {
		retryAfter = r.retryAfter
	}
	return failure.Refused(code, "no back end took the request", retryAfter)
}

// nothingRan reports whether nothing of the request has run and no attempt is under way, so that its caller can be told
// to come back.
func (r *Request) nothingRan() bool { return !r.mayHaveRun && !r.anyUnderWay() }

// roomUntil is how long back ends are looked for that take a request of which nothing has run.
func (r *Request) roomUntil() time.Duration { return r.arrivedAt + r.route.TargetLatency/roomShare }

// refuseTooFew refuses a request at its start where too few shards have a back end that can be asked: nothing was sent yet, so
// it can still be promised that it did not run, and the caller comes back when there may be more.
func (r *Request) refuseTooFew() {
	if r.open() >= r.required() {
		return
	}
	r.actions = nil
	r.attempts = nil
	r.anySent = false
	r.finish(r.withFailure(NoBackEnd, r.refusal(failure.NoReplica, r.settings.RetryAfter)))
}

// noneCouldBeAsked is the answer where nothing was sent and nothing can be.
func (r *Request) noneCouldBeAsked() Answer {
	return Answer{Reason: NoBackEnd, Failure: r.refusal(failure.NoReplica, r.settings.RetryAfter)}
}

// noRoom is the answer where no back end took the request.
func (r *Request) noRoom() Answer {
	answer := Answer{Reason: AllRefused, Failure: r.refusal(failure.Overloaded, retryAfterOverloaded)}
	if !r.anySent {
		answer.Reason = NoRoom
	}
	return answer
}

// endedBackEnds is the answer to a request under which back ends have ended, or that is under quarantine and was tried in vain.
func (r *Request) endedBackEnds() Answer {
	if r.mayHaveRun {
		return r.withFailure(Quarantined, failure.New(failure.Quarantined, "back ends ended while they ran the request"))
	}
	return r.withFailure(Quarantined, r.refusal(failure.Quarantined, r.settings.RetryAfter))
}

// timedOut is the answer at the deadline. An attempt under way may have run.
func (r *Request) timedOut() Answer {
	if !r.nothingRan() {
		return r.withFailure(DeadlineReached, failure.New(failure.DeadlineExceeded, "the time of the request is over"))
	}
	return r.withFailure(DeadlineReached, r.refusal(failure.DeadlineExceeded, retryAfterOverloaded))
}

// nodeStops is the answer that a request gets as the node stops.
func (r *Request) nodeStops() Answer {
	if !r.nothingRan() {
		return r.withFailure(GivenUp, failure.New(failure.OutcomeUnknown, "the node stops before the request has ended"))
	}
	return r.withFailure(GivenUp, r.refusal(failure.Leaving, retryAfterOverloaded))
}
