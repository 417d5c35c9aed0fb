package quarantine

import (
	"slices"

	"stiletrail/internal/clock"
)

// These are the rules. Rounds count only if they follow each other and the request was not answered since
// (record.rounds).
//
//	suspect      one round; aggregateRounds rounds for a resource or a caller
//	cancel       the other attempts of a request: after crashesToCancel crashes during the request, or after one crash
//	             if the request was already suspect
//	quarantine   Settings.Rounds rounds, plus one more for each unrelatedCrashesPerRound other back ends that crashed
//	             within unrelatedCrashWindow, up to maximumExtraRounds more
//	exclude      one shard, if the request crashes its back ends while other shards answer: extraShardRounds more
//	             rounds than for a quarantine
//	refuse       a request whose resource or caller has more than Settings.Rounds rounds, as if it were quarantined
//	answer       any answer restarts the count and ends a quarantine, unless it came from a software version that the
//	             request never crashed
const (
	// aggregateRounds is the number of rounds after which a resource or a caller is suspect. If one round sufficed, all
	// requests of a caller would wait for a trial each time a back end crashed by itself during one of them.
	aggregateRounds = 2
	// crashesToCancel is the number of crashes during one unanswered request that are taken for more than a
	// coincidence. If one crash sufficed, requests whose back end crashed by itself would lose the work of all other
	// shards.
	crashesToCancel = 2
	// extraShardRounds is the number of additional rounds that excluding one shard requires, because there is less
	// evidence for it.
	extraShardRounds = 1
	// Back ends that crash by themselves, for example with their zone, take down requests that are not the cause.
	// Therefore each unrelatedCrashesPerRound crashes of other back ends within unrelatedCrashWindow raise the required
	// rounds by one, by at most maximumExtraRounds.
	unrelatedCrashWindow     = 2 * clock.Second
	unrelatedCrashesPerRound = 3
	maximumExtraRounds       = 2
)

// Verdict is the current assessment of a request.
type Verdict int

// The verdicts.
const (
	// Clear means that the request may be sent to all back ends that it needs.
	Clear Verdict = iota
	// Suspect means that back ends crashed during the request and none has answered it since. It may be sent to one
	// back end at a time, until one answers.
	Suspect
	// Quarantined means that the request crashes back ends and is not sent to any.
	Quarantined
)

// String returns the name of the verdict in logs.
func (v Verdict) String() string { return [...]string{"clear", "suspect", "quarantined"}[v] }

// Verdict returns the verdict on a request.
func (c *Core) Verdict(now clock.Ms, id Identity) Verdict {
	if c.settings.Rounds == 0 {
		return Clear
	}
	if _, found := c.quarantinedRecord(now, id); found {
		return Quarantined
	}
	for _, fingerprint := range id.fingerprints() {
		if r := c.records[fingerprint]; r != nil && r.suspect() {
			return Suspect
		}
	}
	return Clear
}

// CancelOthers reports whether the other attempts of an unanswered request are cancelled before they crash more back
// ends. suspect states whether the request was already sent to one back end at a time; crashes is the number of back
// ends that have crashed during it.
func CancelOthers(suspect bool, crashes int) bool { return suspect || crashes >= crashesToCancel }

// quarantinedRecord returns the record because of which a request is quarantined.
func (c *Core) quarantinedRecord(now clock.Ms, id Identity) (r *record, found bool) {
	for _, fingerprint := range []Fingerprint{id.Request, id.CallerRequest} {
		if r := c.records[fingerprint]; r != nil && r.quarantined(now) {
			return r, true
		}
	}
	return nil, false
}

// quarantineIfDue quarantines a request if it has enough rounds, and reports whether it did.
func (c *Core) quarantineIfDue(now clock.Ms, r *record) bool {
	if c.settings.Rounds == 0 || r.aggregate || r.rounds() < c.settings.Rounds+c.extraRounds(now, r) {
		return false
	}
	r.quarantinedAt, r.quarantinedUntil, r.lifted = now, now+c.settings.Duration, false
	return true
}

// excludeShardIfDue excludes a shard for a request if the request has enough rounds there, and more than overall.
func (c *Core) excludeShardIfDue(now clock.Ms, r *record, service string) {
	if c.settings.Rounds == 0 {
		return
	}
	rounds := r.shardRounds(service)
	if rounds < c.settings.Rounds+extraShardRounds+c.extraRounds(now, r) || rounds <= r.rounds() {
		return
	}
	if r.shardsExcludedUntil == nil {
		r.shardsExcludedUntil = map[string]clock.Ms{}
	}
	r.shardsExcludedUntil[service] = now + c.settings.Duration
}

// extraRounds returns the number of additional rounds that a quarantine requires, because of recent crashes of back
// ends that did not process the request.
func (c *Core) extraRounds(now clock.Ms, r *record) int {
	others := 0
	for _, crash := range c.recentCrashes {
		if now-crash.CrashedAt <= unrelatedCrashWindow && !slices.Contains(r.crashedBackEnds, crash.BackEnd) {
			others++
		}
	}
	return min(others/unrelatedCrashesPerRound, maximumExtraRounds)
}
