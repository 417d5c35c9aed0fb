// Package forward decides how one request is served by back ends that this node asks itself: which replica of which shard is
// asked when, when another is asked as well or instead, and when and how the request is answered.
//
// A request to a single back end is a request over one shard. The package does no I/O and reads no clock: outcomes of attempts
// and the passing of time go in, actions come out. Times are of the caller's monotonic clock.
package forward

import (
	"time"

	"stiletrail/internal/admit"
	"stiletrail/internal/failure"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/replica"
	"stiletrail/internal/routing"
)

// World is what a request needs of the node it runs on.
type World interface {
	// Pick returns a replica of the service that the choice allows, or nil; busy is set where each has its attempts.
	Pick(service string, choice replica.Choice) (chosen *replica.Replica, busy bool)
	// Recovers returns the first moment at which one of the replicas that the choice allows is not ejected; false if there is none.
	Recovers(service string, choice replica.Choice) (at time.Duration, known bool)
	// SpendHedge takes an extra attempt that only saves time out of the service's budget.
	SpendHedge(service string) bool
	// ExtrasLeft is how many extra attempts the service's budget allows now.
	ExtrasLeft(service string) float64
	// SpendRetry takes an extra attempt after a failure out of the service's budget.
	SpendRetry(service string) bool
	// Ended takes in that a back end ended under an attempt, and gives the verdict on the request.
	Ended(attempt *Attempt) quarantine.Verdict
	// Verdict on the request as it is known by now.
	Verdict() quarantine.Verdict
	// Ran takes in that a back end answered an attempt.
	Ran(attempt *Attempt)
	// LeftOut reports whether the request is to be kept from a service, whose back ends it ends.
	LeftOut(service string) bool
	// Met takes in what a request over many shards has met by its target, once.
	Met(seen admit.Seen)
}

// Settings of how requests are served.
type Settings struct {
	// HedgeShare of the target latency is waited at most for an answer before another replica is asked too; 0 turns hedging off.
	HedgeShare float64
	// SiblingHedges has a shard hedged that takes much longer than the others of its request.
	SiblingHedges bool
	// LastExtras that the budget of a service allows are not spent on shards that are just late.
	LastExtras int
	// EarlyFinish answers at the target latency with what is there, where that is enough.
	EarlyFinish bool
	// Pace is the first pause before a shard whose attempts have failed is tried again, while there is time; 0 gives it up at once.
	Pace time.Duration
	// AnswerMargin is kept before the target latency and the caller's deadline, for the way back to the caller.
	AnswerMargin time.Duration
	// Caution has a request under which back ends have ended tried at one at a time, until one answers.
	Caution bool
	// ComeBack is when a caller may come back that was refused because too few back ends are known.
	ComeBack time.Duration
}

// Attempt is one request to one back end.
type Attempt struct {
	// Number counts the attempts of a request from 0.
	Number  int
	Shard   int
	Service string
	Replica *replica.Replica
	Purpose Purpose
	// StartedAt is when it was decided.
	StartedAt time.Duration
	// Outcome and EndedAt are set when the attempt ends before the request does.
	Outcome Outcome
	EndedAt time.Duration
	// live until an outcome came or it was cancelled.
	live bool
}

// Purpose of an attempt.
type Purpose string

// The purposes.
const (
	First Purpose = "first"
	Hedge Purpose = "hedge"
	Retry Purpose = "retry"
)

// Denied says why an extra attempt that was due was not sent.
type Denied string

// The reasons.
const (
	DeniedBudget    Denied = "no_budget"
	DeniedBusy      Denied = "replicas_busy"
	DeniedNoReplica Denied = "no_other_replica"
	// DeniedTooLate: no answer could come by the deadline any more.
	DeniedTooLate Denied = "too_late"
	// DeniedQuarantined: the request ends the back ends that run it, here or at this shard.
	DeniedQuarantined Denied = "quarantined"
)

// Denied returns why the last extra attempt that was due for an attempt's shard was not sent, empty if none was.
func (r *Request) Denied(attempt *Attempt) Denied { return r.shards[attempt.Shard].denied }

