package gateway

import (
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

const (
	// evidenceHold is how long evidence of a peer waits for the reading of the peer's clock, several round trips between
	// regions.
	evidenceHold = 500 * time.Millisecond
	// maximumHeldEvidence is the largest number of messages that wait.
	maximumHeldEvidence = 64
)

// heldEvidence is evidence of a peer whose clock is being measured. Until then it is not known when it was sent.
type heldEvidence struct {
	from       string
	message    *message.Evidence
	receivedAt time.Duration
}

// receiveEvidence handles the evidence of another node. It decides by the order of crashes and answers at different nodes,
// so it counts from when it was sent and not from its arrival.
func (g *Gateway) receiveEvidence(now time.Duration, from string, m *message.Evidence) {
	received := clock.FromDuration(now)
	if m.SentAt == 0 {
		// The peer is of a release that tells ages only.
		g.applyEvidence(received, received, m)
		return
	}
	if sentAt, known := g.clocks.Earliest(received, from, m.SentAt); known {
		g.applyEvidence(received, sentAt, m)
		return
	}
	if len(g.heldEvidence) >= maximumHeldEvidence {
		g.applyEvidence(received, received, m.WithoutAnswers())
		return
	}
	g.heldEvidence = append(g.heldEvidence, heldEvidence{from: from, message: m, receivedAt: now})
	if request := g.clocks.Request(received, from); request != nil {
		g.fleet.transport.Send(from, request)
	}
}

// applyHeldEvidence applies the evidence of peers whose clocks are known by now, and that which has waited for too long. Of
// the latter answers do not count, because they may be older than they seem.
func (g *Gateway) applyHeldEvidence(now time.Duration) {
	held := g.heldEvidence
	g.heldEvidence = nil
	received := clock.FromDuration(now)
	for _, h := range held {
		if sentAt, known := g.clocks.Earliest(received, h.from, h.message.SentAt); known {
			g.applyEvidence(received, sentAt, h.message)
		} else if now-h.receivedAt >= evidenceHold {
			g.applyEvidence(received, received, h.message.WithoutAnswers())
		} else {
			g.heldEvidence = append(g.heldEvidence, h)
		}
	}
}

// applyEvidence applies evidence that was sent at the given moment, and forwards what is new to this node.
func (g *Gateway) applyEvidence(now, sentAt clock.Ms, m *message.Evidence) {
	g.verdictsChanged(now, g.quarantine.Receive(now, sentAt, m), sourcePeer)
}
