package quarantine

import (
	"slices"

	"stiletrail/internal/clock"
)

// Crash is one execution of a request during which the back end's process ended.
type Crash struct {
	Service string
	// BackEnd identifies the incarnation of the back end; Version is the version of its software.
	BackEnd   string
	Version   string
	StartedAt clock.Ms
	CrashedAt clock.Ms
}

// Change lists what a call has changed in the records.
type Change struct {
	// Share lists the fingerprints about which other nodes should be told. FirstRound is set if the request has crashed
	// back ends in one round only: an answer, which may follow soon, would clear it again.
	Share      []Fingerprint
	FirstRound bool
	// VerdictChanged lists the fingerprints that were put under quarantine or released, or for which another version
	// became safe.
	VerdictChanged []Fingerprint
}

// RecordCrash records that a back end crashed during a request, and returns the verdict on the request. If requests to
// one resource, or of one caller, go on crashing back ends in successive rounds without an answer, the verdict for the
// next one is Quarantined: it is not tried on a second back end.
func (c *Core) RecordCrash(now clock.Ms, id Identity, crash Crash) (Verdict, Change) {
	c.addRecentCrash(now, crash)
	var change Change
	// The records are also kept in this map. If all records of the Core are quarantined, creating a record may delete
	// the one created just before.
	known := map[Fingerprint]*record{}
	for _, fingerprint := range id.fingerprints() {
		r := c.recordOf(now, fingerprint)
		known[fingerprint] = r
		r.aggregate = !id.canBeQuarantined(fingerprint)
		newRound := c.addCrash(now, r, crash)
		if newRound {
			change.Share = append(change.Share, fingerprint)
		}
		if _, already := c.quarantinedRecord(now, id); newRound && !already && c.quarantineIfDue(now, r) {
			change.VerdictChanged = append(change.VerdictChanged, fingerprint)
		}
	}
	if known[id.CallerRequest].rounds() >= c.settings.Rounds {
		known[id.Request].addCallers(id.CallerRequest)
	}
	change.FirstRound = known[id.Request].rounds() <= 1 && known[id.CallerRequest].rounds() <= 1
	verdict := c.Verdict(now, id)
	if c.settings.Rounds > 0 && max(known[id.Resource].rounds(), known[id.Caller].rounds()) > c.settings.Rounds {
		verdict = Quarantined
	}
	return verdict, change
}

// addRecentCrash adds the crash to the recent ones, once per back end.
func (c *Core) addRecentCrash(now clock.Ms, crash Crash) {
	c.recentCrashes = slices.DeleteFunc(c.recentCrashes, func(recent Crash) bool {
		return now-recent.CrashedAt > unrelatedCrashWindow || recent.BackEnd == crash.BackEnd
	})
	if len(c.recentCrashes) < maximumRecentCrashes {
		c.recentCrashes = append(c.recentCrashes, crash)
	}
}

// addCrash adds a crash to a record and reports whether this increases the number of rounds.
func (c *Core) addCrash(now clock.Ms, r *record, crash Crash) (newRound bool) {
	if slices.ContainsFunc(r.crashes, func(known Crash) bool { return known.BackEnd == crash.BackEnd }) {
		return false
	}
	r.updatedAt = now
	r.crashedBackEnds = appendNew(r.crashedBackEnds, crash.BackEnd, maximumBackEnds)
	r.crashedVersions = appendNew(r.crashedVersions, crash.Version, maximumVersions)
	r.safeVersions = slices.DeleteFunc(r.safeVersions, func(version string) bool { return version == crash.Version })
	before, beforeAtShard := r.rounds(), r.shardRounds(crash.Service)
	r.crashes = append(r.crashes, crash)
	newRound = r.rounds() > before
	if len(r.crashes) > maximumCrashes && r.rounds() == before && r.shardRounds(crash.Service) == beforeAtShard {
		r.crashes = r.crashes[:len(r.crashes)-1]
	}
	c.excludeShardIfDue(now, r, crash.Service)
	return newRound
}

// RecordAnswer records that a back end answered a request, so the request does not crash it.
func (c *Core) RecordAnswer(now clock.Ms, id Identity, service, version string) (change Change) {
	for _, fingerprint := range id.fingerprints() {
		r := c.records[fingerprint]
		if r == nil {
			continue
		}
		quarantined, safe, rounds, shared := r.quarantined(now), len(r.safeVersions), r.rounds(), r.shared
		r.recordAnswer(now, service, version)
		verdictChanged := quarantined != r.quarantined(now) || safe != len(r.safeVersions)
		if verdictChanged {
			change.VerdictChanged = append(change.VerdictChanged, fingerprint)
		}
		if shared && (verdictChanged || rounds != r.rounds()) {
			change.Share = append(change.Share, fingerprint)
		}
	}
	return change
}

// recordAnswer records that a version of a service's software has just answered the request. If only other versions are
// known to crash, the request stays quarantined for those.
func (r *record) recordAnswer(now clock.Ms, service, version string) {
	r.updatedAt = now
	if version != "" && r.quarantined(now) && !slices.Contains(r.crashedVersions, version) {
		r.safeVersions = appendNew(r.safeVersions, version, maximumVersions)
		return
	}
	r.crashes = slices.DeleteFunc(r.crashes, func(crash Crash) bool {
		return crash.Service == service && crash.CrashedAt <= now
	})
	delete(r.shardsExcludedUntil, service)
	if !r.answered || now > r.answeredAt {
		r.answered, r.answeredAt = true, now
	}
	r.lifted = r.lifted || r.quarantined(now)
	r.quarantinedUntil, r.stored = 0, false
	if len(r.crashes) == 0 && len(r.shardsExcludedUntil) == 0 {
		r.shared = false
		r.crashedBackEnds, r.crashedVersions = nil, nil
	}
}
