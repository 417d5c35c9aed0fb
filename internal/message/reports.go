package message

import (
	"math"

	"stiletrail/internal/clock"
)

// BackEndReports contains what nodes have recently observed of back ends.
type BackEndReports struct {
	Reports []BackEndReport
}

// BackEndReport is what a node has recently observed of one back end; 13 bytes.
type BackEndReport struct {
	// BackEnd is the hash of the back end's id.
	BackEnd uint64
	// SlowdownSixteenths is the latency of work at the back end, in sixteenths of the usual latency.
	SlowdownSixteenths uint16
	// FaultPercent is the share of attempts that failed, in percent.
	FaultPercent uint8
	// AgeMs is how long ago this was observed, in milliseconds.
	AgeMs uint16
}

// Kind implements Message.
func (*BackEndReports) Kind() Kind { return KindBackEndReports }
func (m *BackEndReports) fields(c *codec) {
	list(c, &m.Reports, func(c *codec, r *BackEndReport) { c.fixed(r) })
}

// WithAge implements Aged.
func (m *BackEndReports) WithAge(waited clock.Ms) Message {
	older := &BackEndReports{Reports: make([]BackEndReport, len(m.Reports))}
	for i, r := range m.Reports {
		r.AgeMs = uint16(min(clock.Ms(r.AgeMs)+waited, math.MaxUint16))
		older.Reports[i] = r
	}
	return older
}
