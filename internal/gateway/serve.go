package gateway

import (
	"context"
	"fmt"
	"time"

	"stiletrail/internal/admit"
	"stiletrail/internal/clock"
	"stiletrail/internal/failure"
	"stiletrail/internal/forward"
	"stiletrail/internal/replica"
	"stiletrail/internal/routing"
)

// Result is the answer to a call.
type Result struct {
	forward.Answer
	// Version of the configuration that decided it, 0 without one.
	Version uint64
	Route   *routing.Route
	// CopyAge is how long before the call the copy of the store was last known to be complete, negative if it never was.
	CopyAge clock.Ms
	// Attempts that were decided, and when the call arrived on the gateway's clock and how long it took.
	Attempts []*forward.Attempt
	Arrived  time.Duration
	Elapsed  time.Duration
	// Denied says, for the shard of an attempt, why an extra attempt that was due was not sent.
	Denied func(*forward.Attempt) forward.Denied
	// Gone: the caller left; there is nobody to answer.
	Gone bool
	// Overload is by what a request was turned away.
	Overload admit.Level
}

// When to come back to a node that has no configuration yet: soon while it is reading it for the first time, later once that
// has taken long.
const (
	startingRetryAfter = 150 * time.Millisecond
	notReadyRetryAfter = 500 * time.Millisecond
	startingTime       = time.Second
)

// Serve runs a call to its answer. The context ends when the caller leaves.
func (g *Gateway) Serve(ctx context.Context, call *Call) Result {
	arrived := g.now()
	g.mu.Lock()
	age := g.copyAge(arrived)
	g.mu.Unlock()
	result := g.admit(ctx, call, arrived)
	result.Arrived, result.CopyAge = arrived, age
	result.Elapsed = g.now() - arrived
	g.log.Request(call, &result)
	return result
}

// Refuse notes a call that is wrong by itself and was answered with a failure.
func (g *Gateway) Refuse(call *Call, refusal *failure.Failure) {
	g.log.Request(call, &Result{Answer: forward.Answer{Failure: refusal}, Version: g.Version(), Arrived: g.now()})
}

func (g *Gateway) admit(ctx context.Context, call *Call, arrived time.Duration) Result {
	until := g.holdUntil(call, arrived)
	if !g.firstListing.read.Load() {
		g.awaitFirstListing(ctx, until)
	}
	if ctx.Err() != nil {
		return Result{Gone: true, Version: g.Version()}
	}
	table := g.table.Load()
	if table == nil {
		retryAfter := notReadyRetryAfter
		if arrived < startingTime {
			retryAfter = startingRetryAfter
		}
		refusal := failure.Refused(failure.NotReady, "the node has no configuration yet", retryAfter)
		return Result{Answer: forward.Answer{Failure: refusal}}
	}
	route := table.Match(call.Host, call.Path)
	if route == nil {
		missing := failure.New(failure.UnknownService, "no route has this host and path")
		return Result{Answer: forward.Answer{Failure: missing}, Version: table.Version()}
	}
	underWay := g.underWay.Add(1)
	defer g.underWay.Add(-1)
	if int(underWay) > g.settings.Load().MaximumRequests {
		refusal := failure.Refused(failure.Overloaded, "too many requests under way", notReadyRetryAfter)
		return Result{Answer: forward.Answer{Failure: refusal}, Version: table.Version(), Route: route}
	}
	if decision := g.decideOn(call, route); !decision.Admitted {
		refusal := failure.Refused(failure.Overloaded, "more requests than the back ends can answer in time", decision.ComeBack.Duration())
		return Result{
			Answer: forward.Answer{Failure: refusal, Reason: forward.TurnedAway}, Version: table.Version(), Route: route, Overload: decision.Level,
		}
	}
	allowed, refusal := g.allow(ctx, call, route, until)
	if refusal != nil {
		return Result{Answer: forward.Answer{Failure: refusal, Reason: forward.Quarantined}, Version: table.Version(), Route: route}
	}
	g.awaitBackEnds(ctx, route, until)
	if ctx.Err() != nil {
		// Nobody waits for the answer: no back end shall begin to work on it.
		return Result{Gone: true, Version: table.Version(), Route: route}
	}
	run := newRun(g, call, route, arrived)
	run.allowed = allowed
	defer run.endTrial()
	answer := run.toEnd(ctx)
	if answer.Reason == forward.NoBackEnd {
		g.readStoreSoon()
	}
	return Result{
		Answer: answer, Version: table.Version(), Route: route, Attempts: run.request.Attempts(), Denied: run.request.Denied, Gone: run.gone,
	}
}

