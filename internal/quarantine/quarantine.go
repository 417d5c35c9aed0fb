package quarantine

import (
	"slices"

	"stiletrail/internal/clock"
)

// Settings of a core.
type Settings struct {
	// Rounds of runs, each begun after the one before had ended its back end, and none answered, put a request under quarantine. 0 never does.
	Rounds int
	// For is how long it is under quarantine.
	For clock.Ms
}

// Bounds of what is remembered. An entry takes about a kilobyte at most, and none is made unless a back end has ended.
const (
	mostRecords  = 4096
	mostRuns     = 24
	mostBackEnds = 64
	mostVersions = 8
	mostAskers   = 8
	// keepFor is how long a request is suspected that has ended back ends and does not come again.
	keepFor = 3600 * clock.Second
	// shardRounds more are needed to leave out one shard, whose back ends a request ends while others answer it: there is less to tell it by.
	shardRounds = 1
)

// otherAfter is how long after the last end under a question another caller may ask it: one that asks it at the same time loses its back ends to the
// first one.
const otherAfter = 2 * clock.Second

// Back ends that end by themselves, as with a zone, take requests with them that have done nothing. Where, beside a request, so many others as
// endsPerRound ended within doubtFor, another round is asked for, up to mostDoubt.
const (
	doubtFor     = 2 * clock.Second
	endsPerRound = 3
	mostDoubt    = 2
	mostEnds     = 64
)

// Verdict on a request.
type Verdict int

// The verdicts.
const (
	// Clear: it may be sent to all that it asks for.
	Clear Verdict = iota
	// Suspect: back ends ended under it and none has answered it since. It may be sent to one back end at a time, until one answers.
	Suspect
	// Quarantined: it ends what runs it, and is sent to nobody.
	Quarantined
)

// String names the verdict in logs.
func (v Verdict) String() string { return [...]string{"clear", "suspect", "quarantined"}[v] }

// Run is that of a request at a back end that ended meanwhile.
type Run struct {
	Service string
	// BackEnd names one life of a back end, Version its software.
	BackEnd string
	Version string
	Began   clock.Ms
	Ended   clock.Ms
}

// Core is what a node knows of requests that have ended back ends. Its times are moments on the node's clock.
type Core struct {
	settings Settings
	records  map[Mark]*record
	// ends are the back ends that ended of late, whatever they ran.
	ends []Run
}

// New returns a core that suspects nobody.
func New(settings Settings) *Core { return &Core{settings: settings, records: map[Mark]*record{}} }

// Reconfigure changes the settings from now on.
func (c *Core) Reconfigure(settings Settings) { c.settings = settings }

// Len is the number of requests that something is remembered of.
func (c *Core) Len() int { return len(c.records) }

// Count is the number of requests under quarantine.
func (c *Core) Count(now clock.Ms) (count int) {
	for _, r := range c.records {
		if r.quarantined(now) {
			count++
		}
	}
	return count
}

// Verdict on a request as a whole.
func (c *Core) Verdict(now clock.Ms, id Identity) Verdict {
	if c.settings.Rounds == 0 {
		return Clear
	}
	if _, found := c.held(now, id); found {
		return Quarantined
	}
	for _, mark := range id.marks() {
		if r := c.records[mark]; r != nil && r.suspected() {
			return Suspect
		}
	}
	return Clear
}

// held gives the record by which a request is under quarantine.
func (c *Core) held(now clock.Ms, id Identity) (r *record, found bool) {
	for _, mark := range []Mark{id.Question, id.Asked} {
		if r := c.records[mark]; r != nil && r.quarantined(now) {
			return r, true
		}
	}
	return nil, false
}

// LeftOut reports whether a request is to be kept from one shard, whose back ends it ends while others answer it.
func (c *Core) LeftOut(now clock.Ms, id Identity, service string) bool {
	r := c.records[id.Question]
	return r != nil && c.settings.Rounds > 0 && now < r.shardsUntil[service]
}

// Left is how much longer a request is under quarantine at most, unless it ends more back ends; at least a second.
func (c *Core) Left(now clock.Ms, id Identity) clock.Ms {
	r, found := c.held(now, id)
	if !found {
		return 0
	}
	return c.left(now, r)
}

