package forward

import (
	"time"

	"stiletrail/internal/admit"
	"stiletrail/internal/failure"
)

// finishIfDue answers the request as soon as one of these holds:
//   - All shards have answered.
//   - Too few shards can still answer, by their states or by the budgets (hopeless.go).
//   - The time for an early answer has come (timing.earlyFinishAt), and enough shards have answered.
//   - Enough shards have answered, and no other can answer by the time at which the answer would go out.
//   - The deadline has come.
//   - No back end has run any of the request by the acceptance deadline.
func (r *Request) finishIfDue(now time.Duration) {
	if r.done {
		return
	}
	if now >= r.timing.serviceTarget {
		r.reportSampleOnce()
	}
	enough := r.answered >= r.requiredShards()
	if !enough && now >= r.timing.callerTarget {
		r.timing.callerTargetMissed = true
	}
	switch {
	case r.answered == len(r.shards):
		r.succeed(Complete)
	case r.answered+r.openShards() < r.requiredShards():
		r.fail(now)
	case !enough && r.hopeless():
		r.fail(now)
	case now >= r.timing.earlyFinishAt() && enough && r.settings.EarlyFinish && r.route.FansOut():
		r.succeed(TargetReached)
	case enough && !r.openShardMayAnswerInTime():
		r.succeed(ShardsFailed)
	case now >= r.timing.deadline && enough:
		r.succeed(DeadlineReached)
	case now >= r.timing.deadline:
		r.finish(r.deadlineAnswer())
	case r.nothingRan() && now >= r.timing.acceptanceDeadline:
		r.finish(r.overloadedAnswer())
	}
}

// fail answers a request that can no longer succeed.
func (r *Request) fail(now time.Duration) {
	response := r.shards[0].lastFailure.Response
	switch {
	case !r.route.FansOut() && response != nil:
		r.finish(Answer{BackEndResponse: response, TotalShards: 1, Reason: BackEndFailed})
	case now >= r.timing.deadline:
		r.finish(r.deadlineAnswer())
	case r.trials.quarantined:
		r.finish(r.quarantinedAnswer())
	case !r.nothingRan():
		r.finish(r.failureAnswer(ShardsFailed, r.outcomeFailure()))
	case !r.anySent:
		r.finish(r.noBackEndAnswer())
	default:
		r.finish(r.overloadedAnswer())
	}
}

// outcomeFailure returns the failure of a request that a back end has run or may have run.
func (r *Request) outcomeFailure() *failure.Failure {
	if r.route.FansOut() {
		return failure.New(failure.CoverageTooLow, "fewer shards can answer than the route's minimum coverage")
	}
	return failure.New(failure.OutcomeUnknown, "the back end gave no complete answer")
}

// GiveUp answers the request at once: with the shards that have answered, or with a failure if they are too few.
func (r *Request) GiveUp(time.Duration) []Action {
	if r.done {
		return nil
	}
	if r.answered >= r.requiredShards() {
		r.succeed(GivenUp)
	} else {
		r.finish(r.nodeStoppingAnswer())
	}
	return r.takeActions()
}

// requiredShards returns how many shards must answer for the request to succeed.
func (r *Request) requiredShards() int {
	if r.route.FansOut() {
		return r.route.RequiredShards()
	}
	return 1
}

// openShards returns how many shards may still be answered.
func (r *Request) openShards() (open int) {
	for i := range r.shards {
		if r.shards[i].isOpen() {
			open++
		}
	}
	return open
}

// anyInFlight reports whether an attempt is in flight.
func (r *Request) anyInFlight() bool {
	for i := range r.shards {
		if r.shards[i].attemptsInFlight() > 0 {
			return true
		}
	}
	return false
}

// reportSampleOnce tells the node what the request is missing: at its service target, or earlier if it succeeds before.
func (r *Request) reportSampleOnce() {
	if r.sampleReported || !r.route.FansOut() {
		return
	}
	r.sampleReported = true
	sample := admit.Sample{
		Rank: r.rank, Missing: len(r.shards) - r.answered, AllowedMissing: len(r.shards) - r.requiredShards(), Attempts: len(r.attempts),
	}
	for _, attempt := range r.attempts {
		if attempt.Outcome.Kind == Refused && !attempt.Outcome.Load.HasFreeSlot() {
			sample.ShedAttempts++
		}
	}
	r.node.RecordSample(sample)
}

// finish answers the request and cancels its attempts. The answer is the last action.
func (r *Request) finish(answer Answer) {
	if answer.Failure == nil {
		r.reportSampleOnce()
	}
	r.done = true
	r.cancelAllAttempts()
	r.actions = append(r.actions, Finish{answer})
}
