// Package follow decides how a node reads the metadata store, which holds the configuration written by operators
// and the entries written by back ends. The node lists all keys, then issues one watch after another, and lists
// again whenever it may have missed a change. When the store is restored from a backup, its revisions belong to a
// new era.
//
// The package owns the read state: the revision to continue from, the listing in progress, the back-off after
// failures, and the time of the store's last answer. It does no I/O, reads no clock and has no lock. The caller
// executes the calls that Next returns, passes in the time and serialises access.
package follow

import (
	"time"

	"stiletrail/internal/history"
)

// Settings holds the intervals and timeouts of calls to the store.
type Settings struct {
	// WatchDuration is how long a watch waits for a change. A watch that returns nothing does not prove that
	// nothing changed: a store that drops its history may end the watch without an error, and only the next watch
	// reports the loss. WatchDuration is therefore shorter than the time within which a change must be in force.
	WatchDuration time.Duration
	// CoalesceDelay is the pause after a watch returned changes, so that changes close together cost one call.
	CoalesceDelay time.Duration
	// InitialBackoff and MaximumBackoff bound the pause after a failed call.
	InitialBackoff time.Duration
	MaximumBackoff time.Duration
	// InitialTimeout and MaximumTimeout bound the wait for the answer to a listing. For a watch they bound the wait
	// beyond the time for which it waits for changes.
	InitialTimeout time.Duration
	MaximumTimeout time.Duration
	// PollTimeout is the initial timeout of a poll, which is a watch that returns without waiting for changes.
	PollTimeout time.Duration
}

// CallKind is the kind of a Call.
type CallKind int

// The kinds of call.
const (
	// List reads the page of keys after Call.AfterKey. Call.Revision is the last known revision, or that of the
	// listing's first page.
	List CallKind = iota + 1
	// Watch waits for changes after Call.Revision.
	Watch
	// Pause makes no call for Call.Duration.
	Pause
	// Coalesce makes no call for Call.Duration, or for less if the caller needs the changes sooner.
	Coalesce
)

// Call is the next action of the caller.
type Call struct {
	Kind     CallKind
	AfterKey string
	Revision history.Revision
	Duration time.Duration
	// Timeout is the time limit of a listing. For a watch it is the time allowed beyond Duration.
	Timeout time.Duration
}

// AnsweredAfter returns the latest moment before which the store cannot have given the answer to a call that was made at
// startedAt and answered at answeredAt. The answer may have been under way for any part of that time, unless it ended a
// watch without changes: the store then waited for as long as it was told to.
func (c Call) AnsweredAfter(startedAt, answeredAt time.Duration, changes int) time.Duration {
	if waited := c.Duration.Truncate(time.Millisecond); c.Kind == Watch && changes == 0 && answeredAt-startedAt >= waited {
		return startedAt + waited
	}
	return startedAt
}

const (
	// maximumFailures caps the count of consecutive failures, from which the timeout of the next call is computed.
	maximumFailures = 10
	// minimumWatchDuration is the shortest wait for changes that justifies a call.
	minimumWatchDuration = 200 * time.Millisecond
	// pollDuration is how long a poll waits for changes: the shortest wait that a watch of the store accepts.
	pollDuration = time.Millisecond
)

// Core is the read state of one node.
type Core struct {
	settings Settings
	random   func() float64
	// pollPeriod and pollPhase are this node's slot in the poll schedule that it shares with other nodes.
	// pollPeriod is 0 without a schedule.
	pollPeriod time.Duration
	pollPhase  time.Duration
	// revision is the revision up to which the node knows all changes. It is known once a listing has been read
	// completely.
	revision history.Revision
	listed   bool
	// afterKey is the last key read by the listing in progress. listingRevision is the revision of that listing's
	// first page.
	afterKey          string
	listingInProgress bool
	listingRevision   history.Revision
	// pause is the wait before the next call. If coalescing is set, the caller may end the pause early.
	pause      time.Duration
	coalescing bool
	// pollNext is set if the pause ends at this node's scheduled poll, after which it announces the store's
	// revision to peers.
	pollNext bool
	backoff  time.Duration
	failures int
	// historyLost is set if the store has lost its history since a watch last ended successfully. Listing again at
	// once would meet the same failure.
	historyLost bool
	// lastListingMixedEras is set if the last listing had pages of two eras and no listing has been completed
	// since.
	lastListingMixedEras bool
	// contactAt is when the store last answered, or -1 if it never has.
	contactAt time.Duration
}

// New returns a Core whose first call is a listing. The function random returns random numbers from 0 to 1.
func New(settings Settings, random func() float64) *Core {
	return &Core{settings: settings, random: random, contactAt: -1}
}