// decideOn decides whether a request is admitted. Those to a single back end are, and those whose caller does not say how long it waits.
func (g *Gateway) decideOn(call *Call, route *routing.Route) admit.Decision {
	if !g.settings.Load().TurnAway || !route.FansOut() || call.Deadline.IsZero() {
		return admit.Decision{Admitted: true}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	return g.gate.Admit(now, route.Name, clock.Of(call.Deadline.Sub(g.at(now))), g.replicas.Draw)
}

// run drives one forward.Request.
type run struct {
	gateway *Gateway
	call    *Call
	route   *routing.Route
	arrived time.Duration
	request *forward.Request
	// due is the moment of its deadline on the node's clock.
	due      time.Duration
	deadline time.Time
	outcomes chan ended
	// over is closed when nobody takes outcomes any more.
	over    chan struct{}
	cancels map[*forward.Attempt]context.CancelFunc
	answer  *forward.Answer
	gone    bool
	// allowed is what the request may be sent to; trial: it is sent to one back end at a time.
	allowed allowance
	trial   bool
	// untold: back ends have ended under it, which other nodes are told of only if nobody answers it.
	untold bool
}

// ended is an attempt with its outcome.
type ended struct {
	attempt *forward.Attempt
	outcome forward.Outcome
}

func newRun(g *Gateway, call *Call, route *routing.Route, arrived time.Duration) *run {
	return &run{
		gateway: g, call: call, route: route, arrived: arrived, over: make(chan struct{}),
		outcomes: make(chan ended, max(len(route.Shards), 1)),
		cancels:  make(map[*forward.Attempt]context.CancelFunc, len(route.Shards)+1),
	}
}

func (r *run) toEnd(ctx context.Context) forward.Answer {
	defer close(r.over)
	r.start()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	woke := r.gateway.wakes.next()
	for r.answer == nil && !r.gone {
		timer.Reset(max(0, r.nextWake()))
		select {
		case <-woke:
			woke = r.gateway.wakes.next()
			r.step(r.request.Tick)
		case end := <-r.outcomes:
			r.step(func(now time.Duration) []forward.Action { return r.request.Receive(now, end.attempt, end.outcome) })
		case <-timer.C:
			r.step(r.request.Tick)
		case <-r.gateway.givenUp:
			r.step(r.request.GiveUp)
		case <-ctx.Done():
			r.gone = true
			r.step(func(time.Duration) []forward.Action { return r.request.CallerGone() })
		}
	}
	if r.gone {
		return forward.Answer{}
	}
	return *r.answer
}

func (r *run) nextWake() time.Duration {
	now := r.gateway.now()
	return r.request.NextWake(now) - now
}

func (r *run) start() {
	g := r.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	parameters := forward.Parameters{Route: r.route, Arrived: r.arrived, Versions: r.allowed.versions, Retrial: r.allowed.retrial}
	r.beginTrial(now)
	if r.route.FansOut() {
		parameters.TrialFrom = r.call.Identity.Number(len(r.route.Shards))
	}
	if r.route.FansOut() {
		for _, service := range r.route.Shards {
			g.budget(service).Request(now, 1)
		}
	} else {
		parameters.Service = g.splitter.Next(r.route)
		g.budget(parameters.Service).Request(now, 1)
	}
	if !r.call.Deadline.IsZero() {
		parameters.Deadline = g.clock.Moment(r.call.Deadline)
	}
	request, actions := forward.Start(now, parameters, g.settings.Load().Forward, runNode{g, now, r})
	r.request = request
	r.due, r.deadline = request.Deadline(), g.at(request.Deadline())
	r.carryOut(now, actions)
}

func (r *run) step(decide func(now time.Duration) []forward.Action) {
	g := r.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	r.request.Refresh(runNode{g, now, r})
	r.carryOut(now, decide(now))
}

func (r *run) carryOut(now time.Duration, actions []forward.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case forward.Send:
			r.send(now, action.Attempt)
		case forward.Cancel:
			r.cancels[action.Attempt]()
		case forward.Finish:
			r.answer = &action.Answer
		default:
			panic(fmt.Sprintf("an action of type %T", action))
		}
	}
}

