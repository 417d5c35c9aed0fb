package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"stiletrail/internal/forward"
	"stiletrail/internal/priority"
	"stiletrail/internal/routing"
)

// requestRun drives one forward.Request: it carries out the request's actions and passes it outcomes and the time.
type requestRun struct {
	gateway *Gateway
	call    *Call
	route   *routing.Route
	arrived time.Duration
	request *forward.Request
	// deadline is the end of the request on the node's clock; deadlineTime is the same moment for the timers of the
	// standard library.
	deadline     time.Duration
	deadlineTime time.Time
	outcomes     chan attemptOutcome
	// finished is closed when outcomes are not received any more.
	finished chan struct{}
	cancels  map[*forward.Attempt]context.CancelFunc
	answer   *forward.Answer
	// callerGone is set when the caller has disconnected, so that nobody is left to answer.
	callerGone bool
	// callerCheck guards callerCheckedAt, when an attempt last checked whether the caller has disconnected, and
	// callerFoundGone, which is set once a check found that it has.
	callerCheck     sync.Mutex
	callerCheckedAt time.Duration
	callerFoundGone bool
	// restriction limits which back ends the request may be sent to. trial is set while the request is sent to one back
	// end at a time.
	restriction restriction
	trial       bool
	// evidencePending is set when the request has crashed back ends and other nodes have not been told. They are told
	// only if no back end answers it.
	evidencePending bool
	// order is what the order of requests that wait for the same back ends goes by, and waiters are the shards of this
	// request that wait, by their number. Both are nil while priorities are not in force. stepped is signalled when
	// another goroutine has let the request go on.
	order   *priority.Request
	waiters map[int]queuedWaiter
	stepped chan struct{}
	// callerLeft reports whether the context of the call has ended.
	callerLeft func() bool
}

// attemptOutcome is an attempt together with its outcome.
type attemptOutcome struct {
	attempt *forward.Attempt
	outcome forward.Outcome
}

func newRequestRun(g *Gateway, call *Call, route *routing.Route, arrived time.Duration, restrictedTo restriction) *requestRun {
	return &requestRun{
		gateway: g, call: call, route: route, arrived: arrived, restriction: restrictedTo, finished: make(chan struct{}),
		outcomes:        make(chan attemptOutcome, max(len(route.Shards), 1)),
		cancels:         make(map[*forward.Attempt]context.CancelFunc, len(route.Shards)+1),
		stepped:         make(chan struct{}, 1),
		callerCheckedAt: g.now(),
	}
}

// drive runs the request until it has an answer. The answer is empty if the caller has disconnected.
func (r *requestRun) drive(ctx context.Context) forward.Answer {
	defer close(r.finished)
	r.callerLeft = func() bool { return ctx.Err() != nil }
	r.start()
	// The timer is reset before each wait.
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	suspended := r.gateway.suspensions.next()
	for !r.callerGone {
		wait, answered := r.untilNextWake()
		if answered {
			break
		}
		timer.Reset(max(0, wait))
		select {
		case <-r.stepped:
		case <-suspended:
			suspended = r.gateway.suspensions.next()
			r.step(r.request.Tick)
		case end := <-r.outcomes:
			if ctx.Err() != nil {
				// The caller has disconnected, which also ends the attempts; the outcome of one may arrive first.
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

// waited returns the longest time for which a shard of the request has waited for its turn.
func (r *requestRun) waited() time.Duration { return r.request.LongestWait(r.gateway.now()) }

// abandon cancels all attempts because the caller has disconnected. One that is about to be written learns it by
// checkCallerGone.
func (r *requestRun) abandon() {
	r.callerGone = true
	r.callerCheck.Lock()
	r.callerFoundGone = true
	r.callerCheck.Unlock()
	r.step(func(time.Duration) []forward.Action {
		r.endAllWaits()
		return r.request.CallerGone()
	})
}

// untilNextWake returns how long the request needs no call of its Tick, or that it is answered.
func (r *requestRun) untilNextWake() (wait time.Duration, answered bool) {
	r.gateway.mu.Lock()
	defer r.gateway.mu.Unlock()
	now := r.gateway.now()
	return r.request.NextWake(now) - now, r.answer != nil
}

// start creates the request and starts its first attempts.
func (r *requestRun) start() {
	g := r.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	r.beginTrial(now)
	parameters := r.parameters()
	for _, service := range parameters.Services() {
		g.retryBudget(service).CountRequests(now, 1)
		g.giveTurns(now, service)
	}
	request, actions := forward.Start(now, parameters, g.settings.Load().Forward, nodeView{g, now, r})
	r.request = request
	if parameters.Prioritized {
		r.order = newOrder(r.call, &parameters, request)
		r.waiters = map[int]queuedWaiter{}
	}
	r.deadline, r.deadlineTime = request.Deadline(), g.wallTime(request.Deadline())
	r.carryOut(now, actions)
}

// parameters returns the parameters of the request. The caller holds the lock.
func (r *requestRun) parameters() forward.Parameters {
	parameters := forward.Parameters{
		Route: r.route, ArrivedAt: r.arrived, Versions: r.restriction.versions, Retrial: r.restriction.retrial,
		Priority: r.call.priority(r.route), Prioritized: r.gateway.prioritized(),
	}
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

// step calls decide, which lets the request react to an event, and carries out the resulting actions.
func (r *requestRun) step(decide func(now time.Duration) []forward.Action) {
	g := r.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	r.request.SetNode(nodeView{g, now, r})
	r.carryOut(now, decide(now))
}

// carryOut carries out the actions that the request has decided on. The caller holds the lock.
func (r *requestRun) carryOut(now time.Duration, actions []forward.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case forward.StartAttempt:
			r.startAttempt(now, action.Attempt)
		case forward.CancelAttempt:
			r.cancels[action.Attempt]()
		case forward.AwaitCapacity:
			r.awaitTurn(now, action)
		case forward.EndWait:
			r.endWait(action.Shard)
		case forward.Finish:
			r.answer = &action.Answer
			r.endAllWaits()
		default:
			panic(fmt.Sprintf("unexpected action of type %T", action))
		}
	}
	r.updateOrder()
}

// remaining returns the time left until the deadline of the request.
func (r *requestRun) remaining() time.Duration { return r.deadline - r.gateway.now() }

// callerCheckInterval is the least time between two checks whether the caller has disconnected. Each check costs a
// system call.
const callerCheckInterval = 20 * time.Millisecond

// checkCallerGone reports whether the caller has disconnected. It is called when an attempt is about to be written, which
// can be long after the attempt was decided if the node gets little processor time. Attempts that are written at the same
// time wait for the check of the first of them.
func (r *requestRun) checkCallerGone() bool {
	r.callerCheck.Lock()
	defer r.callerCheck.Unlock()
	now := r.gateway.now()
	if r.call.CallerGone != nil && !r.callerFoundGone && now-r.callerCheckedAt >= callerCheckInterval {
		r.callerCheckedAt = now
		r.callerFoundGone = r.call.CallerGone()
	}
	return r.callerFoundGone
}
