// Package follow decides how a node reads the store that holds what the operator and the back ends state: a listing first,
// then one watch after another, and a new listing whenever something may have been missed.
//
// It owns the state of the reading: the revision to go on from, a listing under way, the pause after failures, and when the store
// last answered. It does no I/O, reads no clock and has no lock: callers carry out its calls, give the time and serialise calls.
package follow

import (
	"time"

	"stiletrail/internal/history"
)

// FailureKind is a way in which a call to the store went wrong.
type FailureKind int

// The troubles.
const (
	// Unavailable: no answer, or the store said that it cannot answer.
	Unavailable FailureKind = iota + 1
	// Throttled: too many calls.
	Throttled
	// WatchTimedOut: a watch was ended that had told nothing for too long.
	WatchTimedOut
	// HistoryLost: the store no longer knows the changes since the revision asked for.
	HistoryLost
	// EarlierEra: an answer was of an earlier era than is known.
	EarlierEra
)

// String names the trouble in logs.
func (t FailureKind) String() string {
	return [...]string{"none", "unavailable", "throttled", "silent", "history_lost", "outdated"}[t]
}

// Settings of the reading.
type Settings struct {
	// WatchDuration is how long a watch waits for a change. The silence of a watch proves nothing: a store that drops its history
	// may cut it without a word, and only the next one says that a change was missed. So it is kept shorter than the time
	// in which changes must be in force.
	WatchDuration time.Duration
	// CoalesceDelay is the pause after changes came, so that changes close to each other cost one call.
	CoalesceDelay time.Duration
	// InitialBackoff and LongestBackoff bound the pause after trouble.
	InitialBackoff time.Duration
	MaximumBackoff time.Duration
	// InitialTimeout and LongestTimeout bound the wait for the answer to a listing, and to a watch beyond the time that it waits for
	// changes.
	InitialTimeout time.Duration
	MaximumTimeout time.Duration
	// PollTimeout is the first one for a poll: a watch that does not wait for changes.
	PollTimeout time.Duration
}

// CallKind of a Call.
type CallKind int

// The kinds of call.
const (
	// List: read the page of keys after Call.After. Call.Revision is what was known before, or that of the first page.
	List CallKind = iota + 1
	// Watch: wait for changes after Call.Revision.
	Watch
	// Pause: do nothing for Call.For.
	Pause
	// Coalesce: let changes pile up for Call.For, or for less if they are needed.
	Coalesce
)

// Call is what to do next.
type Call struct {
	Kind     CallKind
	AfterKey string
	Revision history.Revision
	Duration time.Duration
	// Timeout of a listing, and of a watch beyond For.
	Timeout time.Duration
}

const (
	// maximumFailures in a row are counted for the timeout of the next call.
	maximumFailures = 10
	// minimumWatch is the shortest wait for changes that is worth a call.
	minimumWatchDuration = 200 * time.Millisecond
	// pollWait is how long a poll waits for changes: the least that a store's watch can be asked for.
	pollDuration = time.Millisecond
)

// Core holds the state of the reading.
type Core struct {
	settings Settings
	random   func() float64
	// period and phase are of this node's turns among others; no period for one alone.
	pollPeriod time.Duration
	pollPhase  time.Duration
	// revision up to which all changes are known; known after a whole listing.
	revision history.Revision
	listed   bool
	// after and listedAt are of a listing under way: the last key read, and the revision of its first page.
	afterKey          string
	listingInProgress bool
	listingRevision   history.Revision
	// pause before the next call; coalescing: it is one that may be cut short.
	pause      time.Duration
	coalescing bool
	// pollNext: the pause ends at this node's turn, at which it tells others what the store says.
	pollNext bool
	backoff  time.Duration
	failures int
	// historyLost: the store has forgotten its history since a watch last ended well. Another listing at once would meet the same.
	historyLost bool
	// mixedBefore: the last listing was of two eras, and there was no whole one since.
	lastListingMixedEras bool
	// contactAt is when the store last answered; -1 for never.
	contactAt time.Duration
}

// New returns a Core that begins with a listing. The function returns random numbers from 0 to 1.
func New(settings Settings, random func() float64) *Core {
	return &Core{settings: settings, random: random, contactAt: -1}
}

// Revision up to which changes are known.
func (c *Core) Revision() history.Revision { return c.revision }

// Listed reports whether a whole listing was read.
func (c *Core) Listed() bool { return c.listed }

// ContactAge is the time since the store last answered, -1 if it never did.
func (c *Core) ContactAge(now time.Duration) time.Duration {
	if c.contactAt < 0 {
		return -1
	}
	return now - c.contactAt
}

// CopyState is how the node's copy of the store stands, by its own calls and by what other nodes tell.
type CopyState struct {
	// Stale: nobody has confirmed for long that the node knows all changes. The store is asked for those that there are, without a
	// wait for more.
	Stale bool
	// PeersSilent: no other node has told anything of late. The node's watches end by themselves before its copy turns stale.
	PeersSilent bool
}

// Next returns what to do now. Of the clock only the phase within a period counts.
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

