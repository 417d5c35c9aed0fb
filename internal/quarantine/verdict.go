package quarantine

import (
	"slices"

	"stiletrail/internal/clock"
)

// The rules. Rounds are counted as far as they follow each other and were not answered since (record.rounds).
//
//	suspect      one round; a place or a caller after wideRounds
//	withdraw     the other attempts of a request: endsToWithdraw ends under it, or one where it was suspect already
//	quarantine   Settings.Rounds rounds, and one more for each unrelatedCrashesPerRound other back ends that ended within doubtFor, up to
//	             maximumExtraRounds more
//	leave out    one shard, whose back ends a request ends while others answer it: shardRounds more than for a quarantine
//	refuse       a request whose place or caller has more than Settings.Rounds rounds, as if it were under quarantine
//	answer       any answer begins the count anew and ends a quarantine, unless it came from a version of the software that the
//	             request never ended
const (
	// aggregateRounds: with one, all that a caller asks would wait for a trial each time that a back end ends by itself under one of
	// its requests.
	aggregateRounds = 2
	// crashesToCancel back ends that ended under one request that nobody has answered are no accident of one of them. With one,
	// requests whose back end ended by itself would lose the work of all other shards.
	crashesToCancel = 2
	// extraShardRounds more are needed to leave out one shard: there is less to tell it by.
	extraShardRounds = 1
	// Back ends that end by themselves, as with a zone, take requests with them that have done nothing.
	unrelatedCrashWindow     = 2 * clock.Second
	unrelatedCrashesPerRound = 3
	maximumExtraRounds       = 2
)

// Verdict on a request.
type Verdict int

// The verdicts.
const (
	// Clear: it may be sent to all that it asks for.
	Clear Verdict = iota
	// Suspect: back ends ended under it and none has answered it since. It may be sent to one back end at a time, until one
	// answers.
	Suspect
	// Quarantined: it ends what runs it, and is sent to nobody.
	Quarantined
)

// String names the verdict in logs.
func (v Verdict) String() string { return [...]string{"clear", "suspect", "quarantined"}[v] }

// Verdict on a request as a whole.
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

// CancelOthers reports whether the other attempts of a request that nobody has answered are taken back, before they end more:
// suspect is whether it was sent to one back end at a time already, ends how many back ends have ended under it.
func CancelOthers(suspect bool, crashes int) bool { return suspect || crashes >= crashesToCancel }

// quarantinedRecord gives the record by which a request is under quarantine.
func (c *Core) quarantinedRecord(now clock.Ms, id Identity) (r *record, found bool) {
	for _, fingerprint := range []Fingerprint{id.Request, id.CallerRequest} {
		if r := c.records[fingerprint]; r != nil && r.quarantined(now) {
			return r, true
		}
	}
	return nil, false
}

// quarantineIfDue puts a request under quarantine if its rounds are enough.
func (c *Core) quarantineIfDue(now clock.Ms, r *record) bool {
	if c.settings.Rounds == 0 || r.aggregate || r.rounds() < c.settings.Rounds+c.extraRounds(now, r) {
		return false
	}
	r.quarantinedAt, r.quarantinedUntil, r.lifted = now, now+c.settings.Duration, false
	return true
}

// excludeShardIfDue keeps a request from one shard if its rounds there are enough, and more than elsewhere.
func (c *Core) excludeShardIfDue(now clock.Ms, r *record, service string) {
	rounds := r.shardRounds(service)
	if rounds < c.settings.Rounds+extraShardRounds+c.extraRounds(now, r) || rounds <= r.rounds() {
		return
	}
	if r.shardsExcludedUntil == nil {
		r.shardsExcludedUntil = map[string]clock.Ms{}
	}
	r.shardsExcludedUntil[service] = now + c.settings.Duration
}

// extraRounds is how many more rounds are asked for, by the back ends that ended of late without the request.
func (c *Core) extraRounds(now clock.Ms, r *record) int {
	others := 0
	for _, crash := range c.recentCrashes {
		if now-crash.CrashedAt <= unrelatedCrashWindow && !slices.Contains(r.crashedBackEnds, crash.BackEnd) {
			others++
		}
	}
	return min(others/unrelatedCrashesPerRound, maximumExtraRounds)
}
