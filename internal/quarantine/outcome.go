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
func (c *Core) RecordCrash(now clock.Ms, id Identity, run Crash) (Verdict, Change) {
	c.noteEnd(now, run)
	var change Change
	// Where all that may be remembered is under quarantine a record of these may go again as the next one is made.
	known := map[Fingerprint]*record{}
	for _, mark := range id.marks() {
		r := c.recordOf(now, mark)
		known[mark] = r
		r.wide = !id.mayBeQuarantined(mark)
		grew := c.addRun(now, r, run)
		if grew {
			change.Share = append(change.Share, mark)
		}
		if _, already := c.quarantineOf(now, id); grew && !already && c.quarantineIfDue(now, r) {
			change.VerdictChanged = append(change.VerdictChanged, mark)
		}
	}
	if known[id.CallerRequest].rounds() >= c.settings.Rounds {
		known[id.Request].addAskers(id.CallerRequest)
	}
	change.FirstRound = known[id.Request].rounds() <= 1 && known[id.CallerRequest].rounds() <= 1
	verdict := c.Verdict(now, id)
	if c.settings.Rounds > 0 && max(known[id.Resource].rounds(), known[id.Caller].rounds()) > c.settings.Rounds {
		verdict = Quarantined
	}
	return verdict, change
}

// noteEnd remembers a back end that ended, once.
func (c *Core) noteEnd(now clock.Ms, run Crash) {
	c.ends = slices.DeleteFunc(c.ends, func(end Crash) bool {
		return now-end.CrashedAt > doubtFor || end.BackEnd == run.BackEnd
	})
	if len(c.ends) < mostEnds {
		c.ends = append(c.ends, run)
	}
}

// addRun takes a run into a record and reports whether there are more rounds by it.
func (c *Core) addRun(now clock.Ms, r *record, run Crash) (grew bool) {
	if slices.ContainsFunc(r.runs, func(known Crash) bool { return known.BackEnd == run.BackEnd }) {
		return false
	}
	r.touched = now
	r.backEnds = appendNew(r.backEnds, run.BackEnd, mostBackEnds)
	r.versions = appendNew(r.versions, run.Version, mostVersions)
	r.sound = slices.DeleteFunc(r.sound, func(version string) bool { return version == run.Version })
	before, beforeAtShard := r.rounds(), r.shardRounds(run.Service)
	r.runs = append(r.runs, run)
	grew = r.rounds() > before
	if len(r.runs) > mostRuns && r.rounds() == before && r.shardRounds(run.Service) == beforeAtShard {
		r.runs = r.runs[:len(r.runs)-1]
	}
	c.leaveOutIfDue(now, r, run.Service)
	return grew
}

// RecordAnswer takes in that a back end answered a request: it does not end what runs it.
func (c *Core) RecordAnswer(now clock.Ms, id Identity, service, version string) (change Change) {
	for _, mark := range id.marks() {
		r := c.records[mark]
		if r == nil {
			continue
		}
		quarantined, sound, rounds, shared := r.quarantined(now), len(r.sound), r.rounds(), r.shared
		r.answeredBy(now, service, version)
		judged := quarantined != r.quarantined(now) || sound != len(r.sound)
		if judged {
			change.VerdictChanged = append(change.VerdictChanged, mark)
		}
		if shared && (judged || rounds != r.rounds()) {
			change.Share = append(change.Share, mark)
		}
	}
	return change
}

// answeredBy takes in that a version of a service's software has answered the request just now. Where only other versions than
// this one are known to be ended by it, the request stays under quarantine there.
func (r *record) answeredBy(now clock.Ms, service, version string) {
	r.touched = now
	if version != "" && r.quarantined(now) && !slices.Contains(r.versions, version) {
		r.sound = appendNew(r.sound, version, mostVersions)
		return
	}
	r.runs = slices.DeleteFunc(r.runs, func(run Crash) bool { return run.Service == service && run.CrashedAt <= now })
	delete(r.shardsUntil, service)
	if !r.answered || now > r.answeredAt {
		r.answered, r.answeredAt = true, now
	}
	r.lifted = r.lifted || r.quarantined(now)
	r.until, r.stored = 0, false
	if len(r.runs) == 0 && len(r.shardsUntil) == 0 {
		r.shared = false
		r.backEnds, r.versions = nil, nil
	}
}
