package gateway

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"stiletrail/internal/forward"
	"stiletrail/internal/routing"
)

// requestRun drives one forward.Request: it carries out the actions, and brings it outcomes and the passing of time.
type requestRun struct {
	gateway *Gateway
	call    *Call
	route   *routing.Route
	arrived time.Duration
	request *forward.Request
	// deadline on the node's clock, and as the standard library's timers understand it.
	deadline     time.Duration
	deadlineTime time.Time
	outcomes     chan attemptOutcome
	// finished is closed when nobody takes outcomes any more.
	finished chan struct{}
	cancels  map[*forward.Attempt]context.CancelFunc
	answer   *forward.Answer
	// callerGone: the caller left, and there is nobody to answer.
	callerGone bool
	// callerCheckedAt is when attempts last looked whether the caller has left, callerFoundGone whether they found so.
	callerCheckedAt atomic.Int64
	callerFoundGone atomic.Bool
	// restriction is what the request may be sent to; trial: it is sent to one back end at a time.
	restriction restriction
	trial       bool
	// evidencePending: back ends have ended under it, which other nodes are told of only if nobody answers it.
	evidencePending bool
}

// attemptOutcome is an attempt with its outcome.
type attemptOutcome struct {
	attempt *forward.Attempt
	outcome forward.Outcome
}

func newRequestRun(g *Gateway, call *Call, route *routing.Route, arrived time.Duration, allowed restriction) *requestRun {
	r := &requestRun{
		gateway: g, call: call, route: route, arrived: arrived, restriction: allowed, finished: make(chan struct{}),
		outcomes: make(chan attemptOutcome, max(len(route.Shards), 1)),
		cancels:  make(map[*forward.Attempt]context.CancelFunc, len(route.Shards)+1),
	}
	r.callerCheckedAt.Store(int64(g.now()))
	return r
}

// drive takes the request to its answer, which is empty where the caller has left.
func (r *requestRun) drive(ctx context.Context) forward.Answer {
	defer close(r.finished)
	r.start()
	// The timer is set anew before each wait.
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	suspended := r.gateway.suspensions.next()
	for r.answer == nil && !r.callerGone {
		timer.Reset(max(0, r.untilNextWake()))
		select {
		case <-suspended:
			suspended = r.gateway.suspensions.next()
			r.step(r.request.Tick)
		case end := <-r.outcomes:
			if ctx.Err() != nil {
				// An attempt that ends because the caller has left may be heard of first.
				r.abandon()
				continue
			}
			r.step(func(now time.Duration) []forward.Action {
				return r.request.HandleOutcome(now, end.attempt, end.outcome)
			})
		case <-timer.C:
			r.step(r.request.Tick)
		case <-r.gateway.finishNow:
			r.step(r.request.GiveUp)
		case <-ctx.Done():
			r.abandon()
		}
	}
	if r.callerGone {
		return forward.Answer{}
	}
	return *r.answer
}

// abandon withdraws everything: the caller has left.
func (r *requestRun) abandon() {
	r.callerGone = true
	r.step(func(time.Duration) []forward.Action { return r.request.CallerGone() })
}

// untilNextWake is how long the request may be left alone.
func (r *requestRun) untilNextWake() time.Duration {
	now := r.gateway.now()
	return r.request.NextWake(now) - now
}

// start begins the request and its first attempts.
func (r *requestRun) start() {
	g := r.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	r.beginTrial(now)
	parameters := r.parameters()
	for _, service := range parameters.Services() {
		g.retryBudget(service).CountRequests(now, 1)
	}
	request, actions := forward.Start(now, parameters, g.settings.Load().Forward, nodeView{g, now, r})
	r.request = request
	r.deadline, r.deadlineTime = request.Deadline(), g.wallTime(request.Deadline())
	r.carryOut(now, actions)
}

// parameters of the request; the lock is held.
func (r *requestRun) parameters() forward.Parameters {
	parameters := forward.Parameters{Route: r.route, ArrivedAt: r.arrived, Versions: r.restriction.versions, Retrial: r.restriction.retrial}
	if r.route.FansOut() {
		parameters.FirstTrialShard = r.call.Identity.HashModulo(len(r.route.Shards))
	} else {
		parameters.Service = r.gateway.splitter.Next(r.route)
	}
	if !r.call.Deadline.IsZero() {
		parameters.Deadline = r.gateway.clock.FromTime(r.call.Deadline)
	}
	return parameters
}

// step has the request decide on something at this moment, and carries out what it decides.
func (r *requestRun) step(decide func(now time.Duration) []forward.Action) {
	g := r.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	r.request.SetNode(nodeView{g, now, r})
	r.carryOut(now, decide(now))
}

// carryOut does what the request has decided; the lock is held.
func (r *requestRun) carryOut(now time.Duration, actions []forward.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case forward.StartAttempt:
			r.send(now, action.Attempt)
		case forward.CancelAttempt:
			r.cancels[action.Attempt]()
		case forward.Finish:
			r.answer = &action.Answer
		default:
			panic(fmt.Sprintf("an action of type %T", action))
		}
	}
}

// remaining is how much time the request has.
func (r *requestRun) remaining() time.Duration { return r.deadline - r.gateway.now() }

// callerCheckInterval is the least time between two looks whether the caller of a request has left: one costs a system call.
const callerCheckInterval = 20 * time.Millisecond

// checkCallerGone reports whether the caller has left, for an attempt that is about to be written. On a node that hardly comes to run,
// that may be long after the attempt was decided.
func (r *requestRun) checkCallerGone() bool {
	now, last := r.gateway.now(), r.callerCheckedAt.Load()
	due := r.call.CallerGone != nil && now-time.Duration(last) >= callerCheckInterval
	if due && r.callerCheckedAt.CompareAndSwap(last, int64(now)) && r.call.CallerGone() {
		r.callerFoundGone.Store(true)
	}
	return r.callerFoundGone.Load()
}
