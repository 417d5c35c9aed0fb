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
	// evidenceSuccessors nodes that follow in the region are told; two, since one may be gone and not known to be.
	evidenceSuccessors = 2
	// allEvidenceInterval is the pause between full accounts to a random node, for what single messages have missed, while something has
	// changed within evidenceNews; later evidenceQuiet. Nothing is sent where there is nothing to tell.
	allEvidenceInterval   = clock.Second
	recentEvidencePeriod  = 10 * clock.Second
	quietEvidenceInterval = 30 * clock.Second
	// evidenceMessagesPerSecond bounds the messages that a node begins, a second: back ends that end by themselves take many requests with them.
	evidenceMessagesPerSecond = 50
)

// Who a verdict is by.
const (
	sourceOwn   = "own"
	sourcePeer  = "peer"
	sourceStore = "store"
)

// evidenceSchedule is when other nodes are told of requests that end back ends. Guarded by Gateway.mu.
type evidenceSchedule struct {
	random *rand.Rand
	// sent messages were begun since a moment, no more than a second before the last one.
	sent        int
	windowStart clock.Ms
	// allSentAt is when the last full account was given, changedAt when there was news last.
	allSentAt clock.Ms
	changedAt clock.Ms
}

// allowMessage reports whether another message may begin in this second, and counts it.
func (s *evidenceSchedule) allowMessage(now clock.Ms) bool {
	if now-s.windowStart >= clock.Second {
		s.sent, s.windowStart = 0, now
	}
	s.sent++
	return s.sent <= evidenceMessagesPerSecond
}

// allEvidenceDue reports whether another full account is due, and notes that it is given.
func (s *evidenceSchedule) allEvidenceDue(now clock.Ms) bool {
	pause := allEvidenceInterval
	if now-s.changedAt > recentEvidencePeriod {
		pause = quietEvidenceInterval
	}
	if now-s.allSentAt < pause {
		return false
	}
	s.allSentAt = now
	return true
}

// receivers are those that are told of an end: all nodes of a small fleet; in a large one the next ones in the region, so that
// each node of it is told by somebody, a random one there, so that it takes few steps, and one of another region.
func (s *evidenceSchedule) receivers(f *fleet) []string {
	if f.members.AliveCount() <= smallFleetSize {
		return f.members.Pick(smallFleetSize, membership.Member.Usable)
	}
	self := f.members.Self()
	near, _ := f.usableAddresses()
	picked := successors(near, self.Address, evidenceSuccessors)
	picked = append(picked, f.pickInRegion(self.Region)...)
	regions := f.otherRegions()
	if len(regions) == 0 {
		return picked
	}
	return append(picked, f.pickInRegion(regions[s.random.IntN(len(regions))])...)
}

// verdictsChanged takes note of what has become of requests, has the store told of a quarantine by this node, and tells other
// nodes.
func (g *Gateway) verdictsChanged(now clock.Ms, change quarantine.Change, by string) {
	for _, mark := range change.VerdictChanged {
		left, held := g.quarantine.RemainingOf(now, mark)
		verdict := quarantine.Clear
		if held {
			verdict = quarantine.Quarantined
		}
		g.log.VerdictChanged(mark, verdict, by, left)
		if held && by == sourceOwn {
			g.quarantineWrites.schedule(mark, now)
		}
	}
	if len(change.Share) > 0 {
		g.evidence.changedAt = now
	}
	g.shareEvidence(now, change.Share...)
}

// shareEvidence tells other nodes what is known of requests.
func (g *Gateway) shareEvidence(now clock.Ms, marks ...quarantine.Fingerprint) {
	if g.fleet.members == nil || len(marks) == 0 || !g.evidence.allowMessage(now) {
		return
	}
	m := g.quarantine.EvidenceOf(now, marks...)
	for _, peer := range g.evidence.receivers(&g.fleet) {
		g.fleet.transport.Send(peer, m)
	}
}

// sendAllEvidence tells a node all that is known of requests that ended back ends.
func (g *Gateway) sendAllEvidence(now time.Duration, peer string) {
	if m := g.quarantine.AllEvidence(clock.FromDuration(now)); m != nil {
		g.fleet.transport.Send(peer, m)
	}
}

// syncEvidence tells a random node all that is known, each so often, where there is anything.
func (g *Gateway) syncEvidence(now time.Duration) {
	if !g.evidence.allEvidenceDue(clock.FromDuration(now)) {
		return
	}
	g.quarantine.Forget(clock.FromDuration(now))
	for _, peer := range g.fleet.members.Pick(1, membership.Member.Usable) {
		g.sendAllEvidence(now, peer)
	}
}

// receiveEvidence takes in what another node knows of requests, and passes on what is news.
func (g *Gateway) receiveEvidence(at time.Duration, m *message.Evidence) {
	now := clock.FromDuration(at)
	g.verdictsChanged(now, g.quarantine.Receive(now, m), sourcePeer)
}

// applyStoredQuarantine takes in what the store says of a request.
func (g *Gateway) applyStoredQuarantine(at time.Duration, mark quarantine.Fingerprint, record message.StoreRecord) {
	now := clock.FromDuration(at)
	if g.storeCopy.records.RewriteRemaining(at) > 0 && g.quarantine.Lifted(mark) {
		g.quarantineWrites.scheduleUpdate(mark, false)
		return
	}
	convicted, err := g.quarantine.ApplyStored(now, mark, record.Value)
	if err != nil {
		g.log.ItemRejected(&Item{Key: record.Key, Revision: record.Revision, Err: err})
		return
	}
	if convicted {
		g.verdictsChanged(now, quarantine.Change{VerdictChanged: []quarantine.Fingerprint{mark}}, sourceStore)
	}
}

// applyQuarantineDeletion takes in that the store says nothing of a request any more.
func (g *Gateway) applyQuarantineDeletion(at time.Duration, mark quarantine.Fingerprint) {
	if g.storeCopy.records.RewriteRemaining(at) > 0 {
		g.quarantine.RecordStoreLoss(mark)
		return
	}
	if now := clock.FromDuration(at); g.quarantine.RemoveStored(now, mark) {
		g.verdictsChanged(now, quarantine.Change{VerdictChanged: []quarantine.Fingerprint{mark}}, sourceStore)
	}
}
