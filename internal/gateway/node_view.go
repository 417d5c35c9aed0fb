package gateway

import (
	"time"

	"stiletrail/internal/admit"
	"stiletrail/internal/clock"
	"stiletrail/internal/forward"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/replica"
)

// nodeView implements forward.Node: it is the node as one request sees it at one moment. The lock is held while it is used.
type nodeView struct {
	gateway *Gateway
	now     time.Duration
	run     *requestRun
}

// Pick implements forward.Node.
func (n nodeView) Pick(service string, options replica.PickOptions) (*replica.Replica, bool) {
	return n.gateway.replicas.Pick(n.now, service, options)
}

// EarliestRecovery implements forward.Node.
func (n nodeView) EarliestRecovery(service string, options replica.PickOptions) (time.Duration, bool) {
	return n.gateway.replicas.EarliestRecovery(service, options)
}

// FastestAnswer implements forward.Node.
func (n nodeView) FastestAnswer(service string, options replica.PickOptions) (time.Duration, bool) {
	return n.gateway.replicas.FastestAnswer(n.now, service, options)
}

// SpendHedge implements forward.Node.
func (n nodeView) SpendHedge(service string) bool {
	return n.gateway.spendExtra(n.now, service, n.gateway.settings.Load().Retries.HedgeReserve)
}

// ExtraAttemptsLeft implements forward.Node.
func (n nodeView) ExtraAttemptsLeft(service string) float64 {
	return n.gateway.extrasLeft(n.now, service)
}

// AskForExtra implements forward.Node.
func (n nodeView) AskForExtra(service string) bool { return n.gateway.askForExtra(n.now, service) }

// EarliestExtra implements forward.Node.
func (n nodeView) EarliestExtra(service string) time.Duration {
	return n.gateway.earliestExtra(n.now, service)
}

// SpendRetry implements forward.Node.
func (n nodeView) SpendRetry(service string) bool { return n.gateway.spendExtra(n.now, service, 0) }

// RecordSample implements forward.Node.
func (n nodeView) RecordSample(sample admit.Sample) {
	n.gateway.admissionController.Record(clock.FromDuration(n.now), sample)
}

// RecordCrash implements forward.Node.
func (n nodeView) RecordCrash(attempt *forward.Attempt) quarantine.Verdict {
	g, now := n.gateway, clock.FromDuration(n.now)
	if n.run.call.Identity == (quarantine.Identity{}) {
		return quarantine.Clear
	}
	verdict, change := g.quarantine.RecordCrash(now, n.run.call.Identity, quarantine.Crash{
		Service: attempt.Service, BackEnd: attempt.Replica.Incarnation(), Version: attempt.Replica.Version,
		StartedAt: clock.FromDuration(attempt.StartedAt), CrashedAt: clock.FromDuration(attempt.EndedAt),
	})
	if change.FirstRound && n.run.route.FansOut() {
		// Usually another shard answers soon, and then other nodes need not be told.
		n.run.evidencePending = n.run.evidencePending || len(change.Share) > 0
		change.Share = nil
	}
	g.verdictsChanged(now, change, sourceOwn)
	return verdict
}

// Verdict implements forward.Node.
func (n nodeView) Verdict() quarantine.Verdict {
	return n.gateway.quarantine.Verdict(clock.FromDuration(n.now), n.run.call.Identity)
}

// ShardExcluded implements forward.Node.
func (n nodeView) ShardExcluded(service string) bool {
	return n.gateway.quarantine.ShardExcluded(clock.FromDuration(n.now), n.run.call.Identity, service)
}

// RecordAnswer implements forward.Node.
func (n nodeView) RecordAnswer(attempt *forward.Attempt) {
	g, now := n.gateway, clock.FromDuration(n.now)
	n.run.evidencePending = false
	n.recordContradictions(attempt.Shard)
	change := g.quarantine.RecordAnswer(now, n.run.call.Identity, attempt.Service, attempt.Replica.Version)
	for _, fingerprint := range change.VerdictChanged {
		_, quarantined := g.quarantine.RemainingOf(now, fingerprint)
		g.quarantineWrites.scheduleUpdate(fingerprint, quarantined)
	}
	g.verdictsChanged(now, change, sourceOwn)
}

// recordContradictions records that a request was answered at a shard. Replicas of the shard that had rejected the request
// as invalid were therefore at fault.
func (n nodeView) recordContradictions(shard int) {
	for _, attempt := range n.run.request.Attempts() {
		if attempt.Shard != shard || !attempt.Outcome.BlamesRequest {
			continue
		}
		if attempt.Replica.RecordContradiction(n.now) {
			n.gateway.log.BackEndEjected(attempt, attempt.Outcome)
		}
		n.gateway.reportHealth(n.now, attempt.Replica)
	}
}
