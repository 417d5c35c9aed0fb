package gateway

import (
	"maps"
	"slices"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
	"stiletrail/internal/quarantine"
)

// How what is known of requests that end back ends goes to other nodes. An end costs a message to each of four nodes, which pass it on once: it reaches all
// nodes in about as many steps as the logarithm of their number, and none is left out that its neighbours know. In a small fleet all are told at once.
const (
	// evidenceNext nodes that follow in the region are told; two, since one may be gone and not known to be.
	evidenceNext = 2
	// evidenceEvery is the pause between full accounts to a random node, for what single messages have missed, while something has changed within
	// evidenceNews; later evidenceQuiet. An account has up to 8 KB, a third of a kilobyte a second then, of the 7 that a node may spend on control.
	// Nothing is sent where there is nothing to tell.
	evidenceEvery = clock.Second
	evidenceNews  = 10 * clock.Second
	evidenceQuiet = 30 * clock.Second
	// evidenceRate bounds the messages that a node begins, a second: back ends that end by themselves take many requests with them.
	evidenceRate = 50
)

// Who a verdict is by.
const (
	byOwn   = "own"
	byPeer  = "peer"
	byStore = "store"
)

// changed takes note of what has become of requests, has the store told of a quarantine by this node, and tells other nodes; the lock is held.
func (g *Gateway) changed(now clock.Ms, change quarantine.Change, by string) {
	for _, mark := range change.Judged {
		left, held := g.quarantine.Held(now, mark)
		verdict := quarantine.Clear
		if held {
			verdict = quarantine.Quarantined
		}
		g.log.Judged(mark, verdict, by, left)
		if held && by == byOwn {
			g.quarantineWrites.due(mark, now)
		}
	}
	if len(change.Tell) > 0 {
		g.quarantineWrites.changedAt = now
	}
	g.tellEvidence(now, change.Tell...)
}

// tellEvidence tells other nodes what is known of requests; the lock is held.
func (g *Gateway) tellEvidence(now clock.Ms, marks ...quarantine.Mark) {
	if g.members == nil || len(marks) == 0 || !g.quarantineWrites.mayTell(now) {
		return
	}
	m := g.quarantine.Tell(now, marks...)
	for _, peer := range g.evidencePeers() {
		g.peers.Send(peer, m)
	}
}

// evidencePeers are those that are told of an end: all nodes of a small fleet; in a large one the next ones in the region, so that each node of it is told
// by somebody, a random one there, so that it takes few steps, and one of another region.
func (g *Gateway) evidencePeers() []string {
	if g.members.AliveCount() <= smallFleet {
		return g.members.Pick(smallFleet, membership.Member.Usable)
	}
	self := g.members.Self()
	var region []string
	others := map[string]bool{}
	for _, m := range g.members.Members() {
		switch {
		case !m.Usable():
		case m.Region == self.Region:
			region = append(region, m.Address)
		default:
			others[m.Region] = true
		}
	}
	picked := nextOf(region, self.Address, evidenceNext)
	picked = append(picked, g.members.Pick(1, func(m membership.Member) bool { return m.Usable() && m.Region == self.Region })...)
	if len(others) == 0 {
		return picked
	}
	far := slices.Sorted(maps.Keys(others))[g.quarantineWrites.random.IntN(len(others))]
	return append(picked, g.members.Pick(1, func(m membership.Member) bool { return m.Usable() && m.Region == far })...)
}

// nextOf are up to count addresses that follow one's own in the order of all, the first after the last.
func nextOf(addresses []string, own string, count int) []string {
	slices.Sort(addresses)
	at, _ := slices.BinarySearch(addresses, own)
	var next []string
	for step := 1; step < len(addresses) && len(next) < count; step++ {
		next = append(next, addresses[(at+step)%len(addresses)])
	}
	return next
}

// tellEvidenceTo tells a node all that is known of requests that ended back ends; the lock is held.
func (g *Gateway) tellEvidenceTo(now time.Duration, peer string) {
	if m := g.quarantine.TellAll(clock.Of(now)); m != nil {
		g.peers.Send(peer, m)
	}
}

// compareEvidence tells a random node all that is known, each so often, where there is anything; the lock is held.
func (g *Gateway) compareEvidence(now time.Duration) {
	if !g.quarantineWrites.accountDue(clock.Of(now)) {
		return
	}
	g.quarantine.Forget(clock.Of(now))
	for _, peer := range g.members.Pick(1, membership.Member.Usable) {
		g.tellEvidenceTo(now, peer)
	}
}

// receiveEvidence takes in what another node knows of requests, and passes on what is news; the lock is held.
func (g *Gateway) receiveEvidence(at time.Duration, m *message.Evidence) {
	now := clock.Of(at)
	g.changed(now, g.quarantine.Receive(now, m), byPeer)
}

// takeQuarantine takes in what the store says of a request; the lock is held.
func (g *Gateway) takeQuarantine(at time.Duration, mark quarantine.Mark, record message.StoreRecord) {
	now := clock.Of(at)
	if g.view.RewriteLeft(at) > 0 && g.quarantine.Lifted(mark) {
		g.quarantineWrites.settle(mark, false)
		return
	}
	convicted, err := g.quarantine.Store(now, mark, record.Value)
	if err != nil {
		g.log.Rejected(&Item{Key: record.Key, Revision: record.Revision, Err: err})
		return
	}
	if convicted {
		g.changed(now, quarantine.Change{Judged: []quarantine.Mark{mark}}, byStore)
	}
}

// dropQuarantine takes in that the store says nothing of a request any more; the lock is held.
func (g *Gateway) dropQuarantine(at time.Duration, mark quarantine.Mark) {
	if g.view.RewriteLeft(at) > 0 {
		g.quarantine.Lost(mark)
		return
	}
	if now := clock.Of(at); g.quarantine.Unstore(now, mark) {
		g.changed(now, quarantine.Change{Judged: []quarantine.Mark{mark}}, byStore)
	}
}