func (c *Core) left(now clock.Ms, r *record) clock.Ms {
	left := r.until - now
	if r.stored {
		// It goes with the store's item, which is as old as what this node has read of it, or older.
		left = max(left, r.storedAt+c.settings.For-now)
	}
	return max(left, clock.Second)
}

// Change is what has become of what is known of requests.
type Change struct {
	// Tell are the marks of which other nodes should know; First, that is by one round only, which an answer may soon make good.
	Tell  []Mark
	First bool
	// Judged are those that were put under quarantine, or are no longer.
	Judged []Mark
}

// Ended takes in that a back end ended under a request, and gives the verdict on it: a place or a caller whose requests go on ending back ends, one after
// the other and none answered, gets no second back end for another one.
func (c *Core) Ended(now clock.Ms, id Identity, run Run) (Verdict, Change) {
	c.noteEnd(now, run)
	var change Change
	// Where all that may be remembered is under quarantine a record of these may go again as the next one is made.
	known := map[Mark]*record{}
	for _, mark := range id.marks() {
		r := c.recordOf(now, mark)
		known[mark] = r
		r.wide = !id.holds(mark)
		grew := c.add(now, r, run)
		if grew {
			change.Tell = append(change.Tell, mark)
		}
		if _, held := c.held(now, id); grew && !held && c.convict(now, r) {
			change.Judged = append(change.Judged, mark)
		}
	}
	if known[id.Asked].rounds() >= c.settings.Rounds {
		known[id.Question].addAskers(id.Asked)
	}
	change.First = known[id.Question].rounds() <= 1 && known[id.Asked].rounds() <= 1
	verdict := c.Verdict(now, id)
	if c.settings.Rounds > 0 && max(known[id.Place].rounds(), known[id.Caller].rounds()) > c.settings.Rounds {
		verdict = Quarantined
	}
	return verdict, change
}

// convict puts a request under quarantine if its rounds are enough.
func (c *Core) convict(now clock.Ms, r *record) bool {
	if c.settings.Rounds == 0 || r.wide || r.rounds() < c.settings.Rounds+c.doubt(now, r) {
		return false
	}
	r.heldAt, r.until, r.lifted = now, now+c.settings.For, false
	return true
}

// add takes a run into a record and reports whether there are more rounds by it.
func (c *Core) add(now clock.Ms, r *record, run Run) (grew bool) {
	if slices.ContainsFunc(r.runs, func(known Run) bool { return known.BackEnd == run.BackEnd }) {
		return false
	}
	r.touched = now
	r.backEnds = appendNew(r.backEnds, run.BackEnd, mostBackEnds)
	r.versions = appendNew(r.versions, run.Version, mostVersions)
	r.sound = slices.DeleteFunc(r.sound, func(version string) bool { return version == run.Version })
	before, beforeAtShard := r.rounds(), r.shardRounds(run.Service)
	r.runs = append(r.runs, run)
	rounds, atShard := r.rounds(), r.shardRounds(run.Service)
	if len(r.runs) > mostRuns && rounds == before && atShard == beforeAtShard {
		r.runs = r.runs[:len(r.runs)-1]
	}
	if atShard >= c.settings.Rounds+shardRounds+c.doubt(now, r) && atShard > rounds {
		if r.shardsUntil == nil {
			r.shardsUntil = map[string]clock.Ms{}
		}
		r.shardsUntil[run.Service] = now + c.settings.For
	}
	return rounds > before
}

// Answered takes in that a back end answered a request: it does not end what runs it.
func (c *Core) Answered(now clock.Ms, id Identity, service, version string) (change Change) {
	for _, mark := range id.marks() {
		r := c.records[mark]
		if r == nil {
			continue
		}
		held, sound, rounds, told := r.quarantined(now), len(r.sound), r.rounds(), r.told
		c.acquit(now, r, now, service, version)
		judged := held != r.quarantined(now) || sound != len(r.sound)
		if judged {
			change.Judged = append(change.Judged, mark)
		}
		if told && (judged || rounds != r.rounds()) {
			change.Tell = append(change.Tell, mark)
		}
	}
	return change
}

