// Package hearsay decides what nodes tell each other of back ends that are slow or faulty, and what they pass on.
//
// A node that gets two requests a second meets a back end that has turned slow late and knows it alone. What it meets is told to a few nodes, each of
// which passes it on once where it is news to it, so that a change reaches all in as many steps as the logarithm of their number, and a node sends the
// same few messages however many there are. The package does no I/O and reads no clock.
package hearsay

import (
	"math"
	"slices"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

const (
	// faultyFrom and veryFaultyFrom are the shares of attempts of late that failed from which on a back end is told as faulty: two in a row of a sound one.
	faultyFrom     = 0.4
	veryFaultyFrom = 0.7
	// repeatAfter is how long after a back end was told as slow or faulty it is told again where it still is: what was heard is believed for two seconds.
	repeatAfter = clock.Second
	// believedFor is how long what was told of a back end is compared with.
	believedFor = 3 * clock.Second
	// mostTold bounds a message: 32 reports are 420 bytes; four such messages each 150 ms are 11 kB a second, the most that a node sends.
	mostTold = 32
	// paceUnit is told for the usual pace, mostPace is the slowest that is told.
	paceUnit = 16
	mostPace = 60
	// faultUnit is told where all attempts fail.
	faultUnit = 100
	// mostAge of what is taken in.
	mostAge = 2 * clock.Second
)

// Report is what a node met at a back end.
type Report struct {
	// BackEnd is the hash of its id, so that one that was started again is another one.
	BackEnd uint64
	// Pace is how long work takes there as a multiple of the usual; Faults is the share of attempts of late that failed.
	Pace   float64
	Faults float64
	// SeenAt is when it was met.
	SeenAt clock.Ms
}

// level of a report: a step is twice the pace, or a step of faults.
func (r Report) level() (level int) {
	if r.Pace > 1 {
		level = int(math.Round(math.Log2(r.Pace)))
	}
	switch {
	case r.Faults >= veryFaultyFrom:
		level += 2
	case r.Faults >= faultyFrom:
		level++
	}
	return level
}

// known is what was last told or heard of a back end.
type known struct {
	report Report
	toldAt clock.Ms
}

// Core is what one node has told and heard. It is not safe for concurrent use.
type Core struct {
	known   map[uint64]known
	pending []uint64
}

// New returns a Core that knows nothing.
func New() *Core { return &Core{known: map[uint64]known{}} }

// Note takes in what this node met itself, and reports whether there is something to tell.
func (c *Core) Note(now clock.Ms, r Report) (due bool) {
	before, found := c.known[r.BackEnd]
	if found && now-before.report.SeenAt > believedFor {
		before = known{}
	}
	level := r.level()
	switch {
	case level == before.report.level() && (level == 0 || now-before.toldAt < repeatAfter):
		return false
	case level == 0 && !found:
		return false
	}
	c.tell(now, r)
	return true
}

// Hear takes in what another node told, and returns what is news, which is to be told on.
func (c *Core) Hear(now clock.Ms, m *message.BackEndReports) (news []Report) {
	for _, told := range m.Reports {
		r := Report{
			BackEnd: told.BackEnd, Pace: float64(told.Pace) / paceUnit, Faults: float64(told.Faults) / faultUnit, SeenAt: now - clock.Ms(told.AgeMs),
		}
		before, found := c.known[r.BackEnd]
		if clock.Ms(told.AgeMs) > mostAge || r.Faults > 1 || r.Pace > mostPace || (found && r.SeenAt < before.report.SeenAt+repeatAfter/2 && r.level() == before.report.level()) ||
			(found && r.SeenAt <= before.report.SeenAt) {
			continue
		}
		news = append(news, r)
		c.tell(now, r)
	}
	return news
}

func (c *Core) tell(now clock.Ms, r Report) {
	c.known[r.BackEnd] = known{report: r, toldAt: now}
	if !slices.Contains(c.pending, r.BackEnd) {
		c.pending = append(c.pending, r.BackEnd)
	}
}

// Take gives what is to be told now, nil where there is nothing. What does not fit comes with the next message.
func (c *Core) Take(now clock.Ms) *message.BackEndReports {
	if len(c.pending) == 0 {
		return nil
	}
	m := &message.BackEndReports{}
	count := min(len(c.pending), mostTold)
	for _, id := range c.pending[:count] {
		r := c.known[id].report
		m.Reports = append(m.Reports, message.BackEndReport{
			BackEnd: id, Pace: uint16(math.Round(paceUnit * min(max(r.Pace, 0), mostPace))), Faults: uint8(math.Round(faultUnit * r.Faults)),
			AgeMs: uint16(min(max(now-r.SeenAt, 0), mostAge)),
		})
	}
	c.pending = slices.Delete(c.pending, 0, count)
	return m
}

// Pending reports whether there is more to tell.
func (c *Core) Pending() bool { return len(c.pending) > 0 }

// Forget drops what is older than anybody goes by.
func (c *Core) Forget(now clock.Ms) {
	for id, k := range c.known {
		if now-k.report.SeenAt > believedFor && !slices.Contains(c.pending, id) {
			delete(c.known, id)
		}
	}
}
