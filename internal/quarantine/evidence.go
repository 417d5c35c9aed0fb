package quarantine

import (
	"slices"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

// These constants limit a message. What does not fit delays the verdicts of other nodes, but does not change them.
const (
	maximumRequestsSent = 32
	// maximumCrashesSent is the number of crashes that are sent for each request.
	maximumCrashesSent = 6
	// maximumAge is the greatest age that is sent or accepted, in milliseconds.
	maximumAge = 3600 * clock.Second
	// timeTolerance is how much the times of one event may differ between nodes, because a message takes time to
	// arrive.
	timeTolerance = clock.Second / 2
)

// EvidenceOf returns a message with what other nodes should know about the given requests.
func (c *Core) EvidenceOf(now clock.Ms, fingerprints ...Fingerprint) *message.Evidence {
	m := &message.Evidence{}
	for _, fingerprint := range fingerprints {
		if r := c.records[fingerprint]; r != nil && len(m.Requests) < maximumRequestsSent {
			r.addTo(m, now)
		}
	}
	return m
}

// AllEvidence returns a message with everything that other nodes should know, or nil if there is nothing. If not
// everything fits, the records that would be deleted last are sent.
func (c *Core) AllEvidence(now clock.Ms) *message.Evidence {
	var all []*record
	for _, r := range c.records {
		if r.suspect() || r.quarantinedUntil > now {
			all = append(all, r)
		}
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b *record) int {
		if forgottenBefore(now, b, a) {
			return -1
		}
		return 1
	})
	m := &message.Evidence{}
	for _, r := range all[:min(len(all), maximumRequestsSent)] {
		r.addTo(m, now)
	}
	return m
}

// addTo adds the record to a message and marks it as shared with other nodes.
func (r *record) addTo(m *message.Evidence, now clock.Ms) {
	r.shared = true
	m.Requests = append(m.Requests, r.evidence(now))
}

// evidence returns the record as it is sent to other nodes. Times are sent as ages, since the nodes' clocks differ.
func (r *record) evidence(now clock.Ms) message.RequestEvidence {
	sent := message.RequestEvidence{
		Fingerprint: r.fingerprint, QuarantineRemainingMs: age(r.quarantinedUntil - now), CrashedVersions: r.crashedVersions,
		SafeVersions: r.safeVersions, Answered: r.answered, Aggregate: r.aggregate,
	}
	for _, caller := range r.callers {
		sent.CallerFingerprints = append(sent.CallerFingerprints, caller)
	}
	if sent.QuarantineRemainingMs > 0 {
		sent.QuarantinedForMs = age(now - r.quarantinedAt)
	}
	if r.answered {
		sent.AnsweredAgoMs = age(now - r.answeredAt)
	}
	for _, crash := range r.crashes[max(0, len(r.crashes)-maximumCrashesSent):] {
		sent.Crashes = append(sent.Crashes, message.Crash{
			Service: crash.Service, BackEnd: crash.BackEnd, Version: crash.Version,
			StartedAgoMs: age(now - crash.StartedAt), CrashedAgoMs: age(now - crash.CrashedAt),
		})
	}
	return sent
}

// age returns a length of time as it is sent: from 0 to maximumAge, in milliseconds.
func age(length clock.Ms) uint32 { return uint32(max(0, min(length, maximumAge))) }

// Receive merges what another node knew at the moment sentAt, and returns the resulting changes. Crashes and answers that the
// other node has observed count like those observed here. A quarantine lasts here as long as it lasts there.
func (c *Core) Receive(now, sentAt clock.Ms, m *message.Evidence) (change Change) {
	for i := range m.Requests[:min(len(m.Requests), maximumRequestsSent)] {
		c.receive(now, sentAt, &m.Requests[i], &change)
	}
	return change
}