// Revision returns the revision up to which the node knows all changes.
func (c *Core) Revision() history.Revision { return c.revision }

// Listed reports whether a listing has been read completely.
func (c *Core) Listed() bool { return c.listed }

// ContactAge returns the time since the store last answered, or -1 if it never has.
func (c *Core) ContactAge(now time.Duration) time.Duration {
	if c.contactAt < 0 {
		return -1
	}
	return now - c.contactAt
}

// CopyState describes the node's copy of the store, judged by the node's own calls and by messages from peers.
type CopyState struct {
	// Stale is set if neither the store nor a peer has confirmed for long that the copy is complete. The node then
	// polls the store instead of waiting for changes.
	Stale bool
	// PeersSilent is set if no peer has confirmed its own copy recently. The node's watches then end early enough
	// that its copy does not become stale.
	PeersSilent bool
}

// Next returns the next call. Only the phase of clock within the poll period matters.
func (c *Core) Next(clock time.Duration, state CopyState) Call {
	if c.pause > 0 {
		return c.nextPause(clock)
	}
	if !c.listed || c.listingInProgress {
		known := c.revision
		if c.listingInProgress {
			known = c.listingRevision
		}
		return Call{Kind: List, AfterKey: c.afterKey, Revision: known, Timeout: c.timeout(c.settings.InitialTimeout)}
	}
	poll := c.pollNext || state.Stale
	c.pollNext = false
	if poll {
		return Call{Kind: Watch, Revision: c.revision, Duration: pollDuration, Timeout: c.timeout(c.settings.PollTimeout)}
	}
	return Call{Kind: Watch, Revision: c.revision, Duration: c.watchDuration(clock, state), Timeout: c.timeout(c.settings.InitialTimeout)}
}

// nextPause returns the pending pause as a call and clears it.
func (c *Core) nextPause(clock time.Duration) Call {
	call := Call{Kind: Pause, Duration: c.pause}
	if c.coalescing {
		call.Kind = Coalesce
		call.Duration, c.pollNext = c.pauseUntilPoll(clock, c.pause)
	}
	c.pause, c.coalescing = 0, false
	return call
}

// ApplyPage records a page of a listing: its last key, the store's revision, and whether more pages follow. It
// reports whether the listing is complete.
//
// Pages of two eras do not form a listing, and a page of an era earlier than the known one is discarded. In both
// cases a new listing starts, after a pause that grows if this happens repeatedly.
func (c *Core) ApplyPage(now time.Duration, lastKey string, at history.Revision, more bool) bool {
	c.recordContact(now)
	if c.afterKey == "" {
		c.listingRevision = at
	}
	if at.Era < c.revision.Era {
		c.handleEarlierEra(now)
		return false
	}
	if at.Era != c.listingRevision.Era {
		c.handleMixedEras(now)
		return false
	}
	if !c.lastListingMixedEras {
		c.backoff = 0
	}
	c.listingInProgress = more
	if more {
		c.afterKey = lastKey
		return false
	}
	c.resetBackoff()
	c.afterKey = ""
	c.listed = true
	// The next watch returns again the changes made while the listing was read. Each record carries its own
	// revision, so applying it twice is harmless.
	c.revision = c.listingRevision
	return true
}

// ApplyChanges records the end of a watch that was asked for changes after from: the store's revision at, and the
// number of changes. It reports whether these are all the changes since from. They are not if the store answered in
// another era: the same revision number then denotes another state, and the changes before it are unknown.
func (c *Core) ApplyChanges(now time.Duration, from, at history.Revision, count int) bool {
	c.recordContact(now)
	if at.Era < from.Era {
		c.handleEarlierEra(now)
		return false
	}
	if at.Era != from.Era {
		c.restartListing()
		return false
	}
	c.resetBackoff()
	c.historyLost = false
	c.revision = history.Latest(c.revision, at)
	if count > 0 {
		c.pause, c.coalescing = c.settings.CoalesceDelay, true
	}
	return true
}

// Advance records that the node has learned all changes up to a revision from peers. The next watch continues from
// there.
func (c *Core) Advance(revision history.Revision) {
	c.revision = history.Latest(c.revision, revision)
	if !c.listingInProgress {
		c.listed = true
	}
}

// timeout returns the timeout of the next call. It is short at first, so that a call which an unhealthy store never
// answers is soon repeated. It doubles with each failure, so that a slow store can answer in time.
func (c *Core) timeout(first time.Duration) time.Duration {
	timeout := first
	for range c.failures {
		timeout = min(2*timeout, c.settings.MaximumTimeout)
	}
	return timeout
}
