package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
	"stiletrail/internal/peerclock"
)

// evidencePeer is a node of a test that tells a gateway of requests that crash back ends.
type evidencePeer struct {
	network   *network
	startedAt time.Time
	clock     *peerclock.Core
}

const evidencePeerAddress = "peer"

func newEvidencePeer(n *network) *evidencePeer {
	p := &evidencePeer{network: n, startedAt: time.Now(), clock: peerclock.New(1 << 40)}
	n.attach(evidencePeerAddress, p)
	return p
}

func (p *evidencePeer) now() clock.Ms { return clock.FromDuration(time.Since(p.startedAt)) }

// Message implements receiver. The peer answers requests for its clock.
func (p *evidencePeer) Message(from string, m message.Message) {
	if request, ok := m.(*message.ClockRequest); ok {
		peerTransport{p.network, evidencePeerAddress}.Send(from, p.clock.Answer(p.now(), request))
	}
}

// tell sends evidence of one request.
func (p *evidencePeer) tell(to string, evidence message.RequestEvidence) {
	m := &message.Evidence{Requests: []message.RequestEvidence{evidence}, SentAt: p.clock.Reading(p.now())}
	peerTransport{p.network, evidencePeerAddress}.Send(to, m)
}

// crashesAgo returns executions that crashed a back end each, one after the other; the last one has just ended.
func crashesAgo(count int) (crashes []message.Crash) {
	for i := range count {
		ago := uint32(100 * (count - 1 - i))
		crashes = append(crashes, message.Crash{Service: "s0", BackEnd: fmt.Sprint("back-end-", i), StartedAgoMs: ago + 50, CrashedAgoMs: ago})
	}
	return crashes
}

// TestLateAnswerDoesNotEndQuarantine guards against quarantines that end because of an answer before them: evidence of the
// answer that was seconds late counted from its arrival.
func TestLateAnswerDoesNotEndQuarantine(t *testing.T) {
	for name, lateness := range map[string]time.Duration{"in time": 0, "late": 4 * time.Second} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 1, func(t *testing.T, c *cluster) {
				peer, fingerprint := newEvidencePeer(c.network), [16]byte{1}
				c.network.delayMessages(func(string, string) time.Duration { return lateness })
				peer.tell(address(0), message.RequestEvidence{Fingerprint: fingerprint, Answered: true, Crashes: crashesAgo(1)})
				c.network.delayMessages(nil)
				time.Sleep(time.Second)
				peer.tell(address(0), message.RequestEvidence{Fingerprint: fingerprint, Crashes: crashesAgo(4)[1:]})
				time.Sleep(time.Second)
				before := c.gateways[0].Status().Quarantined
				time.Sleep(5 * time.Second)
				if after := c.gateways[0].Status().Quarantined; before != 1 || after != 1 {
					t.Errorf("%d requests are quarantined after three crashes in a row, and %d after the evidence of an answer before them; want 1 and 1", before, after)
				}
			})
		})
	}
}

// TestEvidenceOfSilentClock checks that crashes count although the clock of the peer that tells of them cannot be read.
func TestEvidenceOfSilentClock(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, c *cluster) {
		peer := newEvidencePeer(c.network)
		c.network.partition(func(_, to string) bool { return to == evidencePeerAddress })
		peer.tell(address(0), message.RequestEvidence{Fingerprint: [16]byte{1}, Crashes: crashesAgo(3)})
		time.Sleep(time.Second)
		if quarantined := c.gateways[0].Status().Quarantined; quarantined != 1 {
			t.Errorf("%d requests are quarantined a second after three crashes in a row, want 1", quarantined)
		}
	})
}
