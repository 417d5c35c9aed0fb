package spread

import (
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/history"
	"stiletrail/internal/message"
)

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
