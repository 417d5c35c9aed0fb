// Package spread keeps a node's copy of the metadata store and decides how nodes replicate it to each other. A node
// that cannot reach the store, or whose watch has missed a change, thereby learns the change from its peers.
//
// Each record carries the revision of its last change, and the newer record of a key wins. The result therefore
// does not depend on the order or the number of messages, and no record goes back to an older value. A store that
// is restored from a backup lacks its latest changes. Its revisions then belong to a new era, and revisions are
// compared by era first and by number second.
//
// A copy is confirmed as of a moment at which the store held no change beyond its revision. That moment is never taken to
// be later than it was: an answer of the store or a report of a peer that arrives late confirms a copy as of when it was
// given, and not as of its arrival.
//
// The package owns the copy: its records, the revision up to which it is complete, the time at which that was last
// confirmed, and the era. It does no I/O, reads no clock and has no lock. The caller passes in the time, sends the
// returned messages and serialises access.
package spread

import (
	"bytes"
	"sort"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/history"
	"stiletrail/internal/message"
	"stiletrail/internal/peerclock"
)

// Settings holds the intervals and limits of the replication between nodes.
type Settings struct {
	// Interval is the time between two digests, each sent to one random peer.
	Interval time.Duration
	// Fanout is the number of peers that are sent a digest at once when the node's revision advances.
	Fanout int
	// PeerRequestDelay is how long a node that reaches the store waits for its own watch before it requests changes
	// from a peer with a later revision.
	PeerRequestDelay time.Duration
	// AnswerTimeout is how long a node waits for a peer's answer before it asks another peer.
	AnswerTimeout time.Duration
	// TombstoneRetention is how long the node remembers that a key was deleted.
	TombstoneRetention time.Duration
	// EntryLifetime is the shortest outage of the store after which entries of healthy back ends may have expired.
	EntryLifetime clock.Ms
	// RewriteWindow is how long after an outage or a restore of the store records may be missing that were lost by
	// it. Their owners write them again within that time.
	RewriteWindow clock.Ms
}

// Record is an item of the store or the tombstone of a deleted key.
type Record struct {
	message.StoreRecord
	deletedAt time.Duration
}

// Core is a node's copy of the store.
type Core struct {
	settings Settings
	peers    PeerPicker
	records  map[string]Record
	// revision is the revision up to which the node knows all changes. It is unknown until the copy is complete for
	// the first time.
	revision history.Revision
	// compactedRevision is the latest revision for which tombstones of deleted keys have been discarded.
	compactedRevision history.Revision
	nextDigestAt      time.Duration
	// aheadPeer is a peer that reported a later revision, aheadRevision, at the time aheadSince.
	aheadPeer     string
	aheadRevision history.Revision
	aheadSince    time.Duration
	// latestHeard is the latest revision that a peer has reported. If it is later than the node's, the node has known
	// since behindSince that it lacks changes.
	latestHeard history.Revision
	behindSince time.Duration
	// confirmed is when the copy was last known to be complete. peerConfirmed is the confirmation of a peer whose
	// revision is later than this node's; it is adopted once this node reaches that revision.
	confirmed     confirmation
	peerConfirmed confirmation
	// clocks dates the confirmations of peers. undated holds the last one of each peer whose clock is being measured.
	clocks  *peerclock.Core
	undated map[string]undatedConfirmation
	// reconfirmedAt is when the copy was confirmed for the first time, or for the first time after entries may have
	// expired.
	reconfirmedAt clock.Ms
	// peerConfirmationReceived is set once any peer has reported that its copy was complete. latestPeerConfirmation
	// is the latest moment for which one has reported that.
	peerConfirmationReceived bool
	latestPeerConfirmation   clock.Ms
	// nextRequestAt is the earliest time for the next request to a peer, while an earlier request is unanswered.
	// Copies are large when there are many back ends.
	nextRequestAt time.Duration
	// era is the latest era mentioned so far, valid if knowsEra is set. restoredAt is when the node first heard of
	// a later era than the one it knew, valid if restored is set.
	era        uint64
	knowsEra   bool
	restored   bool
	restoredAt clock.Ms
	// retained holds the records that are in force at this node although the restored store says otherwise.
	// configurationVersion is the version of the configuration in force, or 0 without one.
	retained             map[string]message.StoreRecord
	configurationVersion uint64
	// retainedVersionRequested is the configuration version that the node last requested from peers, and
	// retainedRequests is how often it has.
	retainedVersionRequested uint64
	retainedRequests         int
}

