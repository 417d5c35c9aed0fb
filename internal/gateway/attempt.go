package gateway

import (
	"context"
	"fmt"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/forward"
	"stiletrail/internal/replica"
)

// startAttempt starts an attempt in a goroutine of its own. The caller holds the lock.
func (r *requestRun) startAttempt(now time.Duration, attempt *forward.Attempt) {
	attempt.Replica.StartAttempt(now)
	if r.order != nil {
		r.gateway.turns.shares.AttemptStarted(r.order.Tenant)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancels[attempt] = cancel
	request := BackEndRequest{
		Call: r.call, Attempt: attempt, Entry: attempt.Replica.Entry, Deadline: r.deadlineTime,
		Remaining: r.remaining, CallerGone: r.checkCallerGone,
		NotRepeatable: !r.route.Repeatable, IdleLimit: r.gateway.replicas.IdleLimit(attempt.Replica),
		VerifyConnection: r.gateway.replicas.MustVerify(now, attempt.Replica),
	}
	go func() {
		outcome := r.gateway.exchange(ctx, request)
		cancelled := ctx.Err() != nil
		cancel()
		r.attemptEnded(attempt, outcome, cancelled)
		select {
		case r.outcomes <- attemptOutcome{attempt, outcome}:
		case <-r.finished:
		}
	}()
}

// exchange carries out an attempt. A panic in this process ends only the attempt, which then counts as one that may have
// run, and not the process.
func (g *Gateway) exchange(ctx context.Context, request BackEndRequest) (outcome forward.Outcome) {
	defer func() {
		if panicked := recover(); panicked != nil {
			g.log.InternalError(fmt.Sprint(panicked))
			outcome = forward.Outcome{Kind: forward.Lost, Detail: "internal error of this node"}
		}
	}()
	return g.backEnds.Exchange(ctx, request)
}

// attemptEnded records what the end of an attempt says about its back end, and gives the capacity to the next waiter.
func (r *requestRun) attemptEnded(attempt *forward.Attempt, outcome forward.Outcome, cancelled bool) {
	g := r.gateway
	g.mu.Lock()
	now := g.now()
	attempt.Replica.RecordLoad(now, outcome.Load)
	result := attemptResult(outcome, cancelled)
	ejected := attempt.Replica.FinishAttempt(now, attempt.StartedAt, result)
	g.countAttempt(now, attempt, outcome, result)
	if !cancelled || outcome.Kind == forward.Answered {
		g.reportHealth(now, attempt.Replica)
	}
	g.giveTurns(now, attempt.Service)
	if r.order != nil {
		// Only now: at a back end with one connection, a tenant that has just used it would otherwise hold nothing.
		g.turns.shares.AttemptEnded(r.order.Tenant)
	}
	g.mu.Unlock()
	if outcome.BackEndCrashed {
		g.log.BackEndCrashed(r.call, attempt, clock.FromDuration(now-attempt.StartedAt))
	}
	if ejected {
		g.log.BackEndEjected(attempt, outcome)
	}
}

// attemptResult returns the effect of an attempt's outcome on the state of its back end. An attempt that was cancelled
// without an answer tells only how long it had been running.
func attemptResult(outcome forward.Outcome, cancelled bool) replica.AttemptResult {
	switch {
	case cancelled && outcome.Kind != forward.Answered:
		return replica.Cancelled
	case outcome.BackEndCrashed:
		return replica.Unreachable
	case outcome.ConnectionRejected:
		return replica.ConnectionRejected
	case outcome.NoMemory:
		return replica.Neutral
	}
	switch outcome.Kind {
	case forward.Answered:
		return replica.Answered
	case forward.Failed:
		if outcome.BlamesRequest {
			return replica.Neutral
		}
		return replica.Failed
	case forward.Refused:
		if outcome.Load.HasFreeSlot() {
			return replica.RefusedWithFreeSlots
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
