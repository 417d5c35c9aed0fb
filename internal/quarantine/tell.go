package quarantine

import (
	"slices"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

// Bounds of a message: the requests of one, and the runs that are told of each. What is left out only delays a verdict.
const (
	mostTold     = 32
	mostRunsTold = 6
)

// longestAge bounds ages on the wire.
const longestAge = 3600 * clock.Second

// Tell gives what other nodes should know of some requests.
func (c *Core) Tell(now clock.Ms, marks ...Mark) *message.Evidence {
	m := &message.Evidence{}
	for _, mark := range marks {
		if r := c.records[mark]; r != nil && len(m.Requests) < mostTold {
			r.told = true
			m.Requests = append(m.Requests, r.tell(now))
		}
	}
	return m
}

// TellAll gives all that other nodes should know, of the requests that matter most first; nil where there is nothing.
func (c *Core) TellAll(now clock.Ms) *message.Evidence {
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
	for _, r := range all[:min(len(all), mostTold)] {
		r.told = true
		m.Requests = append(m.Requests, r.tell(now))
	}
	return m
}

func (r *record) tell(now clock.Ms) message.RequestEvidence {
	told := message.RequestEvidence{Mark: r.mark, QuarantinedMs: age(r.until - now), Versions: r.versions, Sound: r.sound, Answered: r.answered, Wide: r.wide}
	for _, asker := range r.askers {
		told.Askers = append(told.Askers, asker)
	}
	if told.QuarantinedMs > 0 {
		told.HeldMs = age(now - r.heldAt)
	}
	if r.answered {
		told.AnsweredMs = age(now - r.answeredAt)
	}
	for _, run := range r.runs[max(0, len(r.runs)-mostRunsTold):] {
		told.Runs = append(told.Runs, message.EndedRun{
			Service: run.Service, BackEnd: run.BackEnd, Version: run.Version, BeganMs: age(now - run.Began), EndedMs: age(now - run.Ended),
		})
	}
	return told
}

func age(length clock.Ms) uint32 { return uint32(max(0, min(length, longestAge))) }

// Receive takes in what another node knows. What was seen there counts as what is seen here; a quarantine holds for as long as it would there.
func (c *Core) Receive(now clock.Ms, m *message.Evidence) (change Change) {
	for i := range m.Requests[:min(len(m.Requests), mostTold)] {
		c.receive(now, &m.Requests[i], &change)
	}
	return change
}

func (c *Core) receive(now clock.Ms, told *message.RequestEvidence, change *Change) {
	mark := Mark(told.Mark)
	if c.records[mark] == nil && len(told.Runs) == 0 && told.QuarantinedMs == 0 {
		return
	}
	r := c.recordOf(now, mark)
	r.wide, r.told = told.Wide, true
	before := r.quarantined(now)
	more := false
	if answeredAt := now - clock.Ms(told.AnsweredMs); told.Answered && (!r.answered || answeredAt > r.answeredAt+sameMoment) {
		more = r.rounds() > 0 || before
		r.answered, r.answeredAt = true, answeredAt
		if r.heldAt <= answeredAt {
			r.lifted = r.lifted || before
			r.until, r.stored = 0, false
		}
	}
	for _, run := range told.Runs[:min(len(told.Runs), mostRunsTold)] {
		grew := c.add(now, r, Run{
			Service: run.Service, BackEnd: run.BackEnd, Version: run.Version, Began: now - clock.Ms(run.BeganMs), Ended: now - clock.Ms(run.EndedMs),
		})
		more = more || grew
	}
	for _, asker := range told.Askers[:min(len(told.Askers), mostAskers)] {
		r.addAskers(asker)
	}
	for _, version := range told.Versions {
		r.versions = appendNew(r.versions, version, mostVersions)
	}
	heldAt, until := now-clock.Ms(told.HeldMs), now+clock.Ms(min(told.QuarantinedMs, uint32(longestAge)))
	// An answer after the beginning has ended it, whoever has not heard of that yet.
	over := r.answered && r.answeredAt >= heldAt
	if told.QuarantinedMs > 0 && until > r.until+sameMoment && !over {
		more = more || r.until <= now
		r.heldAt, r.until, r.lifted = heldAt, until, false
	}
	for _, version := range told.Sound {
		if !slices.Contains(r.sound, version) {
			r.sound = appendNew(r.sound, version, mostVersions)
			more = true
		}
	}
	if more && !before && r.until <= now {
		c.convict(now, r)
	}
	after := r.quarantined(now)
	if after != before {
		change.Judged = append(change.Judged, mark)
	}
	if more || after != before {
		change.Tell = append(change.Tell, mark)
	}
}

// sameMoment is by how much two accounts of one moment may differ, by what they took on their way.
const sameMoment = 500 * clock.Ms(1)

func lastEnded(runs []Run) (last clock.Ms) {
	for _, run := range runs {
		last = max(last, run.Ended)
	}
	return last
}
