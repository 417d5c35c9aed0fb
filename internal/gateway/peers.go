package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
	"stiletrail/internal/replica"
	"stiletrail/internal/spread"
)

// PeerTransport carries messages to other nodes; sending never blocks.
type PeerTransport interface {
	Send(to string, m message.Message)
}

// farPickEvery single peers one is picked anywhere.
const farPickEvery = 4

const (
	// youngFor is how long after a start back ends may count connections that died with an earlier life.
	youngFor = 8 * clock.Second
	// togetherPart: a part of the connections is shared meanwhile if at least one in so many nodes started with it.
	togetherPart = 3
)

// peerTick is the pause between looks at what is due among peers.
const peerTick = 200 * time.Millisecond

// Join makes the gateway a member among the nodes that the seeds know. It is called before Run.
func (g *Gateway) Join(self membership.Member, seeds []string, peers PeerTransport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	random := rand.New(rand.NewPCG(g.settings.Load().Seed, self.Generation))
	g.members = membership.New(g.now(), self, seeds, membership.DefaultSettings(), random)
	g.peers = peers
}

// somePeers picks random members for the spreading of the store's state: one anywhere and the others near, since bytes between
// regions are dear; every fourth time a single one is picked anywhere too, so that news crosses between regions.
func (g *Gateway) somePeers(count int) []string {
	if g.members == nil || !g.settings.Load().PeerCopies {
		return nil
	}
	if g.told(g.now()) && count > 1 {
		// Those that watch have told the region.
		return nil
	}
	g.peerPicks++
	near := func(m membership.Member) bool { return m.Usable() && m.Region == g.members.Self().Region }
	farther := 1
	if count == 1 && g.peerPicks%farPickEvery != 0 {
		farther = 0
	}
	picked := g.members.Pick(count-farther, near)
	return append(picked, g.members.Pick(count-len(picked), membership.Member.Usable)...)
}

// tell sends what was decided; the lock is held.
func (g *Gateway) tell(sends []spread.Send) {
	for _, send := range sends {
		g.peers.Send(send.To, send.Message)
	}
}

func (g *Gateway) tellMembers(sends []membership.Send) {
	for _, send := range sends {
		g.peers.Send(send.To, send.Message)
	}
}

// tickPeers drives membership and spreading until the context ends.
func (g *Gateway) tickPeers(ctx context.Context) {
	var version uint64
	joined, young := false, true
	for ctx.Err() == nil {
		pause(ctx, peerTick)
		g.mu.Lock()
		now := g.now()
		g.tellMembers(g.members.Tick(now))
		g.tell(g.view.Tick(now, g.served(now), g.told(now)))
		g.noteAge(now)
		g.compareEvidence(now)
		g.reports.Forget(clock.Of(now))
		if g.young(now) != young {
			young = !young
			g.shareOut()
		}
		if g.members.Version() != version || g.members.Joined(now) != joined {
			version, joined = g.members.Version(), g.members.Joined(now)
			g.nodes = 0
			if joined {
				g.nodes = len(g.members.Members())
			}
			g.shareOut()
			g.log.Members(g.members.AliveCount())
		}
		g.mu.Unlock()
	}
}

// Message implements transport.Handler.
func (g *Gateway) Message(from string, m message.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	switch m := m.(type) {
	case *message.Probe, *message.ProbeAck, *message.ProbeRequest, *message.MemberSync:
		sends, _ := g.members.Receive(now, from, m)
		g.tellMembers(sends)
	case *message.StoreDigest, *message.StoreRequest, *message.StoreRecords:
		g.receiveSpread(now, from, m)
	case *message.Evidence:
		g.receiveEvidence(now, m)
	case *message.BackEndReports:
		g.receiveReports(now, m)
	}
}

// receiveSpread takes in what a peer knows of the store.
func (g *Gateway) receiveSpread(now time.Duration, from string, m message.Message) {
	if request, asked := m.(*message.StoreRequest); asked && request.Revision.Unknown() {
		// A node that has just started: it must not serve before it knows what to send to nobody.
		g.tellEvidenceTo(now, from)
	}
	age := g.copyAge(now)
	received := g.view.Receive(now, from, m, g.served(now))
	g.followEra(now)
	doubt := g.doubtUntilAt(now, age, countGone(received.Records)+len(received.Gone))
	for _, record := range received.Records {
		if record.Gone {
			g.vanished(now, record.Key, doubt)
		} else {
			g.apply(now, record)
		}
	}
	for _, key := range received.Gone {
		g.vanished(now, key, doubt)
	}
	g.takeKept(received.Kept)
	if received.Advanced {
		g.follower.Advance(g.view.Revision())
		g.noteListed()
		g.log.Learned(from, len(received.Records)+len(received.Gone), g.view.Revision())
	}
	g.tell(received.Sends)
}

