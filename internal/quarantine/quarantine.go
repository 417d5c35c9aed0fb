// Package quarantine detects requests that crash the back ends that process them, and keeps them from further back
// ends. It distinguishes them from requests that a back end was processing when it crashed for another reason.
//
// It decides whether a request is clear, suspect or quarantined (verdict.go), when a crash or an answer changes that
// (outcome.go), and what a quarantined request may still do (exceptions.go).
//
// It owns the records that a node keeps of such requests (Core, record.go), the identity of a request (fingerprint.go),
// and the encodings of a quarantine in the store (store.go) and in messages between nodes (evidence.go).
//
// Callers supply times from one clock that never goes back, and serialise all calls, since a Core has no lock. The
// package does no I/O, uses no random numbers and reads no clock.
package quarantine

import "stiletrail/internal/clock"

// Settings configures a Core.
type Settings struct {
	// Rounds is the number of rounds after which a request is quarantined; 0 disables quarantines. Crashes are separate
	// rounds if each execution of the request began after the crash before it and the request was not answered in
	// between.
	Rounds int
	// Duration is how long a request stays quarantined, in milliseconds.
	Duration clock.Ms
}

// Core holds what a node knows about requests that have crashed back ends. Its times are in milliseconds on the node's
// clock.
type Core struct {
	settings Settings
	records  map[Fingerprint]*record
	// recentCrashes holds the latest crash of each back end within unrelatedCrashWindow, whichever request it was
	// processing.
	recentCrashes []Crash
}

// New returns a Core without records: all requests are clear.
func New(settings Settings) *Core {
	return &Core{settings: settings, records: map[Fingerprint]*record{}}
}

// Reconfigure applies new settings to all later calls.
func (c *Core) Reconfigure(settings Settings) { c.settings = settings }

// Len returns the number of records.
func (c *Core) Len() int { return len(c.records) }

// QuarantinedCount returns the number of quarantined records.
func (c *Core) QuarantinedCount(now clock.Ms) (count int) {
	for _, r := range c.records {
		if r.quarantined(now) {
			count++
		}
	}
	return count
}

// These constants limit the memory of a Core. A record takes at most about a kilobyte, and records are created only
// after a back end has crashed.
const (
	maximumRecords       = 4096
	maximumCrashes       = 24
	maximumBackEnds      = 64
	maximumVersions      = 8
	maximumCallers       = 8
	maximumRecentCrashes = 64
	// recordLifetime is how long a record is kept after its last update, so that a request that has crashed back ends
	// stays suspect.
	recordLifetime = 3600 * clock.Second
)

// Forget deletes records that were not updated within recordLifetime and are not quarantined.
func (c *Core) Forget(now clock.Ms) {
	for fingerprint, r := range c.records {
		if now-r.updatedAt > recordLifetime && !r.quarantined(now) {
			delete(c.records, fingerprint)
		}
	}
}

// recordOf returns the record of a fingerprint and creates it if there is none. If there are already maximumRecords,
// the record that forgottenBefore sorts first is deleted.
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

// evictionCandidate returns the record that is deleted to make room for another one.
func (c *Core) evictionCandidate(now clock.Ms) (oldest *record) {
	for _, r := range c.records {
		if oldest == nil || forgottenBefore(now, r, oldest) {
			oldest = r
		}
	}
	return oldest
}
