package quarantine

import (
	"slices"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

// Bounds of a message. What is left out only delays a verdict.
const (
	mostRequestsSent = 32
	// mostRunsSent of each request.
	mostRunsSent = 6
	// longestAge bounds ages on the wire.
	longestAge = 3600 * clock.Second
	// sameMoment is by how much two accounts of one moment may differ, by what they took on their way.
	sameMoment = clock.Second / 2
)

// EvidenceOf gives what other nodes should know of some requests.
func (c *Core) EvidenceOf(now clock.Ms, marks ...Fingerprint) *message.Evidence {
	m := &message.Evidence{}
	for _, mark := range marks {
		if r := c.records[mark]; r != nil && len(m.Requests) < mostRequestsSent {
			r.addTo(m, now)
		}
	}
	return m
}

// AllEvidence gives all that other nodes should know, of the requests that matter most first; nil where there is nothing.
func (c *Core) AllEvidence(now clock.Ms) *message.Evidence {
	var all []*record
	for _, r := range c.records {
		if r.suspected() || r.until > now {
			all = append(all, r)
		}
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b *record) int {
		if less(now, b, a) {
			return -1
		}
		return 1
	})
	m := &message.Evidence{}
	for _, r := range all[:min(len(all), mostRequestsSent)] {
		r.addTo(m, now)
	}
	return m
}

// addTo adds what is known of a request to a message.
func (r *record) addTo(m *message.Evidence, now clock.Ms) {
	r.shared = true
	m.Requests = append(m.Requests, r.evidence(now))
}

func (r *record) evidence(now clock.Ms) message.RequestEvidence {
	sent := message.RequestEvidence{
		Mark: r.mark, QuarantineRemainingMs: age(r.until - now), EndedVersions: r.versions, SoundVersions: r.sound, Answered: r.answered, Shared: r.wide,
	}
	for _, asker := range r.askers {
		sent.CallerMarks = append(sent.CallerMarks, asker)
	}
	if sent.QuarantineRemainingMs > 0 {
		sent.QuarantinedForMs = age(now - r.quarantinedAt)
	}
	if r.answered {
		sent.AnsweredAgoMs = age(now - r.answeredAt)
	}
	for _, run := range r.runs[max(0, len(r.runs)-mostRunsSent):] {
		sent.Runs = append(sent.Runs, message.EndedRun{
			Service: run.Service, BackEnd: run.BackEnd, Version: run.Version, StartedAgoMs: age(now - run.StartedAt), EndedAgoMs: age(now - run.CrashedAt),
		})
	}
	return sent
}

func age(length clock.Ms) uint32 { return uint32(max(0, min(length, longestAge))) }

// Receive takes in what another node knows. What was seen there counts as what is seen here; a quarantine holds for as long as it
// would there.
func (c *Core) Receive(now clock.Ms, m *message.Evidence) (change Change) {
	for i := range m.Requests[:min(len(m.Requests), mostRequestsSent)] {
		c.receive(now, &m.Requests[i], &change)
	}
	return change
}

func (c *Core) receive(now clock.Ms, sent *message.RequestEvidence, change *Change) {
	mark := Fingerprint(sent.Mark)
	if c.records[mark] == nil && len(sent.Runs) == 0 && sent.QuarantineRemainingMs == 0 {
		return
	}
	r := c.recordOf(now, mark)
	r.wide, r.shared = sent.Shared, true
	before := r.quarantined(now)
	news := r.receiveAnswer(now, sent)
	news = c.receiveRuns(now, r, sent) || news
	r.receiveDetails(sent)
	news = r.receiveQuarantine(now, sent) || news
	news = r.receiveSound(sent) || news
	if news && !before && r.until <= now {
		c.quarantineIfDue(now, r)
	}
	after := r.quarantined(now)
	if after != before {
		change.VerdictChanged = append(change.VerdictChanged, mark)
	}
	if news || after != before {
		change.Share = append(change.Share, mark)
	}
}

// receiveAnswer takes in that a back end answered the request, and reports whether that changes anything.
func (r *record) receiveAnswer(now clock.Ms, sent *message.RequestEvidence) (news bool) {
	answeredAt := now - clock.Ms(sent.AnsweredAgoMs)
	if !sent.Answered || r.answered && answeredAt <= r.answeredAt+sameMoment {
		return false
	}
	quarantined := r.quarantined(now)
	news = r.rounds() > 0 || quarantined
	r.answered, r.answeredAt = true, answeredAt
	if r.quarantinedAt <= answeredAt {
		r.lifted = r.lifted || quarantined
		r.until, r.stored = 0, false
	}
	return news
}

// receiveRuns takes in runs that ended their back ends, and reports whether there are more rounds by them.
func (c *Core) receiveRuns(now clock.Ms, r *record, sent *message.RequestEvidence) (news bool) {
	for _, run := range sent.Runs[:min(len(sent.Runs), mostRunsSent)] {
		grew := c.addRun(now, r, Crash{
			Service: run.Service, BackEnd: run.BackEnd, Version: run.Version,
			StartedAt: now - clock.Ms(run.StartedAgoMs), CrashedAt: now - clock.Ms(run.EndedAgoMs),
		})
		news = news || grew
	}
	return news
}

// receiveDetails takes in who asked the request, and which versions it ended.
func (r *record) receiveDetails(sent *message.RequestEvidence) {
	for _, asker := range sent.CallerMarks[:min(len(sent.CallerMarks), mostAskers)] {
		r.addAskers(asker)
	}
	r.versions = appendAll(r.versions, sent.EndedVersions)
}

// receiveQuarantine takes in that the request is under quarantine elsewhere, and reports whether it was not so here.
func (r *record) receiveQuarantine(now clock.Ms, sent *message.RequestEvidence) (news bool) {
	quarantinedAt, until := now-clock.Ms(sent.QuarantinedForMs), now+clock.Ms(min(sent.QuarantineRemainingMs, uint32(longestAge)))
	// An answer after the beginning has ended it, whoever has not heard of that yet.
	over := r.answered && r.answeredAt >= quarantinedAt
	if sent.QuarantineRemainingMs > 0 && until > r.until+sameMoment && !over {
		news = r.until <= now
		r.quarantinedAt, r.until, r.lifted = quarantinedAt, until, false
	}
	return news
}

// receiveSound takes in which versions answer the request, and reports whether one of them is new here.
func (r *record) receiveSound(sent *message.RequestEvidence) (news bool) {
	for _, version := range sent.SoundVersions {
		if !slices.Contains(r.sound, version) {
			r.sound = appendNew(r.sound, version, mostVersions)
			news = true
		}
	}
	return news
}
