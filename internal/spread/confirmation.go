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
}

// Confirm takes in that the store itself has just told all changes up to the revision that is known.
func (c *Core) Confirm(now time.Duration) {
	c.confirm(now, confirmation{known: true, revision: c.revision, at: clock.FromDuration(now)})
}

func (c *Core) confirm(now time.Duration, latest confirmation) {
	if !c.confirmed.known || latest.at-c.confirmed.at >= c.settings.EntryLifetime {
		c.reconfirmedAt = clock.FromDuration(now)
	}
	c.confirmed = latest
}

// DeletionsReliable reports whether an entry that has gone says that its back end leaves. It does unless the store may have been away
// from all for so long, a short while ago, that entries of sound back ends have lapsed. That a call of this node failed says
// nothing of that: the copies of all nodes are confirmed by whoever reaches the store.
func (c *Core) DeletionsReliable(now time.Duration) bool {
	at := clock.FromDuration(now)
	return c.confirmed.known && at-c.confirmed.at < c.settings.EntryLifetime && at-c.reconfirmedAt >= c.settings.RewriteWindow &&
		c.RewriteRemaining(now) == 0
}

// ConfirmedWithin reports whether the copy was complete at some moment within the given time.
func (c *Core) ConfirmedWithin(now time.Duration, within clock.Ms) bool {
	return c.confirmed.known && clock.FromDuration(now)-c.confirmed.at <= within
}

// CopyAge is how long ago the copy was last known to be complete; false where it never was.
func (c *Core) CopyAge(now time.Duration) (age clock.Ms, known bool) {
	return max(0, clock.FromDuration(now)-c.confirmed.at), c.confirmed.known
}

// PeersConfirmedWithin reports whether a peer's copy was complete at some moment within the given time, as that peer has said.
func (c *Core) PeersConfirmedWithin(now time.Duration, within clock.Ms) bool {
	return c.peerConfirmationReceived && clock.FromDuration(now)-c.latestPeerConfirmation <= within
}

// receiveConfirmation takes in what a peer says of when the store held nothing beyond a revision. It tells of the own copy once
// that has the revision, since the own copy then has all that the peer's had.
func (c *Core) receiveConfirmation(now time.Duration, revision history.Revision, m message.Confirmation) {
	if !m.Confirmed || revision.Unknown() {
		return
	}
	at := clock.FromDuration(now) - min(clock.Ms(m.AgeMs), maximumAge)
	if !c.peerConfirmationReceived || at > c.latestPeerConfirmation {
		c.peerConfirmationReceived, c.latestPeerConfirmation = true, at
	}
	if !c.peerConfirmed.known || at > c.peerConfirmed.at {
		c.peerConfirmed = confirmation{known: true, revision: revision, at: at}
	}
	c.adoptPeerConfirmation(now)
}

// adoptPeerConfirmation takes a peer's confirmation over once the own copy has its revision.
func (c *Core) adoptPeerConfirmation(now time.Duration) {
	if !c.peerConfirmed.known || c.peerConfirmed.revision.After(c.revision) {
		return
	}
	if !c.confirmed.known || c.peerConfirmed.at > c.confirmed.at {
		c.confirm(now, c.peerConfirmed)
	}
	c.peerConfirmed = confirmation{}
}

// maximumAge bounds what is said of ages; a confirmation that is older is none.
const maximumAge = 60 * clock.Second

// confirmation gives what others are told.
func (c *Core) confirmation(now time.Duration) message.Confirmation {
	if !c.confirmed.known {
		return message.Confirmation{}
	}
	age := max(0, clock.FromDuration(now)-c.confirmed.at)
	return message.Confirmation{Confirmed: age < maximumAge, AgeMs: uint32(min(age, maximumAge))}
}

// Announce sends peers the changes after a revision that the store has just told, or only that there were none.
func (c *Core) Announce(now time.Duration, peers []string, since history.Revision, records []message.StoreRecord) []Send {
	var m message.Message = c.digest(now)
	if len(records) > 0 {
		m = &message.StoreRecords{
			Since: since, Revision: c.revision, Records: records, Confirmation: c.confirmation(now),
		}
	}
	sends := make([]Send, 0, len(peers))
	for _, peer := range peers {
		sends = append(sends, Send{peer, m})
	}
	return sends
}
