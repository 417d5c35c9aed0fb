package quarantine

import (
	"slices"

	"stiletrail/internal/clock"
)

// The rules. Rounds are counted as far as they follow each other and were not answered since (record.rounds).
//
//	suspect      one round; a place or a caller after wideRounds
//	withdraw     the other attempts of a request: endsToWithdraw ends under it, or one where it was suspect already
//	quarantine   Settings.Rounds rounds, and one more for each endsPerRound other back ends that ended within doubtFor, up to
//	             mostDoubt more
//	leave out    one shard, whose back ends a request ends while others answer it: shardRounds more than for a quarantine
//	refuse       a request whose place or caller has more than Settings.Rounds rounds, as if it were under quarantine
//	answer       any answer begins the count anew and ends a quarantine, unless it came from a version of the software that the
//	             request never ended
const (
	// wideRounds: with one, all that a caller asks would wait for a trial each time that a back end ends by itself under one of
	// its requests.
	wideRounds = 2
	// endsToWithdraw back ends that ended under one request that nobody has answered are no accident of one of them. With one,
	// requests whose back end ended by itself would lose the work of all other shards.
	endsToWithdraw = 2
	// shardRounds more are needed to leave out one shard: there is less to tell it by.
	shardRounds = 1
	// Back ends that end by themselves, as with a zone, take requests with them that have done nothing.
	doubtFor     = 2 * clock.Second
	endsPerRound = 3
	mostDoubt    = 2
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
	if _, found := c.quarantineOf(now, id); found {
		return Quarantined
	}
	for _, mark := range id.marks() {
		if r := c.records[mark]; r != nil && r.suspected() {
			return Suspect
		}
	}
	return Clear
}

// CancelOthers reports whether the other attempts of a request that nobody has answered are taken back, before they end more:
// suspect is whether it was sent to one back end at a time already, ends how many back ends have ended under it.
func CancelOthers(suspect bool, ends int) bool { return suspect || ends >= endsToWithdraw }

// quarantineOf gives the record by which a request is under quarantine.
func (c *Core) quarantineOf(now clock.Ms, id Identity) (r *record, found bool) {
	for _, mark := range []Fingerprint{id.Request, id.CallerRequest} {
		if r := c.records[mark]; r != nil && r.quarantined(now) {
			return r, true
		}
	}
	return nil, false
}

// quarantineIfDue puts a request under quarantine if its rounds are enough.
func (c *Core) quarantineIfDue(now clock.Ms, r *record) bool {
	if c.settings.Rounds == 0 || r.wide || r.rounds() < c.settings.Rounds+c.doubt(now, r) {
		return false
	}
	r.quarantinedAt, r.until, r.lifted = now, now+c.settings.Duration, false
	return true
}

// leaveOutIfDue keeps a request from one shard if its rounds there are enough, and more than elsewhere.
func (c *Core) leaveOutIfDue(now clock.Ms, r *record, service string) {
	rounds := r.shardRounds(service)
	if rounds < c.settings.Rounds+shardRounds+c.doubt(now, r) || rounds <= r.rounds() {
		return
	}
	if r.shardsUntil == nil {
		r.shardsUntil = map[string]clock.Ms{}
	}
	r.shardsUntil[service] = now + c.settings.Duration
}

// doubt is how many more rounds are asked for, by the back ends that ended of late without the request.
func (c *Core) doubt(now clock.Ms, r *record) int {
	others := 0
	for _, end := range c.ends {
		if now-end.CrashedAt <= doubtFor && !slices.Contains(r.backEnds, end.BackEnd) {
			others++
		}
	}
	return min(others/endsPerRound, mostDoubt)
}