// New returns an empty copy. The clocks date what peers report of their own copies.
func New(settings Settings, peers PeerPicker, clocks *peerclock.Core) *Core {
	return &Core{
		settings: settings, peers: peers, records: map[string]Record{}, retained: map[string]message.StoreRecord{},
		clocks: clocks, undated: map[string]undatedConfirmation{},
	}
}

// Revision returns the revision up to which the node knows all changes.
func (c *Core) Revision() history.Revision { return c.revision }

// Records returns all records, tombstones included, ordered by key.
func (c *Core) Records() []message.StoreRecord {
	records := make([]message.StoreRecord, 0, len(c.records))
	for _, known := range c.records {
		records = append(records, known.StoreRecord)
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Key < records[j].Key })
	return records
}

// Record returns the record or the tombstone of a key. It returns false if nothing is known of the key.
func (c *Core) Record(key string) (record message.StoreRecord, known bool) {
	found, known := c.records[key]
	return found.StoreRecord, known
}

// Apply stores a record if it is newer than the known record of its key. It reports whether the record changes
// anything but the revision.
func (c *Core) Apply(now time.Duration, record message.StoreRecord) bool {
	known, found := c.records[record.Key]
	if found && !record.Revision.After(known.Revision) {
		return false
	}
	// The node knows all changes up to its revision. A key without a record is deleted, and an older record that
	// says otherwise is obsolete.
	if !found && !record.Revision.After(c.revision) {
		return false
	}
	// A restored store returns all of its records, most of which are known already. Treating them as changes would
	// do harm: a back end whose entry states how much longer it warms up would start its warm-up again.
	same := found && !known.Deleted && !record.Deleted && bytes.Equal(known.Value, record.Value) &&
		record.Revision.Era != known.Revision.Era
	c.observeEra(now, record.Revision.Era)
	stored := Record{StoreRecord: record}
	if record.Deleted {
		stored.Value = nil
		stored.deletedAt = now
	}
	c.records[record.Key] = stored
	if record.Deleted {
		return found && !known.Deleted
	}
	return !same
}

// ApplyListing records that the listed keys are all that the store held at a revision. It returns the keys that
// have been deleted. A tombstone of a key that is not listed moves to the listing's revision: the key is deleted as of
// then, and an obsolete record that arrives late must not bring it back.
func (c *Core) ApplyListing(now time.Duration, listed map[string]bool, revision history.Revision) []string {
	var deleted []string
	for key, known := range c.records {
		if listed[key] || known.Revision.After(revision) {
			continue
		}
		deletedAt := known.deletedAt
		if !known.Deleted {
			deletedAt = now
			deleted = append(deleted, key)
		}
		c.records[key] = Record{StoreRecord: message.StoreRecord{Key: key, Revision: revision, Deleted: true}, deletedAt: deletedAt}
	}
	// The listing does not say which other keys were deleted before it. A peer with an earlier revision must
	// therefore be sent all records.
	c.compactedRevision = history.Latest(c.compactedRevision, revision)
	sort.Strings(deleted)
	return deleted
}

// Advance records that all changes up to a revision are known. If the revision is new, it returns digests for some
// peers.
func (c *Core) Advance(now time.Duration, revision history.Revision) []OutgoingMessage {
	if !revision.After(c.revision) {
		return nil
	}
	c.observeEra(now, revision.Era)
	c.revision = revision
	// The source of this advance may bring the remaining changes too, so PeerRequestDelay starts again.
	c.aheadPeer = ""
	c.adoptPeerConfirmation(now)
	return c.digests(now, c.settings.Fanout)
}

// discardTombstones discards tombstones that are older than TombstoneRetention.
func (c *Core) discardTombstones(now time.Duration) {
	for key, known := range c.records {
		if known.Deleted && now-known.deletedAt >= c.settings.TombstoneRetention {
			c.compactedRevision = history.Latest(c.compactedRevision, known.Revision)
			delete(c.records, key)
		}
	}
}
