package gateway

import (
	"time"

	"stiletrail/internal/admit"
	"stiletrail/internal/clock"
	"stiletrail/internal/forward"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/replica"
)

// world is the gateway as a request sees it; the lock is held.
type world struct {
	gateway *Gateway
	now     time.Duration
	run     *run
}

// Pick implements forward.World.
func (w world) Pick(service string, choice replica.Choice) (*replica.Replica, bool) {
	return w.gateway.replicas.Pick(w.now, service, choice)
}

// Recovers implements forward.World.
func (w world) Recovers(service string, choice replica.Choice) (time.Duration, bool) {
	return w.gateway.replicas.Recovers(service, choice)
}

// SpendHedge implements forward.World.
func (w world) SpendHedge(service string) bool {
	return w.gateway.budget(service).Spend(w.now, w.gateway.settings.Load().HedgeReserve, w.gateway.retrySlack())
}

// ExtrasLeft implements forward.World.
func (w world) ExtrasLeft(service string) float64 {
	return w.gateway.budget(service).Remaining(w.now, w.gateway.retrySlack())
}

// SpendRetry implements forward.World.
func (w world) SpendRetry(service string) bool {
	return w.gateway.budget(service).Spend(w.now, 0, w.gateway.retrySlack())
}

// Met implements forward.World.
func (w world) Met(seen admit.Seen) { w.gateway.gate.Note(w.now, seen) }

// Ended implements forward.World.
func (w world) Ended(attempt *forward.Attempt) quarantine.Verdict {
	g, now := w.gateway, clock.Of(w.now)
	if w.run.call.Identity == (quarantine.Identity{}) {
		return quarantine.Clear
	}
	verdict, change := g.quarantine.Ended(now, w.run.call.Identity, quarantine.Run{
		Service: attempt.Service, BackEnd: attempt.Replica.ID, Version: attempt.Replica.Version,
		Began: clock.Of(attempt.StartedAt), Ended: clock.Of(attempt.EndedAt),
	})
	if change.First && w.run.route.FansOut() {
		// Most often another shard answers soon, and nobody need hear of it.
		w.run.untold = w.run.untold || len(change.Tell) > 0
		change.Tell = nil
	}
	g.changed(now, change, byOwn)
	return verdict
}

// Verdict implements forward.World.
func (w world) Verdict() quarantine.Verdict {
	return w.gateway.quarantine.Verdict(clock.Of(w.now), w.run.call.Identity)
}

// LeftOut implements forward.World.
func (w world) LeftOut(service string) bool {
	return w.gateway.quarantine.LeftOut(clock.Of(w.now), w.run.call.Identity, service)
}

// Ran implements forward.World.
func (w world) Ran(attempt *forward.Attempt) {
	g, now := w.gateway, clock.Of(w.now)
	w.run.untold = false
	change := g.quarantine.Answered(now, w.run.call.Identity, attempt.Service, attempt.Replica.Version)
	for _, mark := range change.Judged {
		_, held := g.quarantine.Held(now, mark)
		g.keeping.again(mark, !held)
	}
	g.changed(now, change, byOwn)
}