// Action is something the driver must do. One field is set.
type Action struct {
	Send *Attempt
	// Cancel withdraws an attempt whose answer is of no more use.
	Cancel *Attempt
	Finish *Answer
}

// Parameters of a request.
type Parameters struct {
	Route *routing.Route
	// Service a request to a single back end goes to.
	Service string
	// Arrived is when the request came, zero if it starts as it comes. Target and timeout count from then.
	Arrived time.Duration
	// Deadline is when the caller stops waiting, zero if it did not say.
	Deadline time.Duration
	// Versions of software that may get the request, if any are named.
	Versions []string
	// TrialFrom is the shard from which on one is looked for that a trial goes to. It differs among requests, so that trials that end back ends do not
	// end all of one shard: a request over ten shards may lack one.
	TrialFrom int
	// Retrial: the request is under quarantine, and one back end may get it.
	Retrial bool
}

type shard struct {
	service  string
	response *Response
	failed   bool
	// last is the latest outcome that was no answer.
	last Outcome
	// tried replicas are not asked again before the next pause. asked has the replica of each attempt that may have arrived.
	tried []*replica.Replica
	asked []*replica.Replica
	// sent counts the attempts that may have arrived, paid those beyond the first that the budget has allowed.
	sent    int
	paid    int
	live    int
	hedgeAt time.Duration
	// denied is why the last extra attempt that was due was not sent.
	denied Denied
	// waiting: no replica has room; it is looked for again at lookAgainAt, after a pause of wait.
	waiting     bool
	wait        time.Duration
	lookAgainAt time.Duration
	// held: the shard's attempt is lost or withdrawn, and it is tried again once another shard has answered, or as the next trial.
	held bool
	// paused: all attempts have failed, and the shard is tried again at lookAgainAt, after a pause of pause.
	paused bool
	pause  time.Duration
}

// Request is one request under way.
type Request struct {
	world     World
	settings  Settings
	route     *routing.Route
	startedAt time.Duration
	deadline  time.Duration
	target    time.Duration
	shards    []shard
	attempts  []*Attempt
	answered  int
	// siblings is how long the request took at the shards that answered first, beyond their replicas' floors; 0 while unknown.
	siblings   time.Duration
	mayHaveRun bool
	anySent    bool
	retryAfter time.Duration
	// caution about a request under which back ends have ended.
	caution caution
	// versions of software that may get the request, if any are named.
	versions []string
	actions  []Action
	done     bool
	// told: the node knows what the request has met by its target.
	told bool
}

// Start takes a request in and returns it with its first actions.
func Start(now time.Duration, parameters Parameters, settings Settings, world World) (*Request, []Action) {
	route := parameters.Route
	arrived := parameters.Arrived
	if arrived == 0 {
		arrived = now
	}
	r := &Request{
		world: world, settings: settings, route: route, startedAt: arrived,
		deadline: arrived + route.Timeout, target: arrived + route.TargetLatency - settings.AnswerMargin,
	}
	if parameters.Deadline > 0 {
		r.deadline = min(r.deadline, parameters.Deadline-settings.AnswerMargin)
	}
	r.versions = parameters.Versions
	r.caution.from, r.caution.retrial = parameters.TrialFrom, parameters.Retrial
	services := route.Shards
	if !route.FansOut() {
		services = []string{parameters.Service}
	}
	r.shards = make([]shard, len(services))
	for i, service := range services {
		r.shards[i].service = service
	}
	if r.caution.suspect = world.Verdict() != quarantine.Clear; r.caution.suspect {
		r.holdAll()
		r.try(now)
	} else {
		for i := range r.shards {
			r.tryFirst(now, i)
		}
	}
	r.refuseTooFew()
	r.decide(now)
	return r, r.take()
}