// Undelivered implements transport.Handler. What is due is said again by itself.
func (g *Gateway) Undelivered(string, message.Message, bool) {}

// Silent implements transport.Handler.
func (g *Gateway) Silent(peer string) { g.log.PeerSilent(peer) }

// Disconnected implements transport.Handler.
func (g *Gateway) Disconnected(string) {}

// Malformed implements transport.Handler.
func (g *Gateway) Malformed(remote string, err error) { g.log.PeerMalformed(remote, err) }

// shareOut divides what the nodes have in common among those known: the connections of each back end, and the calls to the
// store. A node that has not joined the others yet goes by those it has heard of so far, and by the settings.
func (g *Gateway) shareOut() {
	table := g.table.Load()
	if g.members == nil || table == nil {
		return
	}
	nodes, most := g.nodes, g.settings.Load().MostConnections
	if nodes == 0 {
		nodes, most = len(g.members.Members()), g.settings.Load().Replica.Connections
		g.duty = duty{}
	} else {
		g.assignDuty()
		g.takeTurns()
	}
	g.shareColdBackEnds()
	near := 0
	for _, member := range g.members.Members() {
		if member.Region == g.members.Self().Region {
			near++
		}
	}
	part := 1
	young := g.young(g.now())
	g.replicas.SetManyStarting(young)
	if young {
		part = g.settings.Load().YoungPart
	}
	if !g.settings.Load().ShareConnections {
		return
	}
	shares := map[string]replica.ConnectionShare{}
	for _, service := range table.Services() {
		if service.MaximumConnections > 0 {
			shares[service.Name] = replica.NewConnectionShare(service.MaximumConnections/part, nodes, near, most)
		}
	}
	g.replicas.SetConnectionShares(shares)
}

// shareColdBackEnds has the nodes known divide what cold back ends bear; the lock is held. While the node has not joined the others it has no part.
func (g *Gateway) shareColdBackEnds() {
	var nodes []string
	if g.nodes > 0 {
		for _, member := range g.members.Members() {
			nodes = append(nodes, member.Address)
		}
	}
	slices.Sort(nodes)
	g.replicas.SetNodes(g.members.Self().Address, nodes)
}

// young reports whether back ends may still count many connections of earlier lives: this node has just started, and so have many
// others, as after a loss of power. What a node that was started alone has left behind is little.
func (g *Gateway) young(now time.Duration) bool {
	if clock.Of(now) >= youngFor {
		return false
	}
	members := g.members.Members()
	together := 0
	for _, m := range members {
		// An incarnation begins as the time of day of the start, in milliseconds.
		if m.Incarnation+uint64(youngFor) >= g.members.Self().Incarnation {
			together++
		}
	}
	return together*togetherPart >= len(members)
}

// takeTurns has the watchers of the group look at the store one after the other: with each some time after the one before it, a change that the
// watches of all have missed is found soon, and told.
func (g *Gateway) takeTurns() {
	tellEvery := g.settings.Load().Waits.TellEvery
	if !g.duty.watches || g.duty.watchers < 2 || !g.settings.Load().StoreTurns || !g.settings.Load().PeerCopies {
		g.follower.TakeTurns(0, 0)
		return
	}
	period := clock.Ms(g.duty.watchers) * tellEvery
	g.follower.TakeTurns(period.Duration(), (clock.Ms(g.duty.turn) * tellEvery).Duration())
}

// slackPart of the retry slack is used; the rest is left for nodes that others do not know yet. Nine tenths in place of a half are worth 0.01 to 0.02 on
// days on which half of all back ends refuse, and nothing elsewhere (docs/POLICY.md).
const slackPart = 0.9

// retrySlack is this node's part of the extra attempts allowed beyond the share. In the first window of a life it has none: an earlier life may have
// spent its part within the same window.
func (g *Gateway) retrySlack() float64 {
	settings := g.settings.Load()
	if g.nodes == 0 || g.now() < settings.RetryWindow {
		return 0
	}
	return slackPart * settings.RetrySlack / float64(g.nodes)
}
