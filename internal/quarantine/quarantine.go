// Package quarantine tells requests that end the back ends that run them from requests that were at a back end when it ended for
// another reason.
//
// It decides: whether a request is clear, suspect or under quarantine (verdict.go), when an end or an answer changes that
// (outcome.go), and what a request under quarantine may still do (exceptions.go).
//
// It owns: what a node remembers of such requests (Core, record.go), the identity of a request (mark.go), the form in which
// quarantines stand in the store (store.go) and in which nodes send them to each other (evidence.go).
//
// It relies on: a time that its callers give, on one clock that never goes back, and on one call at a time: a Core has no lock.
// It does no I/O, draws nothing at random and reads no clock.
package quarantine

import "stiletrail/internal/clock"

// Settings of a Core.
type Settings struct {
	// Rounds that put a request under quarantine; 0 switches quarantines off. Runs that follow each other, each begun after the
	// one before had ended its back end and none answered, are one round each.
	Rounds int
	// Duration is how long it is under quarantine.
	Duration clock.Ms
}

// Core is what a node knows of requests that have ended back ends. Its times are moments on the node's clock.
type Core struct {
	settings Settings
	records  map[Fingerprint]*record
	// recentCrashes are the back recentCrashes that ended of late, whatever they ran.
	recentCrashes []Crash
}

// New returns a core that suspects nobody.
func New(settings Settings) *Core {
	return &Core{settings: settings, records: map[Fingerprint]*record{}}
}

// Reconfigure changes the settings from now on.
func (c *Core) Reconfigure(settings Settings) { c.settings = settings }

// Len is the number of requests that something is remembered of.
func (c *Core) Len() int { return len(c.records) }

// QuarantinedCount is the number of requests under quarantine.
func (c *Core) QuarantinedCount(now clock.Ms) (count int) {
	for _, r := range c.records {
		if r.quarantined(now) {
			count++
		}
	}
	return count
}

// Bounds of what is remembered. A record takes about a kilobyte at most, and none is made unless a back end has ended.
const (
	maximumRecords       = 4096
	maximumCrashes       = 24
	maximumBackEnds      = 64
	maximumVersions      = 8
	maximumCallers       = 8
	maximumRecentCrashes = 64
	// recordLifetime is how long a request is suspected that has ended back ends and does not come again.
	recordLifetime = 3600 * clock.Second
)

// Forget drops what has not been touched for long.
func (c *Core) Forget(now clock.Ms) {
	for fingerprint, r := range c.records {
		if now-r.updatedAt > recordLifetime && !r.quarantined(now) {
			delete(c.records, fingerprint)
		}
	}
}

// recordOf returns the record of a mark, a new one if there is none. Where there are too many the one goes that was not touched
// for longest, of those that are not under quarantine if there are any.
func (c *Core) recordOf(now clock.Ms, fingerprint Fingerprint) *record {
	if known := c.records[fingerprint]; known != nil {
		return known
	}
	if len(c.records) >= maximumRecords {
		delete(c.records, c.evictionCandidate(now).fingerprint)
	}
	created := &record{fingerprint: fingerprint, updatedAt: now}
	c.records[fingerprint] = created
	return created
}

func (c *Core) evictionCandidate(now clock.Ms) (oldest *record) {
	for _, r := range c.records {
		if oldest == nil || forgottenBefore(now, r, oldest) {
			oldest = r
		}
	}
	return oldest
}
