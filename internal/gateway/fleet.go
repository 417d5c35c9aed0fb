package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
	"stiletrail/internal/spread"
)

// PeerTransport carries messages to other nodes; sending never blocks.
type PeerTransport interface {
	Send(to string, m message.Message)
}

const (
	// peerTick is the pause between looks at what is due among peers.
	peerTick = 200 * time.Millisecond
	// farPickEvery single peers one is picked anywhere.
	farPickEvery = 4
	// startingFor is how long after a start back ends may count connections that died with an earlier life.
	startingFor = 8 * clock.Second
	// manyStartingPart: many nodes are starting where at least one in so many has started with this one.
	manyStartingPart = 3
)

// fleet is the nodes that this one knows, and its part in what they do together. Guarded by Gateway.mu.
type fleet struct {
	// members are the nodes known, transport carries messages to them; nil on a node without peers.
	members   *membership.Core
	transport PeerTransport
	// picks counts how often peers were picked.
	picks int
	// nodes is the number of nodes to share what there is with: those known, dead ones included, since they may be back; 0 while
	// this node has not joined them.
	nodes int
	// watch is this node's part in watching the store.
	watch watchAssignment
	// version of the members, whether this node has joined them, and whether many are starting, as of the last look.
	version      uint64
	joined       bool
	wereStarting bool
}

// usable gives the addresses of the nodes that may be given work: those of this node's region, itself included, and the others.
func (f *fleet) usable() (near, far []string) {
	region := f.members.Self().Region
	for _, m := range f.members.Members() {
		switch {
		case !m.Usable():
		case m.Region == region:
			near = append(near, m.Address)
		default:
			far = append(far, m.Address)
		}
	}
	return near, far
}

// otherRegions are those in which there are usable nodes, but this node's.
func (f *fleet) otherRegions() []string {
	own := f.members.Self().Region
	regions := map[string]bool{}
	for _, m := range f.members.Members() {
		if m.Usable() && m.Region != own {
			regions[m.Region] = true
		}
	}
	return slices.Sorted(maps.Keys(regions))
}

// pickIn gives a random member of a region, none where nobody there is usable.
func (f *fleet) pickIn(region string) []string {
	return f.members.Pick(1, func(m membership.Member) bool { return m.Usable() && m.Region == region })
}

// pick gives random members: one anywhere and the others near, since bytes between regions are dear; every fourth time a single
// one is picked anywhere too, so that news crosses between regions.
func (f *fleet) pick(count int) []string {
	f.picks++
	near := func(m membership.Member) bool { return m.Usable() && m.Region == f.members.Self().Region }
	farther := 1
	if count == 1 && f.picks%farPickEvery != 0 {
		farther = 0
	}
	picked := f.members.Pick(count-farther, near)
	return append(picked, f.members.Pick(count-len(picked), membership.Member.Usable)...)
}

// manyStarting reports whether back ends may still count many connections of earlier lives: this node has just started, and so
// have many others, as after a loss of power. What a node that was started alone has left behind is little.
func (f *fleet) manyStarting(now time.Duration) bool {
	if clock.Of(now) >= startingFor {
		return false
	}
	members := f.members.Members()
	starting := 0
	for _, m := range members {
		// An incarnation begins as the time of day of the start, in milliseconds.
		if m.Incarnation+uint64(startingFor) >= f.members.Self().Incarnation {
			starting++
		}
	}
	return starting*manyStartingPart >= len(members)
}

// Join makes the gateway a member among the nodes that the seeds know. It is called before Run.
func (g *Gateway) Join(self membership.Member, seeds []string, peers PeerTransport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	random := rand.New(rand.NewPCG(g.settings.Load().Seed, self.Generation))
	g.fleet = fleet{
		members:   membership.New(g.now(), self, seeds, membership.DefaultSettings(), random),
		transport: peers, wereStarting: true,
	}
}

// peersForSpread picks random members for the spreading of the store's state.
func (g *Gateway) peersForSpread(count int) []string {
	if g.fleet.members == nil || !g.settings.Load().Fleet.PeerCopies {
		return nil
	}
	if count > 1 && g.toldByWatchers(g.now()) {
		// Those that watch have told the region.
		return nil
	}
	return g.fleet.pick(count)
}

func (g *Gateway) sendSpread(sends []spread.Send) {
	for _, send := range sends {
		g.fleet.transport.Send(send.To, send.Message)
	}
}

func (g *Gateway) sendMembership(sends []membership.Send) {
	for _, send := range sends {
		g.fleet.transport.Send(send.To, send.Message)
	}
}

// tickPeers drives what is due among peers until the context ends.
func (g *Gateway) tickPeers(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, peerTick)
		g.tickPeersOnce()
	}
}

func (g *Gateway) tickPeersOnce() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.sendMembership(g.fleet.members.Tick(now))
	g.sendSpread(g.storeCopy.records.Tick(now, g.served(now), g.toldByWatchers(now)))
	g.storeCopy.logStaleness(now)
	g.compareEvidence(now)
	g.reports.core.Forget(clock.Of(now))
	g.noteStarted(now)
	g.noteMembers(now)
}

// noteStarted shares out anew once not many nodes are starting any more.
func (g *Gateway) noteStarted(now time.Duration) {
	if starting := g.fleet.manyStarting(now); starting != g.fleet.wereStarting {
		g.fleet.wereStarting = starting
		g.shareAmongNodes()
	}
}

// noteMembers shares out anew where the members have changed, or this node has joined them.
func (g *Gateway) noteMembers(now time.Duration) {
	f := &g.fleet
	if f.members.Version() == f.version && f.members.Joined(now) == f.joined {
		return
	}
	f.version, f.joined = f.members.Version(), f.members.Joined(now)
	f.nodes = 0
	if f.joined {
		f.nodes = len(f.members.Members())
	}
	g.shareAmongNodes()
	g.log.Members(f.members.AliveCount())
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
	case *message.Evidence:
		g.receiveEvidence(now, m)
	case *message.BackEndReports:
		g.receiveReports(now, m)
	}
}

// Undelivered implements transport.Handler. What is due is said again by itself.
func (g *Gateway) Undelivered(string, message.Message, bool) {}

// Silent implements transport.Handler.
func (g *Gateway) Silent(peer string) { g.log.PeerSilent(peer) }

// Disconnected implements transport.Handler.
func (g *Gateway) Disconnected(string) {}

// Malformed implements transport.Handler.
func (g *Gateway) Malformed(remote string, err error) { g.log.PeerMalformed(remote, err) }
