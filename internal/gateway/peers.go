package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
	"stiletrail/internal/roster"
	"stiletrail/internal/sharedhealth"
	"stiletrail/internal/spread"
)

// peerTickInterval is the pause between two rounds of periodic work among peers.
const peerTickInterval = 200 * time.Millisecond

// Join makes the gateway a member of the fleet that the seeds belong to. It must be called before Run.
func (g *Gateway) Join(self membership.Member, seeds []string, peers PeerTransport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	random := rand.New(rand.NewPCG(g.settings.Load().Seed, self.Generation))
	g.shared.core = sharedhealth.New(self.Address)
	g.fleet = fleet{
		members:   membership.New(g.now(), self, seeds, membership.DefaultSettings(), random),
		transport: peers, seeds: seeds, manyWereStarting: true,
	}
	g.joinQuotas(self)
	g.roster.core = roster.New(roster.Entry{Address: self.Address, Zone: self.Zone, Region: self.Region, Process: roster.ProcessOf(self)})
}

// SetSeeds replaces the addresses of nodes that are asked for the members, because the settings name others now. It does nothing on
// a node without peers.
func (g *Gateway) SetSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fleet.members == nil {
		return
	}
	g.fleet.seeds = seeds
	g.fleet.members.SetSeeds(seeds)
}

// pickSpreadPeers picks random members to which news of the store is sent. It picks none for a larger count while others
// watch the store for this node.
func (g *Gateway) pickSpreadPeers(count int) []string {
	if g.fleet.members == nil || !g.settings.Load().Fleet.PeerCopies {
		return nil
	}
	if count > 1 && g.servedByWatchers(g.now()) {
		// The watchers have sent the change to the whole region already.
		return nil
	}
	return g.fleet.pick(count)
}

func (g *Gateway) sendSpread(sends []spread.OutgoingMessage) {
	for _, send := range sends {
		g.fleet.transport.Send(send.To, send.Message)
	}
}

func (g *Gateway) sendMembership(sends []membership.OutgoingMessage) {
	for _, send := range sends {
		g.fleet.transport.Send(send.To, send.Message)
	}
}

// tickPeers runs the periodic work among peers until the context ends.
func (g *Gateway) tickPeers(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, peerTickInterval)
		g.tickPeersOnce()
	}
}

func (g *Gateway) tickPeersOnce() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.sendMembership(g.fleet.members.Tick(now))
	g.compareViewsEarly(now)
	g.sendSpread(g.storeCopy.records.Tick(now, g.receivesChanges(now), g.servedByWatchers(now)))
	g.storeCopy.logStaleness(now)
	g.applyHeldEvidence(now)
	g.syncEvidence(now)
	g.reports.core.Forget(clock.FromDuration(now))
	g.clocks.Forget(clock.FromDuration(now))
	g.updateStarting(now)
	g.updateMembers(now)
	g.updateQuotaMembers(now)
}

// updateStarting divides the shared limits again when many nodes have begun to start, or do not any more.
func (g *Gateway) updateStarting(now time.Duration) {
	if starting := g.fleet.manyNodesStarting(now); starting != g.fleet.manyWereStarting {
		g.fleet.manyWereStarting = starting
		g.divideAmongNodes()
	}
}

// updateMembers divides the shared limits again when the members have changed, or when this node has joined them.
func (g *Gateway) updateMembers(now time.Duration) {
	f := &g.fleet
	if f.members.Version() == f.membersVersion && f.members.Joined(now) == f.joined {
		return
	}
	f.membersVersion, f.joined = f.members.Version(), f.members.Joined(now)
	f.nodeCount = 0
	if f.joined {
		f.nodeCount = len(f.members.Members())
	}
	g.divideAmongNodes()
	g.log.MembersChanged(f.members.AliveCount())
}

// Message implements transport.Handler.
func (g *Gateway) Message(from string, m message.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	switch m := m.(type) {
	case *message.Probe, *message.ProbeAck, *message.ProbeRequest, *message.MemberSync:
		sends, _ := g.fleet.members.Receive(now, from, m)
		g.sendMembership(sends)
	case *message.StoreDigest, *message.StoreRequest, *message.StoreRecords:
		g.receiveSpread(now, from, m)
	case *message.ClockRequest:
		g.fleet.transport.Send(from, g.clocks.Answer(clock.FromDuration(now), m))
	case *message.ClockAnswer:
		g.receiveClock(now, from, m)
	case *message.Evidence:
		g.receiveEvidence(now, from, m)
	case *message.BackEndReports:
		g.receiveReports(now, m)
	case *message.AttemptCounts, *message.AttemptSums, *message.BackEndVerdicts:
		g.receiveSharedHealth(now, from, m)
	case *message.QuotaReport, *message.QuotaGrant:
		g.receiveQuotas(now, from, m)
	}
}

// receiveClock handles a peer's reading of its clock, by which what the peer reports can be dated.
func (g *Gateway) receiveClock(now time.Duration, from string, m *message.ClockAnswer) {
	g.clocks.Receive(clock.FromDuration(now), from, m)
	g.storeCopy.records.ClockMeasured(now, from)
	g.applyHeldEvidence(now)
}

// Undelivered implements transport.Handler. Nothing is resent: what is still due is sent again by the periodic work.
func (g *Gateway) Undelivered(string, message.Message, bool) {}

// Silent implements transport.Handler.
func (g *Gateway) Silent(peer string) { g.log.PeerSilent(peer) }

// Disconnected implements transport.Handler.
func (g *Gateway) Disconnected(string) {}

// Malformed implements transport.Handler.
func (g *Gateway) Malformed(remote string, err error) { g.log.PeerMalformed(remote, err) }