// refuseTooFew refuses a request at its start where too few shards have a back end that can be asked: nothing was sent yet, so
// it can still be promised that it did not run, and the caller comes back when there may be more.
func (r *Request) refuseTooFew() {
	if r.open() >= r.required() {
		return
	}
	r.actions = nil
	r.attempts = nil
	r.anySent = false
	r.finish(Answer{
		Reason: NoBackEnd, Total: len(r.shards), Missing: len(r.shards),
		Failure: r.refusal(failure.NoReplica, r.settings.ComeBack),
	})
}

// At gives the request the world as it is now; it is called before each step.
func (r *Request) At(world World) { r.world = world }

// Done reports whether the request was answered.
func (r *Request) Done() bool { return r.done }

// Deadline is when the request gets its final answer at the latest; back ends are told what is left until then.
func (r *Request) Deadline() time.Duration { return r.deadline }

// Attempts are all attempts so far.
func (r *Request) Attempts() []*Attempt { return r.attempts }

func (r *Request) take() []Action {
	actions := r.actions
	r.actions = nil
	return actions
}

// Receive takes in the outcome of an attempt.
func (r *Request) Receive(now time.Duration, attempt *Attempt, outcome Outcome) []Action {
	if r.done || !attempt.live {
		return nil
	}
	attempt.live = false
	attempt.Outcome = outcome
	attempt.EndedAt = now
	s := &r.shards[attempt.Shard]
	s.live--
	if !outcome.Kind.NotRun() {
		r.mayHaveRun = true
	}
	if outcome.Kind == NotSent || outcome.Kind == Expired {
		s.takeBack(attempt.Replica)
	}
	r.retryAfter = max(r.retryAfter, outcome.RetryAfter)
	switch {
	case s.response != nil:
	case r.counts(outcome):
		s.response = outcome.Response
		r.answered++
		r.cancelShard(attempt.Shard)
		r.world.Ran(attempt)
		r.release(now)
		r.noteAnswer(now, attempt)
	case outcome.BackEndEnded && r.settings.Caution:
		s.last = outcome
		r.backEndEnded(now, attempt)
	case r.retried(outcome):
		s.last = outcome
		r.stopAll()
	default:
		s.last = outcome
		r.tryAgain(now, attempt.Shard)
	}
	r.try(now)
	r.decide(now)
	return r.take()
}

// counts reports whether an outcome answers its shard. A part of a gathered answer must be signed.
func (r *Request) counts(outcome Outcome) bool {
	return outcome.Kind == Answered && (!r.route.FansOut() || outcome.Response.Signature != "")
}

// Tick takes in the passing of time.
func (r *Request) Tick(now time.Duration) []Action {
	if r.done {
		return nil
	}
	for i := range r.shards {
		s := &r.shards[i]
		if s.held {
			continue
		}
		if r.caution.suspect && (s.waiting || s.paused) && now >= s.lookAgainAt {
			// Its turn comes with the next trial.
			s.waiting, s.paused, s.held = false, false, true
		} else if s.waiting && now >= s.lookAgainAt {
			r.tryFirst(now, i)
		} else if s.paused && now >= s.lookAgainAt {
			r.resume(now, i)
		} else if r.mayHedge(s) && now >= s.hedgeAt {
			r.hedge(now, i)
		}
	}
	r.try(now)
	r.decide(now)
	return r.take()
}

// CallerGone withdraws everything; there is nobody to answer.
func (r *Request) CallerGone() []Action {
	if r.done {
		return nil
	}
	r.done = true
	r.cancelAll()
	return r.take()
}

// NextWake returns when Tick must be called at the latest.
func (r *Request) NextWake(now time.Duration) time.Duration {
	wake := r.deadline
	if r.settings.EarlyFinish && r.route.FansOut() && now < r.target {
		wake = min(wake, r.target)
	}
	if r.untouched() {
		wake = min(wake, max(now, r.offerUntil()))
	}
	if at, due := r.nextTrial(); due {
		wake = min(wake, at)
	}
	for i := range r.shards {
		s := &r.shards[i]
		if s.held {
			continue
		}
		if s.waiting || s.paused {
			wake = min(wake, s.lookAgainAt)
		} else if r.mayHedge(s) {
			wake = min(wake, s.hedgeAt)
		}
	}
	return wake
}
