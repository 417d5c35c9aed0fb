// Package forward decides how one request is served by back ends that this node asks itself. A request to a single back
// end is a request over one shard.
//
// It decides which replica of which shard is asked when (the choice among replicas is package replica's), when another is
// asked as well or instead, and when and how the request is answered. Each rule has its file:
//
//	first.go    the first attempt at a shard, and the wait for room
//	hedge.go    when another replica is asked beside one that is under way
//	retry.go    when another one is asked after a failure
//	pause.go    when a shard without an attempt is asked again later, and when it is given up
//	caution.go  how a request is sent on under which back ends end
//	finish.go   when the request is answered
//	refusal.go  when it is refused as not run, and with which time to come back
//
// It owns a Request: its attempts, and the state of each of its shards (state.go):
//
//	state      what it means                                   what may follow
//	unasked    nothing was decided yet (only within Start)     under way, waiting, held, failed
//	waiting    no replica has room; looked for again later     under way, waiting, held, failed
//	under way  attempts may be answered; hedged at a moment    under way, paused, held, answered, failed
//	paused     all attempts have failed; asked again later     under way, paused, held, failed
//	held       until another shard answers, or the next trial  under way, waiting, paused, failed
//	answered   a back end has answered                         nothing
//	failed     given up                                        nothing
//
// It relies on a Node for replicas, budgets and the verdict on the request. It does no I/O, takes no lock and reads no
// clock: outcomes of attempts and the passing of time go in, actions come out. Times are of the caller's monotonic clock.
package forward

import (
	"fmt"
	"time"

	"stiletrail/internal/quarantine"
	"stiletrail/internal/routing"
)

// Request is one request under way.
type Request struct {
	node     Node
	settings Settings
	route    *routing.Route
	// versions of software that may get the request, if any are named.
	versions []string
	// arrivedAt is what target, the moment at which an answer is worth most, and deadline, that of the final answer, count
	// from.
	arrivedAt time.Duration
	target    time.Duration
	deadline  time.Duration

	shards   []shard
	attempts []*Attempt
	// answered counts the shards that have answered.
	answered int
	// siblingLatency is how long the request took at the shards that answered first, beyond their replicas' floors; 0 while
	// unknown.
	siblingLatency time.Duration
	caution        caution
	// anySent: an attempt was begun. mayHaveRun: one has run, or may have.
	anySent    bool
	mayHaveRun bool
	// retryAfter is the longest time to come back that back ends named.
	retryAfter time.Duration
	// sampled: the node knows what the request lacked at its target.
	sampled bool

	actions []Action
	done    bool
}

// Start takes a request in and returns it with its first actions.
func Start(now time.Duration, parameters Parameters, settings Settings, node Node) (*Request, []Action) {
	r := newRequest(now, parameters, settings, node)
	if r.caution.suspect = node.Verdict() != quarantine.Clear; r.caution.suspect {
		r.holdAll()
		r.beginTrial(now)
	} else {
		for i := range r.shards {
			r.askFirst(now, i)
		}
	}
	r.refuseTooFew()
	r.finishIfDue(now)
	return r, r.takeActions()
}

func newRequest(now time.Duration, parameters Parameters, settings Settings, node Node) *Request {
	route := parameters.Route
	arrived := parameters.ArrivedAt
	if arrived == 0 {
		arrived = now
	}
	r := &Request{
		node: node, settings: settings, route: route, versions: parameters.Versions, arrivedAt: arrived,
		deadline: arrived + route.Timeout, target: arrived + route.TargetLatency - settings.AnswerMargin,
		caution: caution{from: parameters.FirstTrialShard, retrial: parameters.Retrial},
	}
	if parameters.Deadline > 0 {
		r.deadline = min(r.deadline, parameters.Deadline-settings.AnswerMargin)
	}
	r.shards = newShards(parameters.Services())
	return r
}

// SetNode gives the request its node as it is now; it is called before each step.
func (r *Request) SetNode(node Node) { r.node = node }

// Done reports whether the request was answered.
func (r *Request) Done() bool { return r.done }

// Deadline is when the request gets its final answer at the latest; back ends are told what is left until then.
func (r *Request) Deadline() time.Duration { return r.deadline }

