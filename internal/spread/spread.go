// Package spread keeps a node's copy of the store and decides how nodes tell each other what they know of it, so that a node
// that the store does not serve, or whose watch has missed a change, learns it from others.
//
// Each record carries the revision of its last change, and the newer one wins: the order and number of messages are of no
// matter, and nothing goes back. Where the store is restored from a backup, which lacks its latest changes, its revisions are
// of a new era, which goes before their numbers.
//
// The package owns the copy of the store: its records, the revision up to which they are whole, when that was last confirmed,
// and the era. It does no I/O, reads no clock and has no lock: callers give the time, send what it returns and serialise calls.
package spread

import (
	"bytes"
	"sort"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/history"
	"stiletrail/internal/message"
)

// Settings of the spreading.
type Settings struct {
	// Interval is the pause between two digests sent to a random peer.
	Interval time.Duration
	// Fanout is the number of peers told at once when more is known.
	Fanout int
	// PeerRequestDelay is how long a node that the store serves waits for its own watch when a peer knows more.
	PeerRequestDelay time.Duration
	// AnswerTimeout is how long a node waits for a peer's answer before it asks another.
	AnswerTimeout time.Duration
	// TombstoneRetention is how long it is remembered that a key is gone.
	TombstoneRetention time.Duration
	// EntryLifetime is the shortest time for which the store must have been away for entries of sound back ends to be gone by that.
	EntryLifetime clock.Ms
	// RewriteWindow is how long after the store was away, or was restored, what it lacks by that may still be missing: its owners
	// write it again.
	RewriteWindow clock.Ms
}

// Record is an item of the store, or that it is gone.
type Record struct {
	message.StoreRecord
	deletedAt time.Duration
}

// Send is a message to a peer.
type Send struct {
	To      string
	Message message.Message
}

// PeerPicker picks up to count random peers.
type PeerPicker func(count int) []string

// Core is a node's copy.
type Core struct {
	settings Settings
	peers    PeerPicker
	records  map[string]Record
	// revision up to which all changes are known, unknown while nothing whole is.
	revision history.Revision
	// horizon is the latest revision of which it is not remembered whether a key is gone.
	compactedRevision history.Revision
	nextDigestAt      time.Duration
	// aheadPeer knows more, since aheadSince.
	aheadPeer     string
	aheadRevision history.Revision
	aheadSince    time.Duration
	// confirmed is when the copy was last known to be complete; peerConfirmed is what a peer that knows more says of its own.
	confirmed     confirmation
	peerConfirmed confirmation
	// reconfirmedAt is when the copy was confirmed after entries may have lapsed; from the first confirmation on.
	reconfirmedAt clock.Ms
	// peersHeardAt is the latest moment of which a peer has said that its copy was complete; peersHeard, whether one ever has.
	peerConfirmationReceived bool
	latestPeerConfirmation   clock.Ms
	// askedUntil: a peer was asked, and no other is before then. Copies are large where there are many back ends.
	nextRequestAt time.Duration
	// era is the latest one of which anything was said, knowsEra whether anything was; restoredAt is when a later one was first
	// heard of, where restored.
	era        uint64
	knowsEra   bool
	restored   bool
	restoredAt clock.Ms
	// kept are items that the node goes by though the restored store says otherwise; configuration is the version in force, 0
	// without one.
	retained             map[string]message.StoreRecord
	configurationVersion uint64
	// keptAsked is the version of the configuration that peers were asked for so many times as keptTries.
	retainedVersionRequested uint64
	retainedRequests         int
}

// New returns a core that knows nothing.
func New(settings Settings, peers PeerPicker) *Core {
	return &Core{settings: settings, peers: peers, records: map[string]Record{}, retained: map[string]message.StoreRecord{}}
}

// Revision up to which all changes are known.
func (c *Core) Revision() history.Revision { return c.revision }

// Records gives all records, those remembered as gone included, ordered by key.
func (c *Core) Records() []message.StoreRecord {
	records := make([]message.StoreRecord, 0, len(c.records))
	for _, known := range c.records {
		records = append(records, known.StoreRecord)
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Key < records[j].Key })
	return records
}

// Record gives what is known of a key, also that it is gone; false where nothing is.
func (c *Core) Record(key string) (record message.StoreRecord, known bool) {
	found, known := c.records[key]
	return found.StoreRecord, known
}

// Apply takes a record in if it is newer than what is known of its key, and reports whether it says something else.
func (c *Core) Apply(now time.Duration, record message.StoreRecord) bool {
	known, found := c.records[record.Key]
	if found && !record.Revision.After(known.Revision) {
		return false
	}
	// All changes up to the revision are known: a key that is not there is gone, and what says otherwise is old.
	if !found && !record.Revision.After(c.revision) {
		return false
	}
	// A restored store tells all that it has, and most of it was known: a back end whose entry tells how much longer it is cold
	// would be cold anew.
	same := found && !known.Deleted && !record.Deleted && bytes.Equal(known.Value, record.Value) &&
		record.Revision.Era != known.Revision.Era
	c.observeEra(now, record.Revision.Era)
	taken := Record{StoreRecord: record}
	if record.Deleted {
		taken.Value = nil
		taken.deletedAt = now
	}
	c.records[record.Key] = taken
	if record.Deleted {
		return found && !known.Deleted
	}
	return !same
}

