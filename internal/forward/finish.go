package forward

import (
	"time"

	"stiletrail/internal/admit"
	"stiletrail/internal/failure"
)

// finishIfDue is the rule of when a request is answered: as soon as
//   - all shards have answered;
//   - too few can answer any more;
//   - enough have at the target latency, or after it;
//   - enough have, and the others cannot by the moment at which the answer goes out;
//   - the deadline has come;
//   - nothing of it has run for a part of the target latency.
func (r *Request) finishIfDue(now time.Duration) {
	if r.done {
		return
	}
	if now >= r.target {
		r.sampleOnce()
	}
	enough := r.answered >= r.required()
	switch {
	case r.answered == len(r.shards):
		r.succeed(Complete)
	case r.answered+r.open() < r.required():
		r.fail(now)
	case now >= r.target && enough && r.settings.EarlyFinish && r.route.FansOut():
		r.succeed(TargetReached)
	case enough && !r.worthWaiting():
		r.succeed(ShardsFailed)
	case now >= r.deadline && enough:
		r.succeed(DeadlineReached)
	case now >= r.deadline:
		r.finish(r.timedOut())
	case r.nothingRan() && now >= r.roomUntil():
		r.finish(r.noRoom())
	}
}

// fail answers a request that can't succeed any more.
func (r *Request) fail(now time.Duration) {
	response := r.shards[0].last.Response
	switch {
	case !r.route.FansOut() && response != nil:
		r.finish(Answer{BackEndResponse: response, TotalShards: 1, Reason: BackEndFailed})
	case now >= r.deadline:
		r.finish(r.timedOut())
	case r.caution.quarantined:
		r.finish(r.endedBackEnds())
	case !r.nothingRan():
		r.finish(r.withFailure(ShardsFailed, r.outcomeFailure()))
	case !r.anySent:
		r.finish(r.noneCouldBeAsked())
	default:
		r.finish(r.noRoom())
	}
}

// outcomeFailure is the failure of a request that ran, or may have run, on some back end.
func (r *Request) outcomeFailure() *failure.Failure {
	if r.route.FansOut() {
		return failure.New(failure.CoverageTooLow, "fewer shards can answer than the route's minimum coverage")
	}
	return failure.New(failure.OutcomeUnknown, "the back end gave no whole answer")
}

// GiveUp answers the request at once with what is there.
func (r *Request) GiveUp(time.Duration) []Action {
	if r.done {
		return nil
	}
	if r.answered >= r.required() {
		r.succeed(GivenUp)
	} else {
		r.finish(r.nodeStops())
	}
	return r.takeActions()
}

// required is how many shards an answer needs.
func (r *Request) required() int {
	if r.route.FansOut() {
		return r.route.RequiredShards()
	}
	return 1
}

// open counts the shards that may still be answered.
func (r *Request) open() (open int) {
	for i := range r.shards {
		if r.shards[i].open() {
			open++
		}
	}
	return open
}

func (r *Request) anyUnderWay() bool {
	for i := range r.shards {
		if r.shards[i].live() > 0 {
			return true
		}
	}
	return false
}

// sampleOnce tells the node what the request lacks: at its target, or before when it succeeds.
func (r *Request) sampleOnce() {
	if r.sampled || !r.route.FansOut() {
		return
	}
	r.sampled = true
	sample := admit.Sample{
		Missing: len(r.shards) - r.answered, AllowedMissing: len(r.shards) - r.required(), Attempts: len(r.attempts),
	}
	for _, attempt := range r.attempts {
		if attempt.Outcome.Kind == Refused && !attempt.Outcome.Load.HasFreeSlot() {
			sample.ShedAttempts++
		}
	}
	r.node.RecordSample(sample)
}

// finish gives the answer, which is the last action.
func (r *Request) finish(answer Answer) {
	if answer.Failure == nil {
		r.sampleOnce()
	}
	r.done = true
	r.cancelAllAttempts()
	r.actions = append(r.actions, Finish{answer})
}