// Attempts are all attempts so far.
func (r *Request) Attempts() []*Attempt { return r.attempts }

// HandleOutcome takes in the outcome of an attempt.
func (r *Request) HandleOutcome(now time.Duration, attempt *Attempt, outcome Outcome) []Action {
	if r.done || !attempt.live {
		return nil
	}
	r.note(now, attempt, outcome)
	s := &r.shards[attempt.Shard]
	switch {
	case r.isAnswer(outcome):
		s.become(answered{outcome.Response})
		r.answered++
		r.cancelAttempts(attempt.Shard)
		r.node.RecordAnswer(attempt)
		r.clearSuspicion(now)
		r.hedgeLateSiblings(now, attempt)
	case outcome.BackEndCrashed && r.settings.SerialTrials:
		s.last = outcome
		r.backEndEnded(now, attempt)
	case r.retrialOver(outcome):
		s.last = outcome
		r.giveUpAllShards()
	default:
		s.last = outcome
		r.retryOrGiveUp(now, attempt.Shard)
	}
	r.beginTrial(now)
	r.finishIfDue(now)
	return r.takeActions()
}

// note keeps what an outcome says of its attempt and of whether the request may have run.
func (r *Request) note(now time.Duration, attempt *Attempt, outcome Outcome) {
	attempt.live = false
	attempt.Outcome = outcome
	attempt.EndedAt = now
	s := &r.shards[attempt.Shard]
	s.attemptEnded()
	if !outcome.Kind.NotRun() {
		r.mayHaveRun = true
	}
	if outcome.Kind == NotSent || outcome.Kind == Expired {
		s.unsent(attempt.Replica)
	}
	r.retryAfter = max(r.retryAfter, outcome.RetryAfter)
}

// isAnswer reports whether an outcome answers its shard. A part of a gathered answer must be signed.
func (r *Request) isAnswer(outcome Outcome) bool {
	return outcome.Kind == Answered && (!r.route.FansOut() || outcome.Response.Signature != "")
}

// Tick takes in the passing of time.
func (r *Request) Tick(now time.Duration) []Action {
	if r.done {
		return nil
	}
	for i := range r.shards {
		r.tickShard(now, i)
	}
	r.beginTrial(now)
	r.finishIfDue(now)
	return r.takeActions()
}

// tickShard does what is due at a shard.
func (r *Request) tickShard(now time.Duration, number int) {
	s := &r.shards[number]
	if at, due := r.shardDue(s); !due || now < at {
		return
	}
	if r.caution.suspect {
		// Its turn comes with the next trial; hedges are not due.
		s.become(held{})
		return
	}
	switch s.state.(type) {
	case underWay:
		r.hedge(now, number)
	case waiting:
		r.askFirst(now, number)
	case paused:
		r.resume(now, number)
	}
}

// shardDue is when something is to be done at a shard by itself; false if nothing is.
func (r *Request) shardDue(s *shard) (at time.Duration, due bool) {
	switch state := s.state.(type) {
	case underWay:
		return state.hedgeAt, r.mayHedge(s)
	case waiting:
		return state.until, true
	case paused:
		return state.until, true
	case unasked, held, answered, failed:
		return 0, false
	default:
		panic(fmt.Sprintf("a shard in state %T", state))
	}
}

// CallerGone withdraws everything; there is nobody to answer.
func (r *Request) CallerGone() []Action {
	if r.done {
		return nil
	}
	r.done = true
	r.cancelAllAttempts()
	return r.takeActions()
}

// NextWake returns when Tick must be called at the latest.
func (r *Request) NextWake(now time.Duration) time.Duration {
	wake := r.deadline
	if r.settings.EarlyFinish && r.route.FansOut() && now < r.target {
		wake = min(wake, r.target)
	}
	if r.nothingRan() {
		wake = min(wake, max(now, r.roomUntil()))
	}
	if at, due := r.nextTrial(); due {
		wake = min(wake, at)
	}
	for i := range r.shards {
		if at, due := r.shardDue(&r.shards[i]); due {
			wake = min(wake, at)
		}
	}
	return wake
}
