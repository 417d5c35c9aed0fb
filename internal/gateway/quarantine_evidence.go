package gateway

import (
	"math/rand/v2"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
	"stiletrail/internal/quarantine"
)

// How evidence on requests that crash back ends spreads to other nodes. In a large fleet the evidence on a crash is sent
// to four nodes, and each node that gets it forwards it once. The number of hops to reach all nodes grows with the
// logarithm of their number. No node is left out, because the nodes before it in the sorted order of its region send to
// it. In a small fleet the evidence is sent to all nodes at once.
const (
	// evidenceSuccessors is the number of following nodes in the region that get the evidence. It is two, because one
	// of them may be down without this node knowing.
	evidenceSuccessors = 2
	// allEvidenceInterval is the pause between two messages with all evidence to a random node, which make up for lost
	// single messages. It holds while there was new evidence within recentEvidencePeriod; after that,
	// quietEvidenceInterval holds. Nothing is sent if there is no evidence.
	allEvidenceInterval   = clock.Second
	recentEvidencePeriod  = 10 * clock.Second
	quietEvidenceInterval = 30 * clock.Second
	// evidenceMessagesPerSecond limits the messages that a node starts per second. A back end that crashes for its own
	// reasons ends many requests at once, and each of them is evidence.
	evidenceMessagesPerSecond = 50
)

// Source of a verdict: this node, another node, or the store.
const (
	sourceOwn   = "own"
	sourcePeer  = "peer"
	sourceStore = "store"
)

// evidenceSchedule decides when and to which nodes evidence is sent. Gateway.mu guards it.
type evidenceSchedule struct {
	random *rand.Rand
	// sent is the number of messages started since windowStart. A window lasts a second.
	sent        int
	windowStart clock.Ms
	// allSentAt is when all evidence was last sent, changedAt when there was last new evidence.
	allSentAt clock.Ms
	changedAt clock.Ms
}

// allowMessage reports whether another message may be started in this second, and counts it.
func (s *evidenceSchedule) allowMessage(now clock.Ms) bool {
	if now-s.windowStart >= clock.Second {
		s.sent, s.windowStart = 0, now
	}
	s.sent++
	return s.sent <= evidenceMessagesPerSecond
}

// allEvidenceDue reports whether all evidence must be sent again, and if so records that it is sent now.
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

// receivers returns the nodes that get the evidence on a crash. In a small fleet those are all nodes. In a large one they
// are the next nodes in the sorted order of the region, so that each node there has somebody who tells it, a random node of
// the region, so that few hops are needed, and one node of another region.
func (s *evidenceSchedule) receivers(f *fleet) []string {
	if f.members.AliveCount() <= smallFleetSize {
		return f.members.Pick(smallFleetSize, membership.Member.Usable)
	}
	self := f.members.Self()
	sameRegion, _ := f.usableAddresses()
	picked := successors(sameRegion, self.Address, evidenceSuccessors)
	picked = append(picked, f.pickInRegion(self.Region)...)
	regions := f.otherRegions()
	if len(regions) == 0 {
		return picked
	}
	return append(picked, f.pickInRegion(regions[s.random.IntN(len(regions))])...)
}

// verdictsChanged logs changed verdicts, schedules the write to the store if this node has imposed a quarantine, and
// shares the evidence with other nodes.
func (g *Gateway) verdictsChanged(now clock.Ms, change quarantine.Change, source string) {
	for _, fingerprint := range change.VerdictChanged {
		remaining, quarantined := g.quarantine.RemainingOf(now, fingerprint)
		verdict := quarantine.Clear
		if quarantined {
			verdict = quarantine.Quarantined
		}
		g.log.VerdictChanged(fingerprint, verdict, source, remaining)
		if quarantined && source == sourceOwn {
			g.quarantineWrites.schedule(fingerprint, now)
		}
	}
	if len(change.Share) > 0 {
		g.evidence.changedAt = now
	}
	g.shareEvidence(now, change.Share...)
}

// shareEvidence sends what is known of the given requests to other nodes.
func (g *Gateway) shareEvidence(now clock.Ms, fingerprints ...quarantine.Fingerprint) {
	if g.fleet.members == nil || len(fingerprints) == 0 || !g.evidence.allowMessage(now) {
		return
	}
	m := g.quarantine.EvidenceOf(now, fingerprints...)
	m.SentAt = g.clocks.Reading(now)
	for _, peer := range g.evidence.receivers(&g.fleet) {
		g.fleet.transport.Send(peer, m)
	}
}

// sendAllEvidence sends everything that is known of requests that crash back ends to one node.
func (g *Gateway) sendAllEvidence(now time.Duration, peer string) {
	if m := g.quarantine.AllEvidence(clock.FromDuration(now)); m != nil {
		m.SentAt = g.clocks.Reading(clock.FromDuration(now))
		g.fleet.transport.Send(peer, m)
	}
}

// syncEvidence sends all evidence to a random node when that is due.
func (g *Gateway) syncEvidence(now time.Duration) {
	if !g.evidence.allEvidenceDue(clock.FromDuration(now)) {
		return
	}
	g.quarantine.Forget(clock.FromDuration(now))
	for _, peer := range g.fleet.members.Pick(1, membership.Member.Usable) {
		g.sendAllEvidence(now, peer)
	}
}

// applyStoredQuarantine applies a quarantine that is recorded in the store.
func (g *Gateway) applyStoredQuarantine(at time.Duration, fingerprint quarantine.Fingerprint, record message.StoreRecord) {
	now := clock.FromDuration(at)
	if g.storeCopy.records.RewriteRemaining(at) > 0 && g.quarantine.Lifted(fingerprint) {
		g.quarantineWrites.scheduleUpdate(fingerprint, false)
		return
	}
	quarantined, err := g.quarantine.ApplyStored(now, fingerprint, record.Value)
	if err != nil {
		g.log.ItemRejected(&Item{Key: record.Key, Revision: record.Revision, Err: err})
		return
	}
	if quarantined {
		g.verdictsChanged(now, quarantine.Change{VerdictChanged: []quarantine.Fingerprint{fingerprint}}, sourceStore)
	}
}

// applyQuarantineDeletion handles that the store does not list a quarantine any more.
func (g *Gateway) applyQuarantineDeletion(at time.Duration, fingerprint quarantine.Fingerprint) {
	if g.storeCopy.records.RewriteRemaining(at) > 0 {
		g.quarantine.RecordStoreLoss(fingerprint)
		return
	}
	if now := clock.FromDuration(at); g.quarantine.RemoveStored(now, fingerprint) {
		g.verdictsChanged(now, quarantine.Change{VerdictChanged: []quarantine.Fingerprint{fingerprint}}, sourceStore)
	}
}