// takePause returns the pause that is due.
func (c *Core) nextPause(clock time.Duration) Call {
	call := Call{Kind: Pause, Duration: c.pause}
	if c.coalescing {
		call.Kind = Coalesce
		call.Duration, c.pollNext = c.pauseUntilPoll(clock, c.pause)
	}
	c.pause, c.coalescing = 0, false
	return call
}

// ApplyPage takes in a page of a listing: its last key, the store's revision, and whether there is more. It reports whether the
// listing is whole. Pages of two eras make no listing, and one of an era before what is known by now is of no use: another
// listing begins, after a pause that grows while that goes on.
func (c *Core) ApplyPage(now time.Duration, last string, at history.Revision, more bool) bool {
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
		c.afterKey = last
		return false
	}
	c.resetBackoff()
	c.afterKey = ""
	c.listed = true
	// Changes made while the listing was read come again with the watch; each is taken by its own revision.
	c.revision = c.listingRevision
	return true
}

// ApplyChanges takes in the end of a watch: the revision to go on from, and the number of changes. It reports whether they are all
// there were: not where the store tells another era than what it was asked from. It may have a revision of that number again,
// and what came before it is not known here.
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

// Advance takes in that all changes up to a revision were learned from elsewhere; the next watch goes on from there.
func (c *Core) Advance(revision history.Revision) {
	c.revision = history.Latest(c.revision, revision)
	if !c.listingInProgress {
		c.listed = true
	}
}

// timeout is short at first, so that a call that a store in trouble will never answer is soon made again, and longer with
// each failure, so that a slow store gets its time.
func (c *Core) timeout(first time.Duration) time.Duration {
	timeout := first
	for range c.failures {
		timeout = min(2*timeout, c.settings.MaximumTimeout)
	}
	return timeout
}

// SetPollSchedule takes turns with other nodes from now on: this one's watches end at its own phase of a period that all share.
// Watches that end on the same change would else go on in step, and all miss the next one.
func (c *Core) SetPollSchedule(period, phase time.Duration) {
	c.pollPeriod, c.pollPhase = period, phase
}

// untilTurn has a pause end at this node's turn, and reports whether it does, where that comes before a watch after the pause
// would be worth a call. Others go by what is told at each turn.
func (c *Core) pauseUntilPoll(clock, pause time.Duration) (until time.Duration, turn bool) {
	if c.pollPeriod == 0 {
		return pause, false
	}
	if wait := c.pollPeriod - (clock-c.pollPhase)%c.pollPeriod; wait < pause+minimumWatchDuration {
		return wait, true
	}
	return pause, false
}

// watchFor is the time until this node's next turn, by a clock that nodes share well enough for that.
func (c *Core) watchDuration(clock time.Duration, state CopyState) time.Duration {
	if c.pollPeriod == 0 || state.PeersSilent {
		return c.settings.WatchDuration
	}
	wait := c.pollPeriod - (clock-c.pollPhase)%c.pollPeriod
	if wait < minimumWatchDuration {
		wait += c.pollPeriod
	}
	return wait
}

// StoreReachable reports whether the store answers this node: it did so of late, and not with trouble since. A node that has just started
// and not failed yet counts as served.
func (c *Core) StoreReachable(now time.Duration) bool {
	if c.failures > 0 {
		return false
	}
	return c.contactAt < 0 || now-c.contactAt < max(c.settings.WatchDuration, c.pollPeriod)+c.settings.CoalesceDelay+c.settings.MaximumBackoff
}

// RecordFailure takes in that a call went wrong.
func (c *Core) RecordFailure(now time.Duration, kind FailureKind) {
	c.coalescing = false
	if kind == HistoryLost {
		c.restartListing()
		repeated := c.historyLost
		c.historyLost = true
		if !repeated {
			return
		}
	}
	c.failures = min(c.failures+1, maximumFailures)
	if c.backoff == 0 {
		c.backoff = c.settings.InitialBackoff
	} else {
		c.backoff = min(2*c.backoff, c.settings.MaximumBackoff)
	}
	// Spread, so that many nodes do not come back at the same moment.
	c.pause = time.Duration((0.5 + c.random()) * float64(c.backoff))
	if c.listingInProgress {
		c.restartListing()
	}
}

// outdated takes in an answer of an earlier era than was known when it was asked for or has become known since.
func (c *Core) handleEarlierEra(now time.Duration) {
	c.restartListing()
	c.RecordFailure(now, EarlierEra)
}

// relist has the next call begin a new listing.
func (c *Core) restartListing() {
	c.listed = false
	c.listingInProgress = false
	c.afterKey = ""
}

// mixed takes in a listing of pages of two eras. The store has just come back, and another listing is begun at once; only where
// that is of two as well it waits.
func (c *Core) handleMixedEras(now time.Duration) {
	if c.lastListingMixedEras {
		c.handleEarlierEra(now)
		return
	}
	c.lastListingMixedEras = true
	c.restartListing()
}

// answered takes in that the store has answered, whatever it says.
func (c *Core) recordContact(now time.Duration) {
	c.contactAt = now
	c.failures = 0
}

// sound takes in that what the store said could be used: the next trouble is a first one.
func (c *Core) resetBackoff() {
	c.backoff = 0
	c.lastListingMixedEras = false
}