func (r *run) send(now time.Duration, attempt *forward.Attempt) {
	attempt.Replica.Start(now)
	ctx, cancel := context.WithCancel(context.Background())
	r.cancels[attempt] = cancel
	send := Send{
		Call: r.call, Attempt: attempt, Entry: attempt.Replica.Entry, Deadline: r.deadline, Left: r.left,
		Once: !r.route.Repeatable, Idle: r.gateway.replicas.IdleLimit(attempt.Replica), Prove: r.gateway.replicas.MustProve(now, attempt.Replica),
	}
	go func() {
		outcome := r.gateway.exchange(ctx, send)
		cancelled := ctx.Err() != nil
		cancel()
		r.gateway.attemptEnded(r.call, attempt, outcome, cancelled)
		select {
		case r.outcomes <- ended{attempt, outcome}:
		case <-r.over:
		}
	}()
}

// left is how much time the request has.
func (r *run) left() time.Duration { return r.due - r.gateway.now() }

// exchange carries an attempt out. A fault of ours ends the attempt, which may have run, and not the process.
func (g *Gateway) exchange(ctx context.Context, send Send) (outcome forward.Outcome) {
	defer func() {
		if fault := recover(); fault != nil {
			g.log.Fault(fmt.Sprint(fault))
			outcome = forward.Outcome{Kind: forward.Lost, Detail: "a fault of this node"}
		}
	}()
	return g.backEnds.Exchange(ctx, send)
}

func (g *Gateway) attemptEnded(call *Call, attempt *forward.Attempt, outcome forward.Outcome, cancelled bool) {
	g.mu.Lock()
	now := g.now()
	attempt.Replica.TakeLoad(now, outcome.Load)
	ejected := attempt.Replica.Finish(now, attempt.StartedAt, verdict(outcome, cancelled))
	if !cancelled || outcome.Kind == forward.Answered {
		g.noteMet(now, attempt.Replica)
	}
	g.mu.Unlock()
	if outcome.BackEndEnded {
		g.log.BackEndEnded(call, attempt, clock.Of(now-attempt.StartedAt))
	}
	if ejected {
		g.log.Ejected(attempt, outcome)
	}
}

func verdict(outcome forward.Outcome, cancelled bool) replica.Verdict {
	switch {
	case cancelled && outcome.Kind != forward.Answered:
		return replica.Withdrawn
	case outcome.BackEndEnded:
		return replica.Unreachable
	case outcome.TurnedAway:
		return replica.TurnedAway
	}
	switch outcome.Kind {
	case forward.Answered:
		return replica.Answered
	case forward.Refused:
		if outcome.Load.HasRoom() {
			return replica.RefusedWithRoom
		}
		return replica.Refused
	case forward.Misdirected:
		return replica.Misdirected
	case forward.NotSent:
		return replica.Unreachable
	case forward.Expired:
		return replica.Neutral
	}
	return replica.Failed
}
