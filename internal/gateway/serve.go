package gateway

import (
	"context"
	"time"

	"stiletrail/internal/admit"
	"stiletrail/internal/clock"
	"stiletrail/internal/failure"
	"stiletrail/internal/forward"
	"stiletrail/internal/routing"
)

// The path of a request:
//
//	Serve        covers it from its arrival to the line in the log
//	answer       waits for the first listing of the store (starting.go), finds the route, and the tenant (authenticate.go)
//	serveRoute   refuses (refusals.go), or waits for a token of the tenant's limit (quotas.go)
//	serveAllowed refuses (refusals.go), or waits for a trial (trial.go) and for back ends (starting.go)
//	requestRun   drives a forward.Request, which makes all other decisions (run.go), and runs its attempts (attempt.go)
//	nodeView     gives the forward.Request access to the node's replicas, budgets and verdicts (node_view.go)

// Serve answers a call. The context ends when the caller disconnects.
func (g *Gateway) Serve(ctx context.Context, call *Call) Result {
	readAt := g.now()
	g.mu.Lock()
	age := g.storeCopy.age(readAt)
	g.mu.Unlock()
	arrived := g.arrivalTime(call, readAt)
	result := g.answer(ctx, call, arrived)
	result.Arrived, result.CopyAge, result.UnreadFor = arrived, age, readAt-arrived
	result.Elapsed = g.now() - arrived
	g.log.Request(call, &result)
	return result
}

// arrivalTime returns when a call that was read at the given moment had reached the machine. All time limits of the call
// count from then, so that a caller does not wait longer because this node read the call late.
func (g *Gateway) arrivalTime(call *Call, readAt time.Duration) time.Duration {
	if call.Arrived.IsZero() {
		return readAt
	}
	return min(readAt, g.clock.FromTime(call.Arrived))
}

// LogRefusal logs a call that is invalid in itself and was answered with a failure.
func (g *Gateway) LogRefusal(call *Call, refusal *failure.Failure) {
	g.log.Request(call, &Result{Answer: forward.Answer{Failure: refusal}, Version: g.Version(), Arrived: g.now()})
}

// answer waits until the node knows its configuration, finds the route and the tenant of a call, and serves it.
func (g *Gateway) answer(ctx context.Context, call *Call, arrived time.Duration) Result {
	holdUntil := g.holdUntil(call, arrived)
	if !g.firstListing.read.Load() {
		g.awaitFirstListing(ctx, holdUntil)
	}
	if ctx.Err() != nil {
		return Result{CallerGone: true, Version: g.Version()}
	}
	table := g.table.Load()
	if table == nil {
		return Result{Answer: refuseNotReady(arrived)}
	}
	route := table.Match(call.Host, call.Path)
	if route == nil {
		return Result{Answer: failWithoutRoute(), Version: table.Version(), Copy: g.copyStatus()}
	}
	if refusal := g.authenticate(call, table, route); refusal != nil {
		return Result{Answer: *refusal, Version: table.Version(), Route: route, Copy: g.copyStatus()}
	}
	if call.Tenant != nil {
		route = route.WithinRegions(call.Tenant.Regions)
	}
	result := g.serveRoute(ctx, call, route, arrived, holdUntil)
	result.Version, result.Route = table.Version(), route
	result.Prioritized, result.Rank = g.prioritized(), call.priority(route)
	return result
}

// serveRoute serves a call on its route, unless one of the rules in refusals.go refuses it.
func (g *Gateway) serveRoute(ctx context.Context, call *Call, route *routing.Route, arrived, holdUntil time.Duration) Result {
	if g.endsTooLate(call, route, arrived) {
		return Result{Answer: refuseLateInStop()}
	}
	inFlight := g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if int(inFlight) > g.settings.Load().MaximumRequests {
		return Result{Answer: refuseTooMany()}
	}
	token, refused := g.takeToken(ctx, call, route, arrived)
	if refused != nil {
		return *refused
	}
	result := g.serveAllowed(ctx, call, route, arrived, holdUntil)
	if token != nil && !result.mayHaveRun() {
		g.returnToken(token)
	}
	return result
}

// serveAllowed serves a call that is within the limit of its tenant.
func (g *Gateway) serveAllowed(ctx context.Context, call *Call, route *routing.Route, arrived, holdUntil time.Duration) Result {
	if decision := g.admission(call, route); !decision.Admitted {
		return Result{Answer: refuseTurnedAway(decision), Overload: decision.Overload}
	}
	restrictedTo, refusal := g.checkQuarantine(ctx, call, route, holdUntil)
	if refusal != nil {
		return Result{Answer: *refusal}
	}
	g.awaitBackEnds(ctx, route, holdUntil)
	if call.callerHasLeft(ctx) {
		// Nobody waits for the answer: no back end shall begin to work on it.
		return Result{CallerGone: true}
	}
	return g.runToAnswer(ctx, newRequestRun(g, call, route, arrived, restrictedTo))
}

// admission decides whether a request is rejected because of overload. Requests that go to a single back end and requests
// without a deadline are always admitted.
func (g *Gateway) admission(call *Call, route *routing.Route) admit.Decision {
	if !g.settings.Load().TurnAway || !route.FansOut() || call.Deadline.IsZero() {
		return admit.Decision{Admitted: true}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	request := admit.Request{Route: route.Name, CallerTimeout: clock.FromDuration(call.Deadline.Sub(g.wallTime(now)))}
	if g.prioritized() {
		request.Group = &admit.Group{Rank: call.priority(route), Tenant: call.tenantName()}
	}
	return g.admissionController.Admit(clock.FromDuration(now), request, g.replicas.RandomFloat64)
}

// runToAnswer drives a request to its answer. If there was no back end to send it to, the store is read again soon.
func (g *Gateway) runToAnswer(ctx context.Context, r *requestRun) Result {
	defer r.endTrial()
	answer := r.drive(ctx)
	if answer.Reason == forward.NoBackEnd {
		g.requestStoreRead()
	}
	return Result{
		Answer: answer, Attempts: r.request.Attempts(), Denied: r.request.Denied,
		NeedAtDenial: r.request.NeedAtDenial, Unasked: r.request.Unasked,
		TimeLimit: r.deadline - r.arrived, CallerGone: r.callerGone, Waited: r.waited(),
	}
}
