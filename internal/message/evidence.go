package message

import (
	"slices"

	"stiletrail/internal/clock"
)

// Evidence contains what a node knows of requests that crashed back ends. All ages and durations are in
// milliseconds.
type Evidence struct {
	Requests []RequestEvidence
	// SentAt is the reading of the sender's clock when the message is sent, to which the ages are relative. It is 0 if the
	// sender is of a release without such readings.
	SentAt uint64
}

// RequestEvidence contains what a node knows of one request.
type RequestEvidence struct {
	// Fingerprint identifies the request; 16 bytes.
	Fingerprint [16]byte
	// Aggregate is set if the fingerprint covers many different requests, such as all requests of a caller.
	Aggregate bool
	// Crashes holds the executions of the request whose back ends crashed, since the request was last answered.
	Crashes []Crash
	// Answered is set if a back end has answered the request. AnsweredAgoMs is how long ago it did.
	Answered      bool
	AnsweredAgoMs uint32
	// QuarantineRemainingMs is for how much longer the request is quarantined, or 0 if it is not. QuarantinedForMs
	// is for how long it has been quarantined.
	QuarantineRemainingMs uint32
	QuarantinedForMs      uint32
	// CrashedVersions holds the software versions of the back ends that the request crashed. SafeVersions holds
	// those that answer it.
	CrashedVersions []string
	SafeVersions    []string
	// CallerFingerprints identifies the callers whose requests crashed back ends.
	CallerFingerprints [][16]byte
}

// Crash is an execution of a request at a back end that crashed during it.
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
		list(c, &r.CallerFingerprints, func(c *codec, caller *[16]byte) { c.fixed(caller) })
	})
	c.optionalUint64(&m.SentAt)
}

// WithAge implements Aged.
func (m *Evidence) WithAge(waited clock.Ms) Message {
	later := uint32(waited)
	older := &Evidence{Requests: make([]RequestEvidence, len(m.Requests))}
	if m.SentAt > 0 {
		older.SentAt = m.SentAt + uint64(waited)
	}
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

// WithoutAnswers returns the evidence without what it says of answers. An answer ends what crashes before it have begun, so
// one whose time is not known must not count.
func (m *Evidence) WithoutAnswers() *Evidence {
	reduced := &Evidence{Requests: slices.Clone(m.Requests), SentAt: m.SentAt}
	for i := range reduced.Requests {
		reduced.Requests[i].Answered, reduced.Requests[i].AnsweredAgoMs = false, 0
	}
	return reduced
}

// For implements Versioned.
func (m *Evidence) For(version Version) Message {
	switch {
	case version == VersionUnknown:
		m = m.WithoutAnswers()
		m.SentAt = 0
	case version < VersionClocks:
		m = &Evidence{Requests: m.Requests}
	}
	return m
}
