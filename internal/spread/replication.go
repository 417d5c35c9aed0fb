package spread

import (
	"sort"
	"time"

	"stiletrail/internal/message"
)

// OutgoingMessage is a message for a peer.
type OutgoingMessage struct {
	To      string
	Message message.Message
}

// PeerPicker returns up to count random peers.
type PeerPicker func(count int) []string

func (c *Core) digests(now time.Duration, count int) []OutgoingMessage {
	var sends []OutgoingMessage
	for _, peer := range c.peers(count) {
		sends = append(sends, OutgoingMessage{peer, c.digest(now)})
	}
	return sends
}

// nonWatcherIntervalFactor multiplies Settings.Interval for a node to which watchers announce the store's changes.
const nonWatcherIntervalFactor = 10

// Tick sends the digests and requests that are due. Parameter storeReachable says whether this node receives the
// store's changes itself; if it does not, it asks peers without delay. Parameter watchersAnnounce says whether
// watchers announce the changes to this node; its digests are then news to hardly any peer and are sent less often.
func (c *Core) Tick(now time.Duration, storeReachable, watchersAnnounce bool) []OutgoingMessage {
	var sends []OutgoingMessage
	if now >= c.nextDigestAt {
		c.nextDigestAt = now + c.settings.Interval
		if watchersAnnounce {
			c.nextDigestAt = now + nonWatcherIntervalFactor*c.settings.Interval
		}
		c.discardTombstones(now)
		c.forgetUndated(now)
		sends = c.digests(now, 1)
	}
	return append(sends, c.requestRecords(now, storeReachable)...)
}

// requestRecords asks the peer with a later revision for its records, once PeerRequestDelay has passed without the
// node's own watch bringing them.
func (c *Core) requestRecords(now time.Duration, storeReachable bool) []OutgoingMessage {
	if c.aheadPeer == "" {
		return nil
	}
	if !c.aheadRevision.After(c.revision) {
		c.aheadPeer = ""
		return nil
	}
	if now < c.nextRequestAt || (storeReachable && now-c.aheadSince < c.settings.PeerRequestDelay) {
		return nil
	}
	peer := c.aheadPeer
	c.aheadPeer = ""
	c.nextRequestAt = now + c.settings.AnswerTimeout
	return []OutgoingMessage{{peer, &message.StoreRequest{Revision: c.revision}}}
}

// Received is the effect of a message from a peer.
type Received struct {
	Sends []OutgoingMessage
	// Records holds the received records that were newer than the known ones.
	Records []message.StoreRecord
	// Deleted holds the keys that were known and have been deleted.
	Deleted []string
	// Retained holds the records that are in force at the peer although the restored store says otherwise.
	Retained []message.StoreRecord
	// Advanced is set if all changes up to a later revision than before are now known.
	Advanced bool
}

// Receive handles a message of this package's kinds. Parameter storeReachable says whether the store answers this
// node.
func (c *Core) Receive(now time.Duration, from string, m message.Message, storeReachable bool) Received {
	switch m := m.(type) {
	case *message.StoreDigest:
		return c.receiveDigest(now, from, m, storeReachable)
	case *message.StoreRequest:
		return Received{Sends: c.answerRequest(now, from, m)}
	case *message.StoreRecords:
		return c.receiveRecords(now, from, m)
	}
	return Received{}
}

func (c *Core) receiveDigest(now time.Duration, from string, m *message.StoreDigest, storeReachable bool) Received {
	c.hear(now, m.Revision)
	sends := c.receiveConfirmation(now, from, m.Revision, m.Confirmation)
	switch order := m.Revision.Compare(c.revision); {
	case order < 0:
		sends = append(sends, OutgoingMessage{from, c.digest(now)})
	case order > 0:
		if c.aheadPeer == "" {
			c.aheadSince = now
		}
		c.aheadPeer, c.aheadRevision = from, m.Revision
		sends = append(sends, c.requestRecords(now, storeReachable)...)
	default:
		sends = append(sends, c.requestRetained(now, from, m.Configuration)...)
	}
	return Received{Sends: sends}
}

// answerRequest sends the changes after the requested revision. It sends all records if the tombstones since that
// revision have been discarded.
func (c *Core) answerRequest(now time.Duration, to string, m *message.StoreRequest) []OutgoingMessage {
	if !c.revision.After(m.Revision) {
		return nil
	}
	reply := &message.StoreRecords{
		Since: m.Revision, Revision: c.revision, Complete: m.Revision.Before(c.compactedRevision) || m.Revision.Unknown(),
		Retained: c.retainedRecords(), Confirmation: c.confirmation(now),
	}
	for _, known := range c.records {
		if reply.Complete && !known.Deleted || !reply.Complete && known.Revision.After(m.Revision) {
			reply.Records = append(reply.Records, known.StoreRecord)
		}
	}
	sort.Slice(reply.Records, func(i, j int) bool { return reply.Records[i].Key < reply.Records[j].Key })
	return []OutgoingMessage{{to, reply}}
}

func (c *Core) receiveRecords(now time.Duration, from string, m *message.StoreRecords) Received {
	c.hear(now, m.Revision)
	received := Received{Retained: m.Retained, Sends: c.receiveConfirmation(now, from, m.Revision, m.Confirmation)}
	c.nextRequestAt = 0
	listed := make(map[string]bool, len(m.Records))
	for _, record := range m.Records {
		listed[record.Key] = true
		if c.Apply(now, record) {
			received.Records = append(received.Records, record)
		}
	}
	if m.Complete {
		received.Deleted = c.ApplyListing(now, listed, m.Revision)
	}
	if c.bringsAllChanges(m) {
		received.Advanced = m.Revision.After(c.revision)
		received.Sends = append(received.Sends, c.Advance(now, m.Revision)...)
	} else if m.Revision.After(c.revision) {
		// Changes before these are missing. The node requests them from the sender.
		c.aheadPeer, c.aheadRevision, c.aheadSince = from, m.Revision, now-c.settings.PeerRequestDelay
		received.Sends = append(received.Sends, c.requestRecords(now, false)...)
	}
	return received
}

// bringsAllChanges reports whether this copy, together with the records of a peer, has all changes up to their revision.
// It does not if changes before them are missing: the answer may belong to a request that an earlier process at this
// address made. Nor does it if the records are changes since an earlier era, because they do not say what the restored
// store has lost.
func (c *Core) bringsAllChanges(m *message.StoreRecords) bool {
	return m.Complete || !m.Since.After(c.revision) && m.Since.Era == m.Revision.Era
}