// ApplyListing takes in that the keys listed are all there were at a revision, and returns the keys that are gone since.
func (c *Core) ApplyListing(now time.Duration, listed map[string]bool, revision history.Revision) []string {
	var gone []string
	for key, known := range c.records {
		if listed[key] || known.Deleted || known.Revision.After(revision) {
			continue
		}
		c.records[key] = Record{StoreRecord: message.StoreRecord{Key: key, Revision: revision, Deleted: true}, deletedAt: now}
		gone = append(gone, key)
	}
	// What was gone before is not remembered: whoever knows less than this revision must be sent everything.
	c.compactedRevision = history.Latest(c.compactedRevision, revision)
	sort.Strings(gone)
	return gone
}

// Advance takes in that all changes up to a revision are known, and tells some peers if that is news.
func (c *Core) Advance(now time.Duration, revision history.Revision) []Send {
	if !revision.After(c.revision) {
		return nil
	}
	c.observeEra(now, revision.Era)
	c.revision = revision
	// Whatever brought this news may bring the rest: patience with it begins anew.
	c.aheadPeer = ""
	c.adoptPeerConfirmation(now)
	return c.digests(now, c.settings.Fanout)
}

func (c *Core) digests(now time.Duration, count int) []Send {
	var sends []Send
	for _, peer := range c.peers(count) {
		sends = append(sends, Send{peer, c.digest(now)})
	}
	return sends
}

// quietFactor times the interval lies between digests of a node that watchers tell of the store.
const nonWatcherIntervalFactor = 10

// Tick takes in the passing of time. Served says whether the store's changes come to this node; if not, others are asked at
// once. WatchersTell says that watchers tell it of them: what it knows is news to hardly anyone.
func (c *Core) Tick(now time.Duration, storeReachable, watchersAnnounce bool) []Send {
	var sends []Send
	if now >= c.nextDigestAt {
		c.nextDigestAt = now + c.settings.Interval
		if watchersAnnounce {
			c.nextDigestAt = now + nonWatcherIntervalFactor*c.settings.Interval
		}
		c.discardTombstones(now)
		sends = c.digests(now, 1)
	}
	return append(sends, c.requestRecords(now, storeReachable)...)
}

// request asks the peer that knows more, once it is certain enough that the own watch does not tell it.
func (c *Core) requestRecords(now time.Duration, storeReachable bool) []Send {
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
	return []Send{{peer, &message.StoreRequest{Revision: c.revision}}}
}

// Received is what a message from a peer brought.
type Received struct {
	Sends []Send
	// Records are those that were newer than what was known.
	Records []message.StoreRecord
	// Deleted keys were known and are not there any more.
	Deleted []string
	// Retained are those that the peer goes by though the restored store says otherwise.
	Retained []message.StoreRecord
	// Advanced: all changes up to Revision are known now.
	Advanced bool
}

// Receive takes in a message of this package's kinds. Served says whether the store answers this node.
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
	c.receiveConfirmation(now, m.Revision, m.Confirmation)
	switch order := m.Revision.Compare(c.revision); {
	case order < 0:
		return Received{Sends: []Send{{from, c.digest(now)}}}
	case order > 0:
		if c.aheadPeer == "" {
			c.aheadSince = now
		}
		c.aheadPeer, c.aheadRevision = from, m.Revision
		return Received{Sends: c.requestRecords(now, storeReachable)}
	}
	return Received{Sends: c.requestRetained(now, from, m.Configuration)}
}

// answer sends what has changed beyond the revision asked for, or everything where it is not remembered what has gone since.
func (c *Core) answerRequest(now time.Duration, to string, m *message.StoreRequest) []Send {
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
	return []Send{{to, reply}}
}

func (c *Core) receiveRecords(now time.Duration, from string, m *message.StoreRecords) Received {
	received := Received{Retained: m.Retained}
	c.receiveConfirmation(now, m.Revision, m.Confirmation)
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
	// An answer to a request of an earlier life of this node may still come; what it leaves out is not known in this one.
	if m.Complete || !m.Since.After(c.revision) {
		received.Advanced = m.Revision.After(c.revision)
		received.Sends = c.Advance(now, m.Revision)
	} else if m.Revision.After(c.revision) {
		// Changes before these are not known: the sender is asked for them.
		c.aheadPeer, c.aheadRevision, c.aheadSince = from, m.Revision, now-c.settings.PeerRequestDelay
		received.Sends = c.requestRecords(now, false)
	}
	return received
}

// forget drops the memory of keys that are gone since long.
func (c *Core) discardTombstones(now time.Duration) {
	for key, known := range c.records {
		if known.Deleted && now-known.deletedAt >= c.settings.TombstoneRetention {
			c.compactedRevision = history.Latest(c.compactedRevision, known.Revision)
			delete(c.records, key)
		}
	}
}
