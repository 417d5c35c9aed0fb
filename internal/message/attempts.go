package message

import (
	"math"

	"stiletrail/internal/clock"
)

// AttemptCounts contains what a node has counted of its attempts at back ends since its last message.
type AttemptCounts struct {
	// AgeMs is how long ago they were counted, in milliseconds.
	AgeMs  uint16
	Counts []AttemptCount
}

// AttemptCount has the attempts of one node at one back end; 13 bytes.
type AttemptCount struct {
	// BackEnd is the hash of the back end's incarnation.
	BackEnd uint64
	// Sent is the number of attempts that have ended. Refused were refused by a back end that did not report its load,
	// Unreachable found no connection.
	Sent        uint8
	Refused     uint8
	Unreachable uint8
	// BusyMs is the sum of the times that accepted attempts took, in milliseconds.
	BusyMs uint16
}

// Kind implements Message.
func (*AttemptCounts) Kind() Kind { return KindAttemptCounts }
func (m *AttemptCounts) fields(c *codec) {
	c.fixed(&m.AgeMs)
	list(c, &m.Counts, func(c *codec, count *AttemptCount) { c.fixed(count) })
}

// WithAge implements Aged.
func (m *AttemptCounts) WithAge(waited clock.Ms) Message {
	return &AttemptCounts{AgeMs: olderBy(m.AgeMs, waited), Counts: m.Counts}
}

// AttemptSums contains the sums of the attempts of a group of nodes.
type AttemptSums struct {
	// AgeMs is how long ago they were added up, in milliseconds.
	AgeMs uint16
	Sums  []AttemptSum
}

// AttemptSum has the attempts of a group of nodes at one back end, weighted by their age; 16 bytes.
type AttemptSum struct {
	// BackEnd is the hash of the back end's incarnation.
	BackEnd uint64
	// The numbers of attempts are in tenths, and otherwise as in AttemptCount.
	SentTenths        uint16
	RefusedTenths     uint16
	UnreachableTenths uint16
	BusyMs            uint16
}

// Kind implements Message.
func (*AttemptSums) Kind() Kind { return KindAttemptSums }
func (m *AttemptSums) fields(c *codec) {
	c.fixed(&m.AgeMs)
	list(c, &m.Sums, func(c *codec, sum *AttemptSum) { c.fixed(sum) })
}

// WithAge implements Aged.
func (m *AttemptSums) WithAge(waited clock.Ms) Message {
	return &AttemptSums{AgeMs: olderBy(m.AgeMs, waited), Sums: m.Sums}
}

// BackEndVerdicts contains all back ends that a node holds to be at fault, and the services whose counts it asks for.
type BackEndVerdicts struct {
	// AgeMs is how long ago the verdicts were reached, in milliseconds.
	AgeMs    uint16
	Verdicts []BackEndVerdict
	// Watched has the hashes of the names of services.
	Watched []uint64
}

// BackEndVerdict is what is held against a back end; 10 bytes.
type BackEndVerdict struct {
	// BackEnd is the hash of the back end's incarnation.
	BackEnd uint64
	// RefusedPercent is the share of attempts that it refuses, in percent, or 0 if it refuses no more than its siblings.
	RefusedPercent uint8
	// Unreachable is set if no connections to it can be established.
	Unreachable bool
}

// Kind implements Message.
func (*BackEndVerdicts) Kind() Kind { return KindBackEndVerdicts }
func (m *BackEndVerdicts) fields(c *codec) {
	c.fixed(&m.AgeMs)
	list(c, &m.Verdicts, walkBackEndVerdict)
	list(c, &m.Watched, (*codec).uint64)
}

func walkBackEndVerdict(c *codec, v *BackEndVerdict) {
	c.uint64(&v.BackEnd)
	c.uint8(&v.RefusedPercent)
	c.bool(&v.Unreachable)
}

// WithAge implements Aged.
func (m *BackEndVerdicts) WithAge(waited clock.Ms) Message {
	return &BackEndVerdicts{AgeMs: olderBy(m.AgeMs, waited), Verdicts: m.Verdicts, Watched: m.Watched}
}

// olderBy adds the time for which a message waited to an age in milliseconds.
func olderBy(age uint16, waited clock.Ms) uint16 {
	return uint16(min(clock.Ms(age)+waited, math.MaxUint16))
}
