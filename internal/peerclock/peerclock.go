// Package peerclock relates the clocks of other nodes to this node's own clock. A peer dates an event by its clock, and
// this node then knows a moment on its own clock before which the event did not happen, however long the message was
// under way. An age in the message would not say that: it is right when the message is sent, and too small when it is
// read.
//
// The node asks a peer for the reading of its clock. The answer was given after the request was sent, so the peer's
// clock showed that reading no earlier than then. This is how far the relation goes: it is too early by at most the time
// of one round trip, and never too late. It holds for all later readings of the same process, less what two clocks
// drift apart.
//
// The package owns what is known of the clocks of peers. It does no I/O, reads no clock and has no lock. The caller
// passes in the time and sends the returned messages.
package peerclock

import (
	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

const (
	// driftDivisor: two clocks drift apart by at most one part in so many, 200 in a million. Quartz clocks differ by less
	// than half of that.
	driftDivisor = 5000
	// measureInterval is the time after which the clock of a peer is measured again. Within it the drift takes 12 ms.
	measureInterval = 60 * clock.Second
	// answerTimeout is how long an answer is awaited before a peer is asked again.
	answerTimeout = 2 * clock.Second
	// maximumAge is the largest age of an event that a peer dates. A reading that lies further back belongs to another
	// process than the one whose clock was measured.
	maximumAge = 120 * clock.Second
	// retention is how long a peer is remembered that is not measured any more.
	retention = 600 * clock.Second
)

// Core is what one node knows of the clocks of its peers.
type Core struct {
	// origin is the reading of the node's clock at its moment 0.
	origin uint64
	peers  map[string]*peer
}

// peer is what is known of the clock of one peer.
type peer struct {
	// measured is set if the peer's clock showed the reading at the moment measuredAt of this node's clock, or later.
	measured   bool
	measuredAt clock.Ms
	reading    uint64
	// requestedAt is when the peer was last asked for a reading, if asked is set.
	asked       bool
	requestedAt clock.Ms
}

// New returns a Core. The origin is what the node's own clock shows to peers at its moment 0. It must be random, so that
// peers do not take the readings of this process for those of an earlier one at the same address.
func New(origin uint64) *Core { return &Core{origin: origin, peers: map[string]*peer{}} }

// Reading returns what this node's clock shows to peers at a moment.
func (c *Core) Reading(moment clock.Ms) uint64 { return c.origin + uint64(moment) }

// Moment returns the moment at which this node's clock showed a reading. It returns false if that cannot be a reading of this
// process, or is too old.
func (c *Core) Moment(now clock.Ms, reading uint64) (moment clock.Ms, own bool) {
	moment = clock.Ms(reading - c.origin)
	return moment, moment >= 0 && moment <= now && now-moment <= maximumAge
}

// Earliest returns the earliest moment at which the clock of a peer can have shown a reading. It returns false if the
// clock of the process that gave the reading has not been measured.
func (c *Core) Earliest(now clock.Ms, from string, reading uint64) (moment clock.Ms, known bool) {
	p := c.peers[from]
	if p == nil || !p.measured {
		return 0, false
	}
	moment = p.earliest(now, reading)
	if moment > now || now-moment > maximumAge {
		// Another process runs at the peer's address now, with another clock.
		p.measured = false
		return 0, false
	}
	return moment, true
}

func (p *peer) earliest(now clock.Ms, reading uint64) clock.Ms {
	drift := (now - p.measuredAt) / driftDivisor
	return p.measuredAt + clock.Ms(reading-p.reading) - drift - 1
}

// Request returns a request for the reading of a peer's clock, or nil if none is due.
func (c *Core) Request(now clock.Ms, to string) *message.ClockRequest {
	p := c.peers[to]
	if p == nil {
		p = &peer{}
		c.peers[to] = p
	}
	if p.measured && now-p.measuredAt < measureInterval || p.asked && now-p.requestedAt < answerTimeout {
		return nil
	}
	p.asked, p.requestedAt = true, now
	return &message.ClockRequest{SentAt: c.Reading(now)}
}

// Answer returns the answer to the request of a peer.
func (c *Core) Answer(now clock.Ms, m *message.ClockRequest) *message.ClockAnswer {
	return &message.ClockAnswer{RequestSentAt: m.SentAt, At: c.Reading(now)}
}

// Receive handles the answer of a peer.
func (c *Core) Receive(now clock.Ms, from string, m *message.ClockAnswer) {
	p := c.peers[from]
	requestedAt, own := c.Moment(now, m.RequestSentAt)
	if p == nil || !own {
		// The answer belongs to a request of an earlier process of this node, or to none.
		return
	}
	if known, measured := c.Earliest(now, from, m.At); measured && known >= requestedAt {
		// What is known is closer than this answer, which took longer.
		return
	}
	p.measured, p.measuredAt, p.reading = true, requestedAt, m.At
}

// Forget discards what is known of peers that have not been asked for long.
func (c *Core) Forget(now clock.Ms) {
	for address, p := range c.peers {
		if now-p.requestedAt > retention {
			delete(c.peers, address)
		}
	}
}
