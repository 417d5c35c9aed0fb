// Package forward decides how one request is served by back ends that this node calls directly. A request to a single
// back end is treated as a request over one shard.
//
// The package decides when an attempt is sent to a shard, when a hedge or a retry is sent to another replica, and
// when and how the request is answered. Package replica chooses the replica of each attempt. Each rule has its file:
//
//	first.go    the first attempt at a shard, and the wait while all replicas are at their limit
//	waiting.go  whose turn it is while several shards wait for the same back ends
//	hedge.go    when a second replica is asked while an attempt is still in flight
//	retry.go    when another replica is asked at once after a failed attempt
//	need.go     which requests get the last extra attempts of a service
//	pause.go    when a shard is asked again after a pause, and when it is given up
//	trials.go   how a request is sent on after it has crashed back ends
//	hopeless.go when it is given up since budgets allow too few shards to be asked again
//	finish.go   when the request is answered
//	refusal.go  when it is refused as not run, and after which time the caller may retry
//	timing.go   the times that these rules go by
//
// The package owns a Request: its attempts, and the state of each of its shards (state.go):
//
//	state               meaning                                             possible next states
//	unasked             nothing is decided yet (only within Start)          inFlight, waitingForCapacity, held, failed
//	waitingForCapacity  every replica is at its limit; picked again later   inFlight, waitingForCapacity, held, failed
//	inFlight            attempts may still be answered; may be hedged       inFlight, paused, held, answered, failed
//	paused              all attempts have failed; asked again later         inFlight, paused, held, failed
//	held                waits for another shard's answer or the next trial  inFlight, waitingForCapacity, paused, failed
//	answered            a back end has answered                             none
//	failed              the shard is given up                               failed
//
// It relies on a Node for replicas, budgets and the quarantine verdict on the request. It does no I/O, takes no lock
// and reads no clock. The caller passes in outcomes of attempts and the passing of time, and gets actions back. All
// times are readings of the caller's monotonic clock.
package forward

import (
	"fmt"
	"time"

	"stiletrail/internal/quarantine"
	"stiletrail/internal/routing"
)

// Request is one request in flight.
type Request struct {
	node     Node
	settings Settings
	route    *routing.Route
	// versions are the software versions of the back ends that may get the request. Empty allows every version.
	versions []string
	timing   timing

	shards   []shard
	attempts []*Attempt
	// answered counts the shards that have answered.
	answered int
	// siblingLatency is the latency of the answer that completed half of the shards, less the minimum latency of its
	// replica. It is 0 while unknown.
	siblingLatency time.Duration
	trials         trials
	// rank is the priority of the request. prioritized, waits and longestWait belong to waiting.go.
	prioritized bool
	rank        int
	waits       int
	longestWait time.Duration
	// anySent is set once an attempt was started. mayHaveRun is set once an attempt has run or may have run.
	anySent    bool
	mayHaveRun bool
	// retryAfter is the longest retry-after time that a back end named.
	retryAfter time.Duration
	// sampleReported is set once Node.RecordSample has been called.
	sampleReported bool

	actions []Action
	done    bool
}

// Start begins a request and returns it with its first actions.
func Start(now time.Duration, parameters Parameters, settings Settings, node Node) (*Request, []Action) {
	r := newRequest(now, parameters, settings, node)
	if r.trials.suspected = node.Verdict() != quarantine.Clear; r.trials.suspected {
		r.holdAll()
		r.startTrialIfDue(now)
	} else {
		for i := range r.shards {
			r.startFirstAttempt(now, i)
		}
	}
	r.refuseIfTooFewShards()
	r.finishIfDue(now)
	return r, r.takeActions()
}

func newRequest(now time.Duration, parameters Parameters, settings Settings, node Node) *Request {
	return &Request{
		node: node, settings: settings, route: parameters.Route, versions: parameters.Versions,
		timing: newTiming(now, &parameters, settings.AnswerMargin),
		trials: trials{nextShard: parameters.FirstTrialShard, retrial: parameters.Retrial},
		shards: newShards(parameters.Services()), prioritized: parameters.Prioritized, rank: parameters.Priority,
	}
}

// SetNode replaces the request's view of its node. The caller does this before each step.
func (r *Request) SetNode(node Node) { r.node = node }

// Done reports whether the request was answered or its caller has disconnected.
func (r *Request) Done() bool { return r.done }

// Deadline is when the request gets its final answer at the latest. Back ends are told the time left until then.
func (r *Request) Deadline() time.Duration { return r.timing.deadline }