// receive merges the evidence about one request and adds the result to change.
func (c *Core) receive(now, sentAt clock.Ms, sent *message.RequestEvidence, change *Change) {
	fingerprint := Fingerprint(sent.Fingerprint)
	if c.records[fingerprint] == nil && len(sent.Crashes) == 0 && sent.QuarantineRemainingMs == 0 {
		return
	}
	r := c.records[fingerprint]
	if r == nil {
		r = c.recordOf(now, fingerprint)
		r.aggregate = sent.Aggregate
	}
	r.shared = true
	before := r.quarantined(now)
	news := r.receiveAnswer(now, sentAt, sent)
	news = c.receiveCrashes(now, sentAt, r, sent) || news
	r.receiveDetails(sent)
	news = r.receiveQuarantine(now, sentAt, sent) || news
	news = r.receiveSafeVersions(sent) || news
	if news && !before && r.quarantinedUntil <= now {
		c.quarantineIfDue(now, r)
	}
	after := r.quarantined(now)
	if after != before {
		change.VerdictChanged = append(change.VerdictChanged, fingerprint)
	}
	if news || after != before {
		change.Share = append(change.Share, fingerprint)
	}
}

// receiveAnswer records that a back end answered the request, and reports whether this changes the record.
func (r *record) receiveAnswer(now, sentAt clock.Ms, sent *message.RequestEvidence) (news bool) {
	answeredAt := sentAt - clock.Ms(sent.AnsweredAgoMs)
	if !sent.Answered || r.answered && answeredAt <= r.answeredAt+timeTolerance {
		return false
	}
	quarantined := r.quarantined(now)
	news = r.rounds() > 0 || quarantined
	r.answered, r.answeredAt = true, answeredAt
	if r.quarantinedAt <= answeredAt {
		r.lifted = r.lifted || quarantined
		r.quarantinedUntil, r.stored = 0, false
	}
	return news
}

// receiveCrashes records crashes during executions of the request, and reports whether they add rounds.
func (c *Core) receiveCrashes(now, sentAt clock.Ms, r *record, sent *message.RequestEvidence) (news bool) {
	for _, crash := range sent.Crashes[:min(len(sent.Crashes), maximumCrashesSent)] {
		newRound := c.addCrash(now, r, Crash{
			Service: crash.Service, BackEnd: crash.BackEnd, Version: crash.Version,
			StartedAt: sentAt - clock.Ms(crash.StartedAgoMs), CrashedAt: sentAt - clock.Ms(crash.CrashedAgoMs),
		})
		news = news || newRound
	}
	return news
}

// receiveDetails records which callers sent the request and which software versions it crashed.
func (r *record) receiveDetails(sent *message.RequestEvidence) {
	for _, caller := range sent.CallerFingerprints[:min(len(sent.CallerFingerprints), maximumCallers)] {
		r.addCallers(caller)
	}
	r.crashedVersions = appendAll(r.crashedVersions, sent.CrashedVersions)
}

// receiveQuarantine records that another node has quarantined the request, and reports whether it was not quarantined
// here.
func (r *record) receiveQuarantine(now, sentAt clock.Ms, sent *message.RequestEvidence) (news bool) {
	quarantinedAt, until := sentAt-clock.Ms(sent.QuarantinedForMs), sentAt+clock.Ms(min(sent.QuarantineRemainingMs, uint32(maximumAge)))
	// An answer after the quarantine began has ended it, even if the sender has not heard of that answer yet.
	answeredSince := r.answered && r.answeredAt >= quarantinedAt
	if sent.QuarantineRemainingMs > 0 && until > r.quarantinedUntil+timeTolerance && !answeredSince {
		news = r.quarantinedUntil <= now
		r.quarantinedAt, r.quarantinedUntil, r.lifted = quarantinedAt, until, false
	}
	return news
}

// receiveSafeVersions records which software versions answer the request, and reports whether one of them is new here.
func (r *record) receiveSafeVersions(sent *message.RequestEvidence) (news bool) {
	for _, version := range sent.SafeVersions {
		if !slices.Contains(r.safeVersions, version) {
			r.safeVersions = appendNew(r.safeVersions, version, maximumVersions)
			news = true
		}
	}
	return news
}
