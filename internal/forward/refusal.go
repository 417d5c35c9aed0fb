package forward

import (
	"time"

	"stiletrail/internal/failure"
)

// A refusal promises that the request did not run and never will. It is given only if nothing was sent, or if every
// attempt provably did not run and none is in flight (nothingRan). These are all refusals of this package; the
// gateway gives others before a request starts.
//
//	when                                              code               reason               retry-after time
//	at the start, too few shards have a back end      NO_REPLICA         no_back_end          Settings.RetryAfter
//	later, nothing was sent and no shard can be asked NO_REPLICA         no_back_end          Settings.RetryAfter
//	no back end ran any of it by acceptance deadline  OVERLOADED         no_room, all_refused retryAfterOverloaded
//	no shard is left to ask, all attempts refused     OVERLOADED         all_refused          retryAfterOverloaded
//	the request is under quarantine                   QUARANTINED        quarantined          Settings.RetryAfter
//	the deadline came                                 DEADLINE_EXCEEDED  deadline             retryAfterOverloaded
//	the node stops                                    LEAVING            given_up             retryAfterOverloaded
//
// If back ends that refused named a retry-after time, the longest of theirs is given instead.
const (
	// retryAfterOverloaded is the retry-after time if a back end may have a free slot again at any time.
	retryAfterOverloaded = 60 * time.Millisecond
)

// refusalFailure returns the failure that says that the request did not run.
func (r *Request) refusalFailure(code failure.Code, retryAfter time.Duration) *failure.Failure {
	if r.retryAfter > 0 {
		retryAfter = r.retryAfter
	}
	return failure.NewRefusal(code, "no back end accepted the request", retryAfter)
}

// nothingRan reports whether no back end has run any of the request and no attempt is in flight. Only then may the
// caller be told that the request did not run.
func (r *Request) nothingRan() bool { return !r.mayHaveRun && !r.anyInFlight() }

// refuseIfTooFewShards refuses a request at its start if too few shards have a back end that can be asked. No attempt
// has gone out yet, so the request provably did not run, and the caller may retry once there are more back ends.
func (r *Request) refuseIfTooFewShards() {
	if r.openShards() >= r.requiredShards() {
		return
	}
	r.actions = nil
	r.attempts = nil
	r.anySent = false
	r.finish(r.failureAnswer(NoBackEnd, r.refusalFailure(failure.NoReplica, r.settings.RetryAfter)))
}

// noBackEndAnswer returns the refusal of a request that could be sent to no back end.
func (r *Request) noBackEndAnswer() Answer {
	return Answer{Reason: NoBackEnd, Failure: r.refusalFailure(failure.NoReplica, r.settings.RetryAfter)}
}

// overloadedAnswer returns the refusal of a request that no back end accepted.
func (r *Request) overloadedAnswer() Answer {
	answer := Answer{Reason: AllRefused, Failure: r.refusalFailure(failure.Overloaded, retryAfterOverloaded)}
	if !r.anySent {
		answer.Reason = NoRoom
	}
	return answer
}

// quarantinedAnswer returns the answer to a request that has crashed back ends, or that is under quarantine and whose
// one attempt was not answered.
func (r *Request) quarantinedAnswer() Answer {
	if r.mayHaveRun {
		return r.failureAnswer(Quarantined, failure.New(failure.Quarantined, "back ends crashed while they ran the request"))
	}
	return r.failureAnswer(Quarantined, r.refusalFailure(failure.Quarantined, r.settings.RetryAfter))
}

// deadlineAnswer returns the answer at the deadline. It says that the request did not run only if no attempt is in
// flight.
func (r *Request) deadlineAnswer() Answer {
	if !r.nothingRan() {
		return r.failureAnswer(DeadlineReached, failure.New(failure.DeadlineExceeded, "the deadline of the request has passed"))
	}
	return r.failureAnswer(DeadlineReached, r.refusalFailure(failure.DeadlineExceeded, retryAfterOverloaded))
}

// nodeStoppingAnswer returns the answer of a request that has too few answers as the node stops.
func (r *Request) nodeStoppingAnswer() Answer {
	if !r.nothingRan() {
		return r.failureAnswer(GivenUp, failure.New(failure.OutcomeUnknown, "the node stops before the request has ended"))
	}
	return r.failureAnswer(GivenUp, r.refusalFailure(failure.Leaving, retryAfterOverloaded))
}
