package forward

import (
	"time"

	"stiletrail/internal/admit"
	"stiletrail/internal/failure"
)

// When a caller may come back after a refusal.
const (
	// offerShare of the target latency is how long a request is held that no back end has room for.
	offerShare = 5
	// overloadedRetryAfter is said where no back end named a time.
	overloadedRetryAfter = 60 * time.Millisecond
)

// Answer is what the caller gets. One of Passed, Records with Signatures, and Failure is set.
type Answer struct {
	// Passed is the answer of a single back end, passed back as it is.
	Passed *Response
	// Records are the greatest records of the parts that are in, greatest first; Signatures are those parts' own.
	Records    []byte
	Signatures []string
	Total      int
	Missing    int
	Failure    *failure.Failure
	Reason     Reason
}

// Reason says why a request was answered when it was.
type Reason string

// The reasons.
const (
	Complete      Reason = "complete"
	TargetReached Reason = "target_reached"
	DeadlineCame  Reason = "deadline"
	ShardsFailed  Reason = "shards_failed"
	BackEndFailed Reason = "back_end_failed"
	NoRoom        Reason = "no_room"
	NoBackEnd     Reason = "no_back_end"
	AllRefused    Reason = "all_refused"
	GivenUp       Reason = "given_up"
	// TurnedAway: the node gets more requests than back ends can answer in time.
	TurnedAway Reason = "turned_away"
	// Quarantined: the request ends the back ends that run it.
	Quarantined Reason = "quarantined"
)

// decide answers the request as soon as it can be answered.
func (r *Request) decide(now time.Duration) {
	if r.done {
		return
	}
	if now >= r.target {
		r.tellMet()
	}
	open := r.open()
	required := r.required()
	enough := r.answered >= required
	switch {
	case r.answered == len(r.shards):
		r.succeed(Complete)
	case r.answered+open < required:
		r.fail(now)
	case now >= r.target && enough && r.settings.EarlyFinish && r.route.FansOut():
		r.succeed(TargetReached)
	case enough && !r.worthWaiting():
		r.succeed(ShardsFailed)
	case now >= r.deadline && enough:
		r.succeed(DeadlineCame)
	case now >= r.deadline:
		r.finish(r.timedOut())
	case r.untouched() && now >= r.offerUntil():
		r.finish(r.refused())
	}
}

// GiveUp answers the request at once with what is there.
func (r *Request) GiveUp(time.Duration) []Action {
	if r.done {
		return nil
	}
	if r.answered >= r.required() {
		r.succeed(GivenUp)
		return r.take()
	}
	answer := Answer{Reason: GivenUp, Total: len(r.shards), Missing: len(r.shards) - r.answered}
	if r.mayHaveRun || r.anyLive() {
		answer.Failure = failure.New(failure.OutcomeUnknown, "the node stops before the request has ended")
	} else {
		answer.Failure = r.refusal(failure.Leaving, overloadedRetryAfter)
	}
	r.finish(answer)
	return r.take()
}

func (r *Request) required() int {
	if r.route.FansOut() {
		return r.route.RequiredShards()
	}
	return 1
}

// open counts the shards that may still be answered.
func (r *Request) open() (open int) {
	for i := range r.shards {
		s := &r.shards[i]
		if s.response == nil && !s.failed {
			open++
		}
	}
	return open
}

func (r *Request) succeed(reason Reason) {
	if !r.route.FansOut() {
		r.finish(Answer{Passed: r.shards[0].response, Total: 1, Reason: reason})
		return
	}
	answer := Answer{Total: len(r.shards), Missing: len(r.shards) - r.answered, Reason: reason}
	merger := newMerger(r.route.Top)
	for i := range r.shards {
		response := r.shards[i].response
		if response == nil {
			continue
		}
		answer.Signatures = append(answer.Signatures, response.Signature)
		merger.add(response.Body)
	}
	answer.Records = merger.bytes()
	r.finish(answer)
}