// Attempts returns all attempts so far.
func (r *Request) Attempts() []*Attempt { return r.attempts }

// HandleOutcome processes the outcome of an attempt and returns the actions that follow.
func (r *Request) HandleOutcome(now time.Duration, attempt *Attempt, outcome Outcome) []Action {
	if r.done || !attempt.inFlight {
		return nil
	}
	r.recordOutcome(now, attempt, outcome)
	s := &r.shards[attempt.Shard]
	switch {
	case r.isAnswer(outcome):
		s.setState(answered{outcome.Response})
		r.answered++
		r.cancelAttempts(attempt.Shard)
		r.node.RecordAnswer(attempt)
		r.endTrials(now)
		r.scheduleSiblingHedges(now, attempt)
		r.retryOnceNeedKnown(now)
	case outcome.BackEndCrashed && r.settings.SerialTrials:
		s.lastFailure = outcome
		r.handleCrash(now, attempt)
	case r.endsRetrial(outcome):
		s.lastFailure = outcome
		r.giveUpAllShards()
	default:
		s.lastFailure = outcome
		r.retryOrGiveUp(now, attempt.Shard)
	}
	r.startTrialIfDue(now)
	r.finishIfDue(now)
	return r.takeActions()
}

// recordOutcome stores the outcome with its attempt, and updates its shard and whether the request may have run.
func (r *Request) recordOutcome(now time.Duration, attempt *Attempt, outcome Outcome) {
	attempt.inFlight = false
	attempt.Outcome = outcome
	attempt.EndedAt = now
	s := &r.shards[attempt.Shard]
	s.removeAttempt()
	if !outcome.Kind.NotRun() {
		r.mayHaveRun = true
	}
	if outcome.Kind == NotSent || outcome.Kind == Expired {
		s.recordUndelivered(attempt.Replica)
	}
	r.retryAfter = max(r.retryAfter, outcome.RetryAfter)
}

// isAnswer reports whether an outcome answers its shard. On a route that fans out, an answer without a signature does
// not count.
func (r *Request) isAnswer(outcome Outcome) bool {
	return outcome.Kind == Answered && (!r.route.FansOut() || outcome.Response.Signature != "")
}

// Tick processes the passing of time and returns the actions that are due.
func (r *Request) Tick(now time.Duration) []Action {
	if r.done {
		return nil
	}
	for i := range r.shards {
		r.tickShard(now, i)
	}
	r.startTrialIfDue(now)
	r.finishIfDue(now)
	return r.takeActions()
}

// tickShard does what is due at a shard at this time.
func (r *Request) tickShard(now time.Duration, number int) {
	s := &r.shards[number]
	at, due := r.shardDue(s)
	if !due || now < at {
		return
	}
	if r.trials.suspected {
		// A suspected request sends no hedges. The shard waits for its turn as the next trial.
		s.setState(held{})
		return
	}
	switch s.state.(type) {
	case inFlight:
		r.hedgeOrLookAgain(now, number, at)
	case waitingForCapacity:
		r.startFirstAttempt(now, number)
	case paused:
		r.retryAfterPause(now, number)
	}
}

// shardDue returns when a shard needs action without an outcome, and false if it needs none.
func (r *Request) shardDue(s *shard) (at time.Duration, due bool) {
	switch state := s.state.(type) {
	case inFlight:
		return state.hedgeAt, r.hedgeAllowed(s)
	case waitingForCapacity:
		return state.until, true
	case paused:
		return state.until, true
	case unasked, held, answered, failed:
		return 0, false
	default:
		panic(fmt.Sprintf("forward: unknown shard state %T", state))
	}
}

// CallerGone cancels all attempts after the caller has disconnected. No answer is given.
func (r *Request) CallerGone() []Action {
	if r.done {
		return nil
	}
	r.done = true
	r.cancelAllAttempts()
	return r.takeActions()
}

// NextWake returns the latest time at which Tick must be called.
func (r *Request) NextWake(now time.Duration) time.Duration {
	wake := r.timing.deadline
	if early := r.timing.earlyFinishAt(); r.settings.EarlyFinish && r.route.FansOut() && now < early {
		wake = min(wake, early)
	}
	if r.nothingRan() {
		wake = min(wake, max(now, r.timing.acceptanceDeadline))
	}
	if at, due := r.nextTrialAt(); due {
		wake = min(wake, at)
	}
	for i := range r.shards {
		if at, due := r.shardDue(&r.shards[i]); due {
			wake = min(wake, at)
		}
	}
	return wake
}
