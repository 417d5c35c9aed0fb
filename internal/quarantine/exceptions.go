package quarantine

import (
	"slices"

	"stiletrail/internal/clock"
)

// otherCallerDelay is how long after the last end under a question another caller may ask it: one that asks it at the same time loses
// its back ends to the first one.
const otherCallerDelay = 2 * clock.Second

// ShardExcluded reports whether a request is to be kept from one shard, whose back ends it ends while others answer it.
func (c *Core) ShardExcluded(now clock.Ms, id Identity, service string) bool {
	r := c.records[id.Request]
	return r != nil && c.settings.Rounds > 0 && now < r.shardsExcludedUntil[service]
}

// Remaining is how much longer a request is under quarantine at most, unless it ends more back ends; at least a second, and 0 where it
// is not.
func (c *Core) Remaining(now clock.Ms, id Identity) clock.Ms {
	r, found := c.quarantinedRecord(now, id)
	if !found {
		return 0
	}
	return c.remaining(now, r)
}

// RemainingOf reports whether what bears a mark is under quarantine, and for how much longer at most.
func (c *Core) RemainingOf(now clock.Ms, fingerprint Fingerprint) (remaining clock.Ms, quarantined bool) {
	if r := c.records[fingerprint]; r != nil && r.quarantined(now) {
		return c.remaining(now, r), true
	}
	return 0, false
}

func (c *Core) remaining(now clock.Ms, r *record) clock.Ms {
	remaining := r.quarantinedUntil - now
	if r.stored {
		// It goes with the store's item, which is as old as what this node has read of it, or older.
		remaining = max(remaining, r.storedAt+c.settings.Duration-now)
	}
	return max(remaining, clock.Second)
}

// SafeVersions are the versions of software that are known to run a request that is under quarantine for others.
func (c *Core) SafeVersions(now clock.Ms, id Identity) []string {
	if r, found := c.quarantinedRecord(now, id); found {
		return slices.Clone(r.safeVersions)
	}
	return nil
}

// UntriedVersion gives one of some versions that a request under quarantine has neither ended nor been answered by, and the mark that it
// is under quarantine by; false if there is none.
func (c *Core) UntriedVersion(now clock.Ms, id Identity, versions []string) (fingerprint Fingerprint, version string, found bool) {
	r, quarantined := c.quarantinedRecord(now, id)
	if !quarantined || len(r.crashedVersions) == 0 {
		// What it has ended is not known here, so nothing is known to be new to it.
		return fingerprint, "", false
	}
	for _, version := range versions {
		if version != "" && !slices.Contains(r.crashedVersions, version) && !slices.Contains(r.safeVersions, version) {
			return r.fingerprint, version, true
		}
	}
	return fingerprint, "", false
}

// OtherCaller reports whether a request is under quarantine by what is asked alone, and this caller is none of those by whom it
// is; and how much longer the caller is not to ask it even so.
func (c *Core) OtherCaller(now clock.Ms, id Identity) (fingerprint Fingerprint, wait clock.Ms, other bool) {
	r, quarantined := c.quarantinedRecord(now, id)
	if !quarantined || r.fingerprint != id.Request {
		return fingerprint, 0, false
	}
	return id.Request, max(0, lastCrash(r.crashes)+otherCallerDelay-now), !slices.Contains(r.callers, id.CallerRequest)
}

func lastCrash(crashes []Crash) (last clock.Ms) {
	for _, crash := range crashes {
		last = max(last, crash.CrashedAt)
	}
	return last
}