// fail answers a request that can't succeed any more.
func (r *Request) fail(now time.Duration) {
	if response := r.shards[0].last.Response; !r.route.FansOut() && response != nil {
		r.finish(Answer{Passed: response, Total: 1, Reason: BackEndFailed})
		return
	}
	if now >= r.deadline {
		r.finish(r.timedOut())
		return
	}
	if r.caution.quarantined {
		r.finish(r.ended())
		return
	}
	if r.mayHaveRun || r.anyLive() {
		r.finish(Answer{Reason: ShardsFailed, Total: len(r.shards), Missing: len(r.shards) - r.answered, Failure: r.outcomeFailure()})
		return
	}
	if !r.anySent {
		r.finish(Answer{Reason: NoBackEnd, Failure: r.refusal(failure.NoReplica, r.settings.ComeBack)})
		return
	}
	r.finish(r.refused())
}

// ended is the answer to a request under which back ends have ended, or that is under quarantine and was tried in vain.
func (r *Request) ended() Answer {
	answer := Answer{Reason: Quarantined, Total: len(r.shards), Missing: len(r.shards) - r.answered}
	if r.mayHaveRun {
		answer.Failure = failure.New(failure.Quarantined, "back ends ended while they ran the request")
	} else {
		answer.Failure = r.refusal(failure.Quarantined, r.settings.ComeBack)
	}
	return answer
}

// untouched reports whether nothing of the request has run and no attempt is under way, so that its caller can be told to come back.
func (r *Request) untouched() bool { return !r.mayHaveRun && !r.anyLive() }

// offerUntil is how long back ends are looked for that take a request of which nothing has run.
func (r *Request) offerUntil() time.Duration { return r.startedAt + r.route.TargetLatency/offerShare }

// refused is the answer where no back end took the request.
func (r *Request) refused() Answer {
	answer := Answer{Reason: AllRefused, Failure: r.refusal(failure.Overloaded, overloadedRetryAfter)}
	if !r.anySent {
		answer.Reason = NoRoom
	}
	return answer
}

// outcomeFailure is the failure of a request that ran, or may have run, on some back end.
func (r *Request) outcomeFailure() *failure.Failure {
	if r.route.FansOut() {
		return failure.New(failure.CoverageTooLow, "fewer shards can answer than the route's minimum coverage")
	}
	return failure.New(failure.OutcomeUnknown, "the back end gave no whole answer")
}

// timedOut is the answer at the deadline. An attempt under way may have run.
func (r *Request) timedOut() Answer {
	answer := Answer{Reason: DeadlineCame, Total: len(r.shards), Missing: len(r.shards) - r.answered}
	if r.mayHaveRun || r.anyLive() {
		answer.Failure = failure.New(failure.DeadlineExceeded, "the time of the request is over")
	} else {
		answer.Failure = r.refusal(failure.DeadlineExceeded, overloadedRetryAfter)
	}
	return answer
}

// refusal promises that the request did not run and never will. It is given only where each attempt was proved not to have
// run, and none is under way.
func (r *Request) refusal(code failure.Code, retryAfter time.Duration) *failure.Failure {
	if r.retryAfter > 0 {
		retryAfter = r.retryAfter
	}
	return failure.Refused(code, "no back end took the request", retryAfter)
}

func (r *Request) anyLive() bool {
	for _, attempt := range r.attempts {
		if attempt.live {
			return true
		}
	}
	return false
}

// tellMet tells the node what the request has met: at its target, or before when it succeeds.
func (r *Request) tellMet() {
	if r.told || !r.route.FansOut() {
		return
	}
	r.told = true
	seen := admit.Seen{
		Lacking: len(r.shards) - r.answered, MayLack: len(r.shards) - r.required(), Attempts: len(r.attempts),
	}
	for _, attempt := range r.attempts {
		if attempt.Outcome.Kind == Refused && !attempt.Outcome.Load.HasRoom() {
			seen.Shed++
		}
	}
	r.world.Met(seen)
}

func (r *Request) finish(answer Answer) {
	if answer.Failure == nil {
		r.tellMet()
	}
	r.done = true
	r.cancelAll()
	r.actions = append(r.actions, Action{Finish: &answer})
}
