// Package spread keeps a node's copy of the store and decides how nodes tell each other what they know of it, so that a node
// that the store does not serve, or whose watch has missed a change, learns it from others.
//
// Each record carries the revision of its last change, and the newer one wins: the order and number of messages are of no
// matter, and nothing goes back. The package does no I/O and reads no clock.
package spread

import (
	"sort"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

// Settings of the spreading.
type Settings struct {
	// Interval is the pause between two digests sent to a random peer.
	Interval time.Duration
	// Fanout is the number of peers told at once when more is known.
	Fanout int
	// Patience is how long a node that the store serves waits for its own watch when a peer knows more.
	Patience time.Duration
	// AnswerWithin is how long a node waits for a peer's answer before it asks another.
	AnswerWithin time.Duration
	// KeepGone is how long it is remembered that a key is gone.
	KeepGone time.Duration
	// LapseAfter is the shortest time for which the store must have been away for entries of sound back ends to be gone by that.
	LapseAfter clock.Ms
	// ReturnWithin is how long after the store's return such entries may still be missing.
	ReturnWithin clock.Ms
}

// Record is an item of the store, or that it is gone.
type Record struct {
	message.StoreRecord
	goneAt time.Duration
}

// Send is a message to a peer.
type Send struct {
	To      string
	Message message.Message
}

// Peers picks up to count random peers.
type Peers func(count int) []string

// Core is a node's copy.
type Core struct {
	settings Settings
	peers    Peers
	records  map[string]Record
	// revision up to which all changes are known, 0 while nothing whole is.
	revision uint64
	// horizon is the greatest revision of which it is not remembered whether a key is gone.
	horizon    uint64
	nextDigest time.Duration
	// ahead is a peer that knows more, since aheadSince.
	ahead         string
	aheadRevision uint64
	aheadSince    time.Duration
	// confirmed is when the copy was last known to be complete; claimed is what a peer that knows more says of its own.
	confirmed confirmation
	claimed   confirmation
	// returnedAt is when the copy was confirmed after entries may have lapsed; from the first confirmation on.
	returnedAt clock.Ms
	// heardAt is the latest moment of which a peer has said that its copy was complete; heard, whether one ever has.
	heard   bool
	heardAt clock.Ms
	// askedUntil: a peer was asked, and no other is before then. Copies are large where there are many back ends.
	askedUntil time.Duration
}

// New returns a core that knows nothing.
func New(settings Settings, peers Peers) *Core {
	return &Core{settings: settings, peers: peers, records: map[string]Record{}}
}

// Revision up to which all changes are known.
func (c *Core) Revision() uint64 { return c.revision }

// Records gives all records, those remembered as gone included, ordered by key.
func (c *Core) Records() []message.StoreRecord {
	records := make([]message.StoreRecord, 0, len(c.records))
	for _, known := range c.records {
		records = append(records, known.StoreRecord)
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Key < records[j].Key })
	return records
}

// RevisionOf is the revision of what is known of a key, 0 where nothing is.
func (c *Core) RevisionOf(key string) uint64 { return c.records[key].Revision }

// Take takes a record in if it is newer than what is known of its key, and reports whether it was.
func (c *Core) Take(now time.Duration, record message.StoreRecord) bool {
	known, found := c.records[record.Key]
	if found && record.Revision <= known.Revision {
		return false
	}
	// All changes up to the revision are known: a key that is not there is gone, and what says otherwise is old.
	if !found && record.Revision <= c.revision {
		return false
	}
	taken := Record{StoreRecord: record}
	if record.Gone {
		taken.Value = nil
		taken.goneAt = now
	}
	c.records[record.Key] = taken
	return !record.Gone || (found && !known.Gone)
}

// Whole takes in that the keys listed are all there were at a revision, and returns the keys that are gone since.
func (c *Core) Whole(now time.Duration, listed map[string]bool, revision uint64) []string {
	var gone []string
	for key, known := range c.records {
		if listed[key] || known.Gone || known.Revision > revision {
			continue
		}
		c.records[key] = Record{StoreRecord: message.StoreRecord{Key: key, Revision: revision, Gone: true}, goneAt: now}
		gone = append(gone, key)
	}
	// What was gone before is not remembered: whoever knows less than this revision must be sent everything.
	c.horizon = max(c.horizon, revision)
	sort.Strings(gone)
	return gone
}

// Known takes in that all changes up to a revision are known, and tells some peers if that is news.
func (c *Core) Known(now time.Duration, revision uint64) []Send {
	if revision <= c.revision {
		return nil
	}
	c.revision = revision
	// Whatever brought this news may bring the rest: patience with it begins anew.
	c.ahead = ""
	c.settleClaim(now)
	return c.digest(now, c.settings.Fanout)
}

