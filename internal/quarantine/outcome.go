package quarantine

import (
	"slices"

	"stiletrail/internal/clock"
)

// Crash is that of a request at a back end that ended meanwhile.
type Crash struct {
	Service string
	// BackEnd names one life of a back end, Version its software.
	BackEnd   string
	Version   string
	StartedAt clock.Ms
	CrashedAt clock.Ms
}

// Change is what has become of what is known of requests.
type Change struct {
	// Share are the marks of which other nodes should know; First, that is by one round only, which an answer may soon make good.
	Share      []Fingerprint
	FirstRound bool
	// VerdictChanged are those that were put under quarantine, or are no longer.
	VerdictChanged []Fingerprint
}

// RecordCrash takes in that a back end ended under a request, and gives the verdict on it: a place or a caller whose requests go on
// ending back ends, one after the other and none answered, gets no second back end for another one.
func (c *Core) RecordCrash(now clock.Ms, id Identity, crash Crash) (Verdict, Change) {
	c.addRecentCrash(now, crash)
	var change Change
	// Where all that may be remembered is under quarantine a record of these may go again as the next one is made.
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

// addRecentCrash remembers a back end that ended, once.
func (c *Core) addRecentCrash(now clock.Ms, crash Crash) {
	c.recentCrashes = slices.DeleteFunc(c.recentCrashes, func(recent Crash) bool {
		return now-recent.CrashedAt > unrelatedCrashWindow || recent.BackEnd == crash.BackEnd
	})
	if len(c.recentCrashes) < maximumRecentCrashes {
		c.recentCrashes = append(c.recentCrashes, crash)
	}
}

// addCrash takes a run into a record and reports whether there are more rounds by it.
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

// RecordAnswer takes in that a back end answered a request: it does not end what runs it.
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

// recordAnswer takes in that a version of a service's software has answered the request just now. Where only other versions than
// this one are known to be ended by it, the request stays under quarantine there.
func (r *record) recordAnswer(now clock.Ms, service, version string) {
	r.updatedAt = now
	if version != "" && r.quarantined(now) && !slices.Contains(r.crashedVersions, version) {
		r.safeVersions = appendNew(r.safeVersions, version, maximumVersions)
		return
	}
	r.crashes = slices.DeleteFunc(r.crashes, func(crash Crash) bool { return crash.Service == service && crash.CrashedAt <= now })
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
