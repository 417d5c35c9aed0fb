package gateway

import (
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/forward"
	"stiletrail/internal/priority"
)

// turns holds the shards of requests that wait for capacity of the same back ends. When an attempt ends, or a request is
// about to start, capacity goes to the waiters in the order that package priority decides. So there is never capacity
// that a waiter could use, except for a moment after it came without the end of an attempt; the waiters poll for that.
type turns struct {
	queues map[string]*priority.Queue
	runs   map[*priority.Waiter]*requestRun
	shares priority.Shares
}

func newTurns() turns {
	return turns{queues: map[string]*priority.Queue{}, runs: map[*priority.Waiter]*requestRun{}}
}

// prioritized reports whether priorities are in force.
func (g *Gateway) prioritized() bool {
	table := g.table.Load()
	return table != nil && table.Prioritized() && g.settings.Load().Priorities
}

// tenantName returns the name of the tenant of a call, or empty if it has none.
func (c *Call) tenantName() string {
	if c.Tenant == nil {
		return ""
	}
	return c.Tenant.Name
}

// giveTurns lets the shards that wait for a service ask its back ends, in order, as long as these have capacity. The caller
// holds the lock, and no request is being stepped.
func (g *Gateway) giveTurns(now time.Duration, service string) {
	for {
		queue := g.turns.queues[service]
		if queue == nil || !g.replicas.HasCapacity(now, service) || !g.giveTurn(now, queue) {
			return
		}
	}
}

// giveTurn gives a turn to the first waiter that can use it, and reports whether there was one.
func (g *Gateway) giveTurn(now time.Duration, queue *priority.Queue) bool {
	for _, waiter := range queue.Order(clock.FromDuration(now), &g.turns.shares) {
		// A turn that ends its request also ends the other waits of the request. A request whose caller has left is about
		// to end its own.
		if run := g.turns.runs[waiter]; run != nil && !run.callerLeft() && run.takeTurn(now, queue, waiter) {
			return true
		}
	}
	return false
}

// takeTurn lets a waiting shard of the request ask a back end, and reports whether it did. The caller holds the lock. The
// goroutine that drives the request is told, since the request may be answered or need to be woken earlier.
func (r *requestRun) takeTurn(now time.Duration, queue *priority.Queue, waiter *priority.Waiter) bool {
	r.request.SetNode(nodeView{r.gateway, now, r})
	actions := r.request.CapacityFreed(now, waiter.Shard)
	started := startsAttempt(actions, waiter.Shard)
	if started {
		queue.Served(waiter)
	}
	r.carryOut(now, actions)
	select {
	case r.stepped <- struct{}{}:
	default:
	}
	return started
}

// startsAttempt reports whether the actions start an attempt at a shard.
func startsAttempt(actions []forward.Action, shard int) bool {
	for _, action := range actions {
		if start, ok := action.(forward.StartAttempt); ok && start.Attempt.Shard == shard {
			return true
		}
	}
	return false
}

// newOrder returns what the order of waiters goes by for a request.
func newOrder(call *Call, parameters *forward.Parameters, request *forward.Request) *priority.Request {
	return &priority.Request{
		Rank: parameters.Priority, Tenant: call.tenantName(),
		TargetLatency: clock.FromDuration(parameters.Route.TargetLatency), AnswerBy: clock.FromDuration(request.AnswerBy()),
	}
}

// updateOrder stores what the request still lacks. The caller holds the lock.
func (r *requestRun) updateOrder() {
	if r.order != nil {
		r.order.Lacking, r.order.Open = r.request.Lacking(), r.request.Unanswered()
	}
}

// awaitTurn adds a shard to those that wait for its service. The caller holds the lock.
func (r *requestRun) awaitTurn(now time.Duration, wait forward.AwaitCapacity) {
	g := r.gateway
	waiter := &priority.Waiter{Request: r.order, Shard: wait.Shard, Since: clock.FromDuration(now)}
	queue := g.turns.queues[wait.Service]
	if queue == nil {
		queue = &priority.Queue{}
		g.turns.queues[wait.Service] = queue
	}
	queue.Add(waiter)
	r.waiters[wait.Shard] = queuedWaiter{wait.Service, waiter}
	g.turns.runs[waiter] = r
	g.turns.shares.WaitBegan(r.order.Tenant)
}

// queuedWaiter is a waiter with the service for which it waits.
type queuedWaiter struct {
	service string
	waiter  *priority.Waiter
}

// endWait removes a shard from those that wait. The caller holds the lock.
func (r *requestRun) endWait(shard int) {
	g, queued := r.gateway, r.waiters[shard]
	delete(r.waiters, shard)
	delete(g.turns.runs, queued.waiter)
	g.turns.shares.WaitEnded(r.order.Tenant)
	queue := g.turns.queues[queued.service]
	queue.Remove(queued.waiter)
	if queue.Len() == 0 {
		delete(g.turns.queues, queued.service)
	}
}

// endAllWaits removes all shards of a request that ends. The caller holds the lock.
func (r *requestRun) endAllWaits() {
	for shard := range r.waiters {
		r.endWait(shard)
	}
}
