package spread

import (
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/history"
	"stiletrail/internal/message"
)

// undatedConfirmation is a confirmation of a peer whose clock has not been measured yet.
type undatedConfirmation struct {
	revision   history.Revision
	at         uint64
	receivedAt time.Duration
}

// receiveConfirmation handles the peer's report of when the store held no change beyond a revision. It returns a request to
// the peer if that is needed to date such reports.
func (c *Core) receiveConfirmation(now time.Duration, from string, revision history.Revision, m message.Confirmation) []OutgoingMessage {
	if !m.Confirmed || revision.Unknown() {
		return nil
	}
	received := clock.FromDuration(now)
	latest := received - min(clock.Ms(m.AgeMs), maximumAge)
	if m.At == 0 {
		// The peer is of a release that tells ages only.
		c.recordPeerConfirmation(now, confirmation{known: true, revision: revision, at: latest, by: from})
		return nil
	}
	if at, known := c.clocks.Earliest(received, from, m.At); known {
		c.recordPeerConfirmation(now, confirmation{known: true, revision: revision, at: at, by: from})
	} else {
		c.undated[from] = undatedConfirmation{revision: revision, at: m.At, receivedAt: now}
	}
	if c.confirmed.known && latest <= c.confirmed.at {
		// Even if it was not late at all, the report says nothing new.
		return nil
	}
	if request := c.clocks.Request(received, from); request != nil {
		return []OutgoingMessage{{from, request}}
	}
	return nil
}

// ClockMeasured must be called when the clock of a peer has been measured. A report that the peer has made before can now be
// dated.
func (c *Core) ClockMeasured(now time.Duration, from string) {
	report, waiting := c.undated[from]
	if !waiting {
		return
	}
	delete(c.undated, from)
	if at, known := c.clocks.Earliest(clock.FromDuration(now), from, report.at); known {
		c.recordPeerConfirmation(now, confirmation{known: true, revision: report.revision, at: at, by: from})
	}
}

// forgetUndated discards reports of peers whose clocks could not be measured.
func (c *Core) forgetUndated(now time.Duration) {
	for peer, report := range c.undated {
		if now-report.receivedAt > maximumAge.Duration() {
			delete(c.undated, peer)
		}
	}
}

// recordPeerConfirmation records a peer's confirmation. It also confirms this node's copy once that has reached the
// revision, since the copy then contains everything that the peer's contained.
func (c *Core) recordPeerConfirmation(now time.Duration, reported confirmation) {
	if !c.peerConfirmationReceived || reported.at > c.latestPeerConfirmation {
		c.peerConfirmationReceived, c.latestPeerConfirmation = true, reported.at
	}
	if !c.peerConfirmed.known || reported.at > c.peerConfirmed.at {
		c.peerConfirmed = reported
	}
	c.adoptPeerConfirmation(now)
}

// adoptPeerConfirmation confirms this node's copy by the peer's confirmation once the copy has reached the peer's
// revision.
func (c *Core) adoptPeerConfirmation(now time.Duration) {
	if !c.peerConfirmed.known || c.peerConfirmed.revision.After(c.revision) {
		return
	}
	c.confirm(now, c.peerConfirmed)
	c.peerConfirmed = confirmation{}
}
