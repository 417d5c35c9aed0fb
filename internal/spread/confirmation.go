package spread

import (
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/history"
	"stiletrail/internal/message"
)

// Store is the Copy.ConfirmedBy of a copy that the store itself has confirmed.
const Store = "store"

// Copy describes what this node's copy of the store is known to contain.
type Copy struct {
	// Revision is the revision up to which the node knows all changes.
	Revision history.Revision
	// ConfirmedBy is who last confirmed that the copy was complete: Store, or the address of a peer. It is empty if
	// nobody has.
	ConfirmedBy string
	// Behind is for how long the node has known of a later revision, or 0 if it knows of none.
	Behind clock.Ms
}

// Copy returns a description of the copy.
func (c *Core) Copy(now time.Duration) Copy {
	described := Copy{Revision: c.revision, ConfirmedBy: c.confirmed.by}
	if c.latestHeard.After(c.revision) {
		described.Behind = clock.FromDuration(now - c.behindSince)
	}
	return described
}

// hear records that a peer knows all changes up to a revision.
func (c *Core) hear(now time.Duration, revision history.Revision) {
	if !revision.After(c.revision) {
		return
	}
	if !c.latestHeard.After(c.revision) {
		c.behindSince = now
	}
	c.latestHeard = history.Latest(c.latestHeard, revision)
}

// confirmation is a moment at which the store held no change beyond a revision.
type confirmation struct {
	known    bool
	revision history.Revision
	at       clock.Ms
	// by is who has confirmed it: Store, or the address of a peer.
	by string
}

// Confirm records that the store has returned all changes up to the node's revision in an answer that it gave no earlier
// than the moment asOf.
func (c *Core) Confirm(now, asOf time.Duration) {
	c.confirm(now, confirmation{known: true, revision: c.revision, at: clock.FromDuration(asOf), by: Store})
}

// confirm records a confirmation of a revision that the copy has reached, unless a later one is known.
func (c *Core) confirm(now time.Duration, latest confirmation) {
	if c.confirmed.known && latest.at <= c.confirmed.at {
		return
	}
	if !c.confirmed.known || latest.at-c.confirmed.at >= c.settings.EntryLifetime {
		c.reconfirmedAt = clock.FromDuration(now)
	}
	c.confirmed = latest
}

// DeletionsReliable reports whether a missing entry proves that its back end is leaving. It does not if all nodes
// may recently have been unable to reach the store for so long that entries of healthy back ends expired. A failed
// call of this node alone does not matter: any node that reaches the store confirms the copies of all nodes.
func (c *Core) DeletionsReliable(now time.Duration) bool {
	at := clock.FromDuration(now)
	return c.confirmed.known && at-c.confirmed.at < c.settings.EntryLifetime && at-c.reconfirmedAt >= c.settings.RewriteWindow &&
		c.RewriteRemaining(now) == 0
}

// ConfirmedWithin reports whether the copy is known to have been complete at some moment within the given time.
func (c *Core) ConfirmedWithin(now time.Duration, within clock.Ms) bool {
	return c.confirmed.known && clock.FromDuration(now)-c.confirmed.at <= within
}

// CopyAge returns the time since the copy was last known to be complete. It returns false if the copy never was.
func (c *Core) CopyAge(now time.Duration) (age clock.Ms, known bool) {
	return max(0, clock.FromDuration(now)-c.confirmed.at), c.confirmed.known
}

// PeersConfirmedWithin reports whether, by its own report, the copy of at least one peer was complete at some
// moment within the given time.
func (c *Core) PeersConfirmedWithin(now time.Duration, within clock.Ms) bool {
	return c.peerConfirmationReceived && clock.FromDuration(now)-c.latestPeerConfirmation <= within
}

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

// maximumAge caps reported ages. An older confirmation is not reported.
const maximumAge = 60 * clock.Second

// confirmation returns the confirmation that is sent to peers.
func (c *Core) confirmation(now time.Duration) message.Confirmation {
	if !c.confirmed.known {
		return message.Confirmation{}
	}
	age := max(0, clock.FromDuration(now)-c.confirmed.at)
	return message.Confirmation{Confirmed: age < maximumAge, AgeMs: uint32(min(age, maximumAge)), At: c.clocks.Reading(c.confirmed.at)}
}

// Announce returns messages that send peers the changes after a revision that the store has just returned. If there
// are no changes, it sends them a digest, which confirms their copies.
func (c *Core) Announce(now time.Duration, peers []string, since history.Revision, records []message.StoreRecord) []OutgoingMessage {
	var m message.Message = c.digest(now)
	if len(records) > 0 {
		m = &message.StoreRecords{
			Since: since, Revision: c.revision, Records: records, Confirmation: c.confirmation(now),
		}
	}
	sends := make([]OutgoingMessage, 0, len(peers))
	for _, peer := range peers {
		sends = append(sends, OutgoingMessage{peer, m})
	}
	return sends
}
