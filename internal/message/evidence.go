package message

import "stiletrail/internal/clock"

// Evidence says what a node knows of requests that have ended back ends. Ages and lengths are in milliseconds.
type Evidence struct {
	Requests []RequestEvidence
}

// RequestEvidence is what is known of one request.
type RequestEvidence struct {
	// Fingerprint of the request; 16 bytes.
	Fingerprint [16]byte
	// Aggregate: the mark is one of many different requests, such as those of a caller.
	Aggregate bool
	// Crashes whose back ends ended, none of which was answered since.
	Crashes []Crash
	// Answered: a back end has answered the request, AnsweredMs ago.
	Answered      bool
	AnsweredAgoMs uint32
	// QuarantineRemainingMs is how much longer the request is kept from back ends, 0 where it is not; HeldMs for how long it has been.
	QuarantineRemainingMs uint32
	QuarantinedForMs      uint32
	// CrashedVersions of the back ends' software that the request ended, sound ones that answer it.
	CrashedVersions []string
	SafeVersions    []string
	// CallerFingerprints are the marks of those who asked when it ended back ends.
	CallerFingerprints [][16]byte
}

// Crash is a run of a request at a back end that ended meanwhile.
type Crash struct {
	Service      string
	BackEnd      string
	Version      string
	StartedAgoMs uint32
	CrashedAgoMs uint32
}

// Kind implements Message.
func (*Evidence) Kind() Kind { return KindEvidence }
func (m *Evidence) fields(c *codec) {
	list(c, &m.Requests, func(c *codec, r *RequestEvidence) {
		c.fixed(&r.Fingerprint)
		c.bool(&r.Aggregate)
		list(c, &r.Crashes, func(c *codec, run *Crash) {
			c.string(&run.Service)
			c.string(&run.BackEnd)
			c.string(&run.Version)
			c.uint32(&run.StartedAgoMs)
			c.uint32(&run.CrashedAgoMs)
		})
		c.bool(&r.Answered)
		c.uint32(&r.AnsweredAgoMs)
		c.uint32(&r.QuarantineRemainingMs)
		c.uint32(&r.QuarantinedForMs)
		list(c, &r.CrashedVersions, (*codec).string)
		list(c, &r.SafeVersions, (*codec).string)
		list(c, &r.CallerFingerprints, func(c *codec, asker *[16]byte) { c.fixed(asker) })
	})
}

// WithAge implements Aged.
func (m *Evidence) WithAge(waited clock.Ms) Message {
	later := uint32(waited)
	older := &Evidence{Requests: make([]RequestEvidence, len(m.Requests))}
	for i, r := range m.Requests {
		runs := make([]Crash, len(r.Crashes))
		for n, run := range r.Crashes {
			run.StartedAgoMs += later
			run.CrashedAgoMs += later
			runs[n] = run
		}
		r.Crashes = runs
		r.AnsweredAgoMs += later
		r.QuarantinedForMs += later
		r.QuarantineRemainingMs -= min(r.QuarantineRemainingMs, later)
		older.Requests[i] = r
	}
	return older
}