func (c *Core) digest(now time.Duration, count int) []Send {
	var sends []Send
	for _, peer := range c.peers(count) {
		sends = append(sends, Send{peer, &message.StoreDigest{Revision: c.revision, Confirmation: c.confirmation(now)}})
	}
	return sends
}

// quietFactor times the interval lies between digests of a node that others tell of the store.
const quietFactor = 10

// Tick takes in the passing of time. Served says whether the store's changes come to this node; if not, others are asked at once. Told
// says that others tell it of them: what it knows is news to hardly anyone.
func (c *Core) Tick(now time.Duration, served, told bool) []Send {
	var sends []Send
	if now >= c.nextDigest {
		c.nextDigest = now + c.settings.Interval
		if told {
			c.nextDigest = now + quietFactor*c.settings.Interval
		}
		c.forget(now)
		sends = c.digest(now, 1)
	}
	return append(sends, c.request(now, served)...)
}

// request asks the peer that knows more, once it is certain enough that the own watch does not tell it.
func (c *Core) request(now time.Duration, served bool) []Send {
	if c.ahead == "" {
		return nil
	}
	if c.aheadRevision <= c.revision {
		c.ahead = ""
		return nil
	}
	if now < c.askedUntil || (served && now-c.aheadSince < c.settings.Patience) {
		return nil
	}
	peer := c.ahead
	c.ahead = ""
	c.askedUntil = now + c.settings.AnswerWithin
	return []Send{{peer, &message.StoreRequest{Revision: c.revision}}}
}

// Received is what a message from a peer brought.
type Received struct {
	Sends []Send
	// Records are those that were newer than what was known.
	Records []message.StoreRecord
	// Gone keys were known and are not there any more.
	Gone []string
	// Advanced: all changes up to Revision are known now.
	Advanced bool
}

// Receive takes in a message of this package's kinds. Served says whether the store answers this node.
func (c *Core) Receive(now time.Duration, from string, m message.Message, served bool) Received {
	switch m := m.(type) {
	case *message.StoreDigest:
		return c.receiveDigest(now, from, m, served)
	case *message.StoreRequest:
		return Received{Sends: c.answer(now, from, m)}
	case *message.StoreRecords:
		return c.receiveRecords(now, from, m)
	}
	return Received{}
}

func (c *Core) receiveDigest(now time.Duration, from string, m *message.StoreDigest, served bool) Received {
	c.claim(now, m.Revision, m.Confirmation)
	switch {
	case m.Revision < c.revision:
		return Received{Sends: []Send{{from, &message.StoreDigest{Revision: c.revision, Confirmation: c.confirmation(now)}}}}
	case m.Revision > c.revision:
		if c.ahead == "" {
			c.aheadSince = now
		}
		c.ahead, c.aheadRevision = from, m.Revision
		return Received{Sends: c.request(now, served)}
	}
	return Received{}
}

// answer sends what has changed beyond the revision asked for, or everything where it is not remembered what has gone since.
func (c *Core) answer(now time.Duration, to string, m *message.StoreRequest) []Send {
	if c.revision <= m.Revision {
		return nil
	}
	reply := &message.StoreRecords{
		Since: m.Revision, Revision: c.revision, Whole: m.Revision < c.horizon || m.Revision == 0, Confirmation: c.confirmation(now),
	}
	for _, known := range c.records {
		if reply.Whole && !known.Gone || !reply.Whole && known.Revision > m.Revision {
			reply.Records = append(reply.Records, known.StoreRecord)
		}
	}
	sort.Slice(reply.Records, func(i, j int) bool { return reply.Records[i].Key < reply.Records[j].Key })
	return []Send{{to, reply}}
}

func (c *Core) receiveRecords(now time.Duration, from string, m *message.StoreRecords) Received {
	var received Received
	c.claim(now, m.Revision, m.Confirmation)
	c.askedUntil = 0
	listed := make(map[string]bool, len(m.Records))
	for _, record := range m.Records {
		listed[record.Key] = true
		if c.Take(now, record) {
			received.Records = append(received.Records, record)
		}
	}
	if m.Whole {
		received.Gone = c.Whole(now, listed, m.Revision)
	}
	// An answer to a request of an earlier life of this node may still come; what it leaves out is not known in this one.
	if m.Whole || m.Since <= c.revision {
		received.Advanced = m.Revision > c.revision
		received.Sends = c.Known(now, m.Revision)
	} else if m.Revision > c.revision {
		// Changes before these are not known: the sender is asked for them.
		c.ahead, c.aheadRevision, c.aheadSince = from, m.Revision, now-c.settings.Patience
		received.Sends = c.request(now, false)
	}
	return received
}

// forget drops the memory of keys that are gone since long.
func (c *Core) forget(now time.Duration) {
	for key, known := range c.records {
		if known.Gone && now-known.goneAt >= c.settings.KeepGone {
			c.horizon = max(c.horizon, known.Revision)
			delete(c.records, key)
		}
	}
}
