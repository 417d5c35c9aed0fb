package message

import (
	"math"

	"stiletrail/internal/clock"
)

// BackEndReports say what nodes met at back ends of late.
type BackEndReports struct {
	Reports []BackEndReport
}

// BackEndReport is what was met at one back end; 13 bytes.
type BackEndReport struct {
	// BackEnd is the hash of its id.
	BackEnd uint64
	// SlowdownSixteenths is how long work takes there, in sixteenths of the usual.
	SlowdownSixteenths uint16
	// FaultPercent is the share of attempts that failed, in hundredths.
	FaultPercent uint8
	// AgeMs is how long ago that was met, in milliseconds.
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
