package gateway

import (
	"math/rand/v2"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
	"stiletrail/internal/quarantine"
)

// How what is known of requests that end back ends goes to other nodes. An end costs a message to each of four nodes, which pass
// it on once: it reaches all nodes in about as many steps as the logarithm of their number, and none is left out that its
// neighbours know. In a small fleet all are told at once.
const (
	// evidenceNext nodes that follow in the region are told; two, since one may be gone and not known to be.
	evidenceNext = 2
	// evidenceEvery is the pause between full accounts to a random node, for what single messages have missed, while something has
	// changed within evidenceNews; later evidenceQuiet. Nothing is sent where there is nothing to tell.
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

// evidenceSchedule is when other nodes are told of requests that end back ends. Guarded by Gateway.mu.
type evidenceSchedule struct {
	random *rand.Rand
	// sent messages were begun since a moment, no more than a second before the last one.
	sent      int
	sentSince clock.Ms
	// accountedAt is when the last full account was given, changedAt when there was news last.
	accountedAt clock.Ms
	changedAt   clock.Ms
}

// mayTell reports whether another message may begin in this second, and counts it.
func (s *evidenceSchedule) mayTell(now clock.Ms) bool {
	if now-s.sentSince >= clock.Second {
		s.sent, s.sentSince = 0, now
	}
	s.sent++
	return s.sent <= evidenceRate
}

// accountDue reports whether another full account is due, and notes that it is given.
func (s *evidenceSchedule) accountDue(now clock.Ms) bool {
	pause := evidenceEvery
	if now-s.changedAt > evidenceNews {
		pause = evidenceQuiet
	}
	if now-s.accountedAt < pause {
		return false
	}
	s.accountedAt = now
	return true
}

// receivers are those that are told of an end: all nodes of a small fleet; in a large one the next ones in the region, so that
// each node of it is told by somebody, a random one there, so that it takes few steps, and one of another region.
func (s *evidenceSchedule) receivers(f *fleet) []string {
	if f.members.AliveCount() <= smallFleet {
		return f.members.Pick(smallFleet, membership.Member.Usable)
	}
	self := f.members.Self()
	near, _ := f.usable()
	picked := successors(near, self.Address, evidenceNext)
	picked = append(picked, f.pickIn(self.Region)...)
	regions := f.otherRegions()
	if len(regions) == 0 {
		return picked
	}
	return append(picked, f.pickIn(regions[s.random.IntN(len(regions))])...)
}

// verdictsChanged takes note of what has become of requests, has the store told of a quarantine by this node, and tells other
// nodes.
func (g *Gateway) verdictsChanged(now clock.Ms, change quarantine.Change, by string) {
	for _, mark := range change.Judged {
		left, held := g.quarantine.Held(now, mark)
		verdict := quarantine.Clear
		if held {
			verdict = quarantine.Quarantined
		}
		g.log.Judged(mark, verdict, by, left)
		if held && by == byOwn {
			g.quarantineWrites.schedule(mark, now)
		}
	}
	if len(change.Tell) > 0 {
		g.evidence.changedAt = now
	}
	g.tellEvidence(now, change.Tell...)
}

// tellEvidence tells other nodes what is known of requests.
func (g *Gateway) tellEvidence(now clock.Ms, marks ...quarantine.Mark) {
	if g.fleet.members == nil || len(marks) == 0 || !g.evidence.mayTell(now) {
		return
	}
	m := g.quarantine.Tell(now, marks...)
	for _, peer := range g.evidence.receivers(&g.fleet) {
		g.fleet.transport.Send(peer, m)
	}
}

// tellEvidenceTo tells a node all that is known of requests that ended back ends.
func (g *Gateway) tellEvidenceTo(now time.Duration, peer string) {
	if m := g.quarantine.TellAll(clock.Of(now)); m != nil {
		g.fleet.transport.Send(peer, m)
	}
}

// compareEvidence tells a random node all that is known, each so often, where there is anything.
func (g *Gateway) compareEvidence(now time.Duration) {
	if !g.evidence.accountDue(clock.Of(now)) {
		return
	}
	g.quarantine.Forget(clock.Of(now))
	for _, peer := range g.fleet.members.Pick(1, membership.Member.Usable) {
		g.tellEvidenceTo(now, peer)
	}
}

// receiveEvidence takes in what another node knows of requests, and passes on what is news.
func (g *Gateway) receiveEvidence(at time.Duration, m *message.Evidence) {
	now := clock.Of(at)
	g.verdictsChanged(now, g.quarantine.Receive(now, m), byPeer)
}

// takeQuarantine takes in what the store says of a request.
func (g *Gateway) takeQuarantine(at time.Duration, mark quarantine.Mark, record message.StoreRecord) {
	now := clock.Of(at)
	if g.storeCopy.records.RewriteRemaining(at) > 0 && g.quarantine.Lifted(mark) {
		g.quarantineWrites.settle(mark, false)
		return
	}
	convicted, err := g.quarantine.Store(now, mark, record.Value)
	if err != nil {
		g.log.Rejected(&Item{Key: record.Key, Revision: record.Revision, Err: err})
		return
	}
	if convicted {
		g.verdictsChanged(now, quarantine.Change{Judged: []quarantine.Mark{mark}}, byStore)
	}
}

// dropQuarantine takes in that the store says nothing of a request any more.
func (g *Gateway) dropQuarantine(at time.Duration, mark quarantine.Mark) {
	if g.storeCopy.records.RewriteRemaining(at) > 0 {
		g.quarantine.Lost(mark)
		return
	}
	if now := clock.Of(at); g.quarantine.Unstore(now, mark) {
		g.verdictsChanged(now, quarantine.Change{Judged: []quarantine.Mark{mark}}, byStore)
	}
}
