package quarantine

import (
	"slices"

	"stiletrail/internal/clock"
)

// otherCallerDelay is how long after the last crash another caller may send the same request, in milliseconds. If it
// sent the request at the same time as the first caller, the first caller's crashes would take down its back ends too.
const otherCallerDelay = 2 * clock.Second

// ShardExcluded reports whether a request must not be sent to one shard, because it crashes the back ends of that shard
// while other shards answer it.
func (c *Core) ShardExcluded(now clock.Ms, id Identity, service string) bool {
	r := c.records[id.Request]
	return r != nil && c.settings.Rounds > 0 && now < r.shardsExcludedUntil[service]
}

// Remaining returns how much longer a request stays quarantined unless it crashes more back ends, in milliseconds. It
// returns at least one second for a quarantined request, and 0 for others.
func (c *Core) Remaining(now clock.Ms, id Identity) clock.Ms {
	r, found := c.quarantinedRecord(now, id)
	if !found {
		return 0
	}
	return c.remaining(now, r)
}

// RemainingOf reports whether the record of a fingerprint is quarantined, and for how many milliseconds at most.
func (c *Core) RemainingOf(now clock.Ms, fingerprint Fingerprint) (remaining clock.Ms, quarantined bool) {
	if r := c.records[fingerprint]; r != nil && r.quarantined(now) {
		return c.remaining(now, r), true
	}
	return 0, false
}

// remaining returns the remaining duration of a record's quarantine: at least one second.
func (c *Core) remaining(now clock.Ms, r *record) clock.Ms {
	remaining := r.quarantinedUntil - now
	if r.stored {
		// The quarantine ends when the store's item expires. The item was written when this node first read it, or
		// earlier.
		remaining = max(remaining, r.storedAt+c.settings.Duration-now)
	}
	return max(remaining, clock.Second)
}

// SafeVersions returns the software versions that are known to answer a request that is quarantined because it crashed
// other versions.
func (c *Core) SafeVersions(now clock.Ms, id Identity) []string {
	if r, found := c.quarantinedRecord(now, id); found {
		return slices.Clone(r.safeVersions)
	}
	return nil
}

// UntriedVersion returns one of the given versions that a quarantined request has neither crashed nor been answered by,
// and the fingerprint of the quarantine; found is false if there is none.
func (c *Core) UntriedVersion(now clock.Ms, id Identity, versions []string) (fingerprint Fingerprint, version string, found bool) {
	r, quarantined := c.quarantinedRecord(now, id)
	if !quarantined || len(r.crashedVersions) == 0 {
		// It is not known which versions the request has crashed, so no version is known to be untried.
		return fingerprint, "", false
	}
	for _, version := range versions {
		if version != "" && !slices.Contains(r.crashedVersions, version) && !slices.Contains(r.safeVersions, version) {
			return r.fingerprint, version, true
		}
	}
	return fingerprint, "", false
}

// OtherCaller reports whether a request is quarantined independently of its caller, while this caller is none of those
// whose requests caused that. It also returns the fingerprint of the quarantine and how many milliseconds the caller
// must still wait before it may send the request.
func (c *Core) OtherCaller(now clock.Ms, id Identity) (fingerprint Fingerprint, wait clock.Ms, other bool) {
	r, quarantined := c.quarantinedRecord(now, id)
	if !quarantined || r.fingerprint != id.Request {
		return fingerprint, 0, false
	}
	return id.Request, max(0, lastCrash(r.crashes)+otherCallerDelay-now), !slices.Contains(r.callers, id.CallerRequest)
}

// lastCrash returns the time of the latest crash, 0 if there is none.
func lastCrash(crashes []Crash) (last clock.Ms) {
	for _, crash := range crashes {
		last = max(last, crash.CrashedAt)
	}
	return last
}
