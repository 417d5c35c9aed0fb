// Package healthreport decides what nodes tell each other of back ends that are slow or faulty, and what they pass on.
//
// A node that gets few requests meets a back end that has turned slow late, and knows it alone. What it meets is told to a few
// nodes, each of which passes it on once where it is news to it: a change reaches all nodes in as many steps as the logarithm
// of their number, and each node sends the same few messages however many there are.
//
// The package owns what was last reported of each back end. It does no I/O, reads no clock and has no lock: callers give the
// time and serialise calls.
package healthreport

import (
	"math"
	"slices"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

const (
	// faultyFrom and veryFaultyFrom are the shares of recent attempts that failed from which on a back end is reported as faulty:
	// two failures in a row of a sound one.
	faultyFrom     = 0.4
	veryFaultyFrom = 0.7
	// repeatAfter is how long after a report of a slow or faulty back end it is reported again where it still is: half of the time
	// for which nodes go by a report.
	repeatAfter = clock.Second
	// keptFor is how long a report is kept to tell news by.
	keptFor = 3 * clock.Second
	// maximumReports of a message: 420 bytes.
	maximumReports = 32
	// slowdownUnit stands for the usual speed in a message; maximumSlowdown is the slowest that is reported.
	slowdownUnit    = 16
	maximumSlowdown = 60
	// faultUnit stands in a message for a back end at which all attempts fail.
	faultUnit = 100
	// maximumAge of a report that is taken in.
	maximumAge = 2 * clock.Second
)

// Report is what a node met at a back end.
type Report struct {
	// BackEnd is the hash of its incarnation, so that one that was started again is another one.
	BackEnd uint64
	// Slowdown is how long work takes there as a multiple of the usual; Faults is the share of recent attempts that failed.
	Slowdown  float64
	FaultRate float64
	// ObservedAt is when it was met.
	ObservedAt clock.Ms
}

// level of a report: one more for each doubling of the slowdown and for each threshold of faults.
func (r Report) level() (level int) {
	if r.Slowdown > 1 {
		level = int(math.Round(math.Log2(r.Slowdown)))
	}
	switch {
	case r.FaultRate >= veryFaultyFrom:
		level += 2
	case r.FaultRate >= faultyFrom:
		level++
	}
	return level
}

// latest is the last report of a back end, by this node or another, and when it was queued for others.
type latest struct {
	report   Report
	queuedAt clock.Ms
}

// Core is what one node has reported and was told. It is not safe for concurrent use.
type Core struct {
	latest map[uint64]latest
	// pending are the back ends of which others are to be told, in the order in which there was news.
	pending []uint64
}

// New returns a Core that knows nothing.
func New() *Core { return &Core{latest: map[uint64]latest{}} }

// Observe takes in what this node met itself, and reports whether there is something to tell.
func (c *Core) Observe(now clock.Ms, r Report) (pending bool) {
	before, found := c.latest[r.BackEnd]
	if found && now-before.report.ObservedAt > keptFor {
		before = latest{}
	}
	level := r.level()
	switch {
	case level == before.report.level() && (level == 0 || now-before.queuedAt < repeatAfter):
		return false
	case level == 0 && !found:
		return false
	}
	c.queue(now, r)
	return true
}

// Receive takes in what another node reports, and returns what is news, which is queued to be passed on.
func (c *Core) Receive(now clock.Ms, m *message.BackEndReports) (news []Report) {
	for _, received := range m.Reports {
		age := clock.Ms(received.AgeMs)
		r := Report{
			BackEnd:    received.BackEnd,
			Slowdown:   float64(received.SlowdownSixteenths) / slowdownUnit,
			FaultRate:  float64(received.FailurePercent) / faultUnit,
			ObservedAt: now - age,
		}
		if age > maximumAge || r.FaultRate > 1 || r.Slowdown > maximumSlowdown || !c.isNews(r) {
			continue
		}
		news = append(news, r)
		c.queue(now, r)
	}
	return news
}

// isNews reports whether a report of another node is later than the last one, and by enough where it says the same.
func (c *Core) isNews(r Report) bool {
	before, found := c.latest[r.BackEnd]
	if !found {
		return true
	}
	if r.level() == before.report.level() {
		return r.ObservedAt >= before.report.ObservedAt+repeatAfter/2
	}
	return r.ObservedAt > before.report.ObservedAt
}

func (c *Core) queue(now clock.Ms, r Report) {
	c.latest[r.BackEnd] = latest{report: r, queuedAt: now}
	if !slices.Contains(c.pending, r.BackEnd) {
		c.pending = append(c.pending, r.BackEnd)
	}
}

// NextMessage gives what is to be told now, nil where there is nothing. What does not fit comes with the next message.
func (c *Core) NextMessage(now clock.Ms) *message.BackEndReports {
	if len(c.pending) == 0 {
		return nil
	}
	m := &message.BackEndReports{}
	count := min(len(c.pending), maximumReports)
	for _, id := range c.pending[:count] {
		r := c.latest[id].report
		m.Reports = append(m.Reports, message.BackEndReport{
			BackEnd:            id,
			SlowdownSixteenths: uint16(math.Round(slowdownUnit * min(max(r.Slowdown, 0), maximumSlowdown))),
			FailurePercent:     uint8(math.Round(faultUnit * r.FaultRate)),
			AgeMs:              uint16(min(max(now-r.ObservedAt, 0), maximumAge)),
		})
	}
	c.pending = slices.Delete(c.pending, 0, count)
	return m
}

// Pending reports whether there is more to tell.
func (c *Core) Pending() bool { return len(c.pending) > 0 }

// Forget drops reports that are no longer kept.
func (c *Core) Forget(now clock.Ms) {
	for id, known := range c.latest {
		if now-known.report.ObservedAt > keptFor && !slices.Contains(c.pending, id) {
			delete(c.latest, id)
		}
	}
}
