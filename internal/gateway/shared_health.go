package gateway

import (
	"context"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/forward"
	"stiletrail/internal/message"
	"stiletrail/internal/replica"
	"stiletrail/internal/sharedhealth"
)

// sharedHealth is this node's part in finding, together with other nodes, the back ends that are at fault. Gateway.mu
// guards it, except the channel. The core is nil on a node without peers.
type sharedHealth struct {
	core *sharedhealth.Core
	// membersVersion is the version of the member list of which the core knows.
	membersVersion uint64
	// pending is signalled when there is something to send or to judge.
	pending chan struct{}
}

func newSharedHealth() sharedHealth { return sharedHealth{pending: make(chan struct{}, 1)} }

func (h *sharedHealth) signal() {
	select {
	case h.pending <- struct{}{}:
	default:
	}
}

// sharesHealth reports whether this node shares what it learns of refusing and unreachable back ends.
func (g *Gateway) sharesHealth() bool {
	return g.shared.core != nil && g.settings.Load().Fleet.SharedHealth
}

// updateSharedHealthNodes tells the core which nodes there are.
func (g *Gateway) updateSharedHealthNodes() {
	version := g.fleet.members.Version()
	if g.shared.membersVersion == version {
		return
	}
	g.shared.membersVersion = version
	var nodes []sharedhealth.Node
	for _, m := range g.fleet.members.Members() {
		if m.Usable() {
			nodes = append(nodes, sharedhealth.Node{Address: m.Address, Region: m.Region})
		}
	}
	g.shared.core.SetNodes(clock.FromDuration(g.now()), nodes)
}

// countAttempt counts the end of an attempt for the collectors.
func (g *Gateway) countAttempt(now time.Duration, attempt *forward.Attempt, outcome forward.Outcome, result replica.AttemptResult) {
	counted, counts := sharedResult(result, outcome.Load)
	if !counts || !g.sharesHealth() {
		return
	}
	at := clock.FromDuration(now)
	service := sharedhealth.ServiceKey(attempt.Replica.Service)
	g.shared.core.Record(at, service, attempt.Replica.Key(), counted, at-clock.FromDuration(attempt.StartedAt))
	if !g.shared.core.Idle(at) {
		g.shared.signal()
	}
}

// sharedResult returns what the end of an attempt tells other nodes. counts is false if it tells them nothing. A refusal by a
// back end that reports its load is not counted, since the load tells whether the back end was at fault.
func sharedResult(result replica.AttemptResult, load replica.Load) (counted sharedhealth.Result, counts bool) {
	switch result {
	case replica.Answered, replica.Failed:
		return sharedhealth.Accepted, true
	case replica.Refused:
		return sharedhealth.Refused, !load.Reported
	case replica.Unreachable:
		return sharedhealth.Unreachable, true
	}
	return 0, false
}

// runSharedHealth sends what is due to other nodes, until the context ends. It sleeps while nothing is refused.
func (g *Gateway) runSharedHealth(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-g.shared.pending:
		}
		g.sendSharedHealth()
		pause(ctx, sharedhealth.Interval.Duration())
	}
}

// sendSharedHealth judges the back ends and sends what is due.
func (g *Gateway) sendSharedHealth() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.sharesHealth() {
		return
	}
	now := g.now()
	g.updateSharedHealthNodes()
	for _, send := range g.shared.core.Tick(clock.FromDuration(now), siblingDirectory{g.replicas}) {
		g.fleet.transport.Send(send.To, send.Message)
	}
	g.applySharedVerdicts(now)
	if !g.shared.core.Idle(clock.FromDuration(now)) {
		g.shared.signal()
	}
}

// receiveSharedHealth handles a message of another node about refusing and unreachable back ends.
func (g *Gateway) receiveSharedHealth(now time.Duration, from string, m message.Message) {
	if !g.sharesHealth() {
		return
	}
	g.updateSharedHealthNodes()
	g.shared.core.Receive(clock.FromDuration(now), from, m)
	if _, verdicts := m.(*message.BackEndVerdicts); verdicts {
		g.applySharedVerdicts(now)
	}
	g.shared.signal()
}

// applySharedVerdicts makes the pick of replicas go by the verdicts on which the collectors agree.
func (g *Gateway) applySharedVerdicts(now time.Duration) {
	verdicts := map[uint64]replica.SharedVerdict{}
	agreed, until := g.shared.core.Verdicts(clock.FromDuration(now))
	for backEnd, v := range agreed {
		verdicts[backEnd] = replica.SharedVerdict{RefusedShare: v.RefusedShare, Unreachable: v.Unreachable}
	}
	g.replicas.SetSharedVerdicts(until.Duration(), verdicts, g.shared.core.GroupSize())
}

// siblingDirectory implements sharedhealth.Directory.
type siblingDirectory struct{ replicas *replica.Set }

// Siblings implements sharedhealth.Directory.
func (d siblingDirectory) Siblings(backEnd uint64) (service uint64, members []sharedhealth.BackEnd) {
	for _, r := range d.replicas.Siblings(backEnd) {
		service = sharedhealth.ServiceKey(r.Service)
		members = append(members, sharedhealth.BackEnd{Key: r.Key(), Slots: r.Slots})
	}
	return service, members
}