// acquit takes in that a service answered a request at a moment. Where only other software than what answered is known to be ended by it, the request
// stays under quarantine there.
func (c *Core) acquit(now clock.Ms, r *record, at clock.Ms, service, version string) {
	r.touched = now
	if version != "" && r.quarantined(now) && !slices.Contains(r.versions, version) {
		r.sound = appendNew(r.sound, version, mostVersions)
		return
	}
	r.runs = slices.DeleteFunc(r.runs, func(run Run) bool { return run.Service == service && run.Ended <= at })
	delete(r.shardsUntil, service)
	if !r.answered || at > r.answeredAt {
		r.answered, r.answeredAt = true, at
	}
	r.lifted = r.lifted || r.quarantined(now)
	r.until, r.stored = 0, false
	if len(r.runs) == 0 && len(r.shardsUntil) == 0 {
		r.told = false
		r.backEnds, r.versions = nil, nil
	}
}

// Sound are the versions of software that are known to run a request that is under quarantine for others.
func (c *Core) Sound(now clock.Ms, id Identity) []string {
	if r, found := c.held(now, id); found {
		return slices.Clone(r.sound)
	}
	return nil
}

// Untried gives one of some versions that a request under quarantine has neither ended nor been answered by, and the mark that it is under quarantine
// by; false if there is none.
func (c *Core) Untried(now clock.Ms, id Identity, versions []string) (mark Mark, version string, found bool) {
	r, held := c.held(now, id)
	if !held || len(r.versions) == 0 {
		// What it has ended is not known here, so nothing is known to be new to it.
		return mark, "", false
	}
	for _, version := range versions {
		if version != "" && !slices.Contains(r.versions, version) && !slices.Contains(r.sound, version) {
			return r.mark, version, true
		}
	}
	return mark, "", false
}

// OtherCaller reports whether a request is under quarantine by what is asked alone, and this caller is none of those by whom it is; and how much longer
// the caller is not to ask it even so.
func (c *Core) OtherCaller(now clock.Ms, id Identity) (mark Mark, wait clock.Ms, other bool) {
	r, held := c.held(now, id)
	if !held || r.mark != id.Question {
		return mark, 0, false
	}
	return id.Question, max(0, lastEnded(r.runs)+otherAfter-now), !slices.Contains(r.askers, id.Asked)
}

// Held reports whether what bears a mark is under quarantine, and for how much longer at most.
func (c *Core) Held(now clock.Ms, mark Mark) (left clock.Ms, held bool) {
	if r := c.records[mark]; r != nil && r.quarantined(now) {
		return c.left(now, r), true
	}
	return 0, false
}

// doubt is how many more rounds are asked for, by the back ends that ended of late without the request.
func (c *Core) doubt(now clock.Ms, r *record) int {
	others := 0
	for _, end := range c.ends {
		if now-end.Ended <= doubtFor && !slices.Contains(r.backEnds, end.BackEnd) {
			others++
		}
	}
	return min(others/endsPerRound, mostDoubt)
}

// noteEnd remembers a back end that ended, once.
func (c *Core) noteEnd(now clock.Ms, run Run) {
	c.ends = slices.DeleteFunc(c.ends, func(end Run) bool { return now-end.Ended > doubtFor || end.BackEnd == run.BackEnd })
	if len(c.ends) < mostEnds {
		c.ends = append(c.ends, run)
	}
}

// recordOf returns the record of a request, a new one if there is none. Where there are too many the one goes that was not touched for longest, of
// those that are not under quarantine if there are any.
func (c *Core) recordOf(now clock.Ms, mark Mark) *record {
	if known := c.records[mark]; known != nil {
		return known
	}
	if len(c.records) >= mostRecords {
		var oldest *record
		for _, r := range c.records {
			if oldest == nil || less(now, r, oldest) {
				oldest = r
			}
		}
		delete(c.records, oldest.mark)
	}
	created := &record{mark: mark, touched: now}
	c.records[mark] = created
	return created
}

// Forget drops what has not been touched for long.
func (c *Core) Forget(now clock.Ms) {
	for mark, r := range c.records {
		if now-r.touched > keepFor && !r.quarantined(now) {
			delete(c.records, mark)
		}
	}
}
