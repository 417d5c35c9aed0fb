package gateway

import (
	"context"
	"fmt"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/forward"
	"stiletrail/internal/replica"
)

// send carries an attempt out beside the request; the lock is held.
func (r *run) send(now time.Duration, attempt *forward.Attempt) {
	attempt.Replica.Start(now)
	ctx, cancel := context.WithCancel(context.Background())
	r.cancels[attempt] = cancel
	send := Send{
		Call: r.call, Attempt: attempt, Entry: attempt.Replica.Entry, Deadline: r.deadlineTime, Left: r.left, CallerGone: r.callerLeft,
		Once: !r.route.Repeatable, Idle: r.gateway.replicas.IdleLimit(attempt.Replica),
		Prove: r.gateway.replicas.MustProve(now, attempt.Replica),
	}
	go func() {
		outcome := r.gateway.exchange(ctx, send)
		cancelled := ctx.Err() != nil
		cancel()
		r.gateway.attemptEnded(r.call, attempt, outcome, cancelled)
		select {
		case r.outcomes <- ended{attempt, outcome}:
		case <-r.finished:
		}
	}()
}

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

// attemptEnded notes what an attempt says of its back end.
func (g *Gateway) attemptEnded(call *Call, attempt *forward.Attempt, outcome forward.Outcome, cancelled bool) {
	g.mu.Lock()
	now := g.now()
	attempt.Replica.TakeLoad(now, outcome.Load)
	ejected := attempt.Replica.Finish(now, attempt.StartedAt, backEndVerdict(outcome, cancelled))
	if !cancelled || outcome.Kind == forward.Answered {
		g.reportHealth(now, attempt.Replica)
	}
	g.mu.Unlock()
	if outcome.BackEndCrashed {
		g.log.BackEndEnded(call, attempt, clock.FromDuration(now-attempt.StartedAt))
	}
	if ejected {
		g.log.Ejected(attempt, outcome)
	}
}

// backEndVerdict is what a back end is taken for by the outcome of an attempt. What was cancelled without an answer says
// only how old it was.
func backEndVerdict(outcome forward.Outcome, cancelled bool) replica.Verdict {
	switch {
	case cancelled && outcome.Kind != forward.Answered:
		return replica.Withdrawn
	case outcome.BackEndCrashed:
		return replica.Unreachable
	case outcome.ConnectionRejected:
		return replica.TurnedAway
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
