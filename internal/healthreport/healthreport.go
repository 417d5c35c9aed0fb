// Package healthreport decides what nodes tell each other about slow or faulty back ends, and what they forward.
//
// A node that gets few requests notices late that a back end has become slow, and the other nodes do not learn of it.
// Therefore a node reports what it observes to a few nodes. Each of these forwards a report once if it is news to it. A
// change reaches all nodes in a number of steps that grows with the logarithm of the number of nodes. Each node sends
// the same small number of messages, however many nodes there are.
//
// The package owns the latest report about each back end. It does no I/O, reads no clock and has no lock: callers
// supply the time and serialise their calls.
package healthreport

import (
	"math"
	"slices"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

const (
	// faultyThreshold and veryFaultyThreshold are shares of recent attempts that failed. A back end is reported as
	// faulty from the first one on, which two consecutive failures of a healthy back end exceed.
	faultyThreshold     = 0.4
	veryFaultyThreshold = 0.7
	// repeatInterval is the time, in milliseconds, after which a back end that is still slow or faulty is reported
	// again. It is half of the time for which nodes use a report.
	repeatInterval = clock.Second
	// reportLifetime is how long, in milliseconds, a report is kept to compare later ones with.
	reportLifetime = 3 * clock.Second
	// maximumReports is the number of reports in one message; they take 420 bytes.
	maximumReports = 32
	// slowdownScale is the encoded value of the usual speed. maximumSlowdown is the greatest slowdown that is reported.
	slowdownScale   = 16
	maximumSlowdown = 60
	// faultScale is the encoded fault rate of a back end at which all attempts fail.
	faultScale = 100
	// maximumAge is the age, in milliseconds, beyond which a received report is ignored.
	maximumAge = 2 * clock.Second
)

// Report is what a node observed at a back end.
type Report struct {
	// BackEnd is the hash of the back end's incarnation. A back end that restarts has another hash.
	BackEnd uint64
	// Slowdown is how many times longer than usual work takes at the back end. FaultRate is the share of recent
	// attempts there that failed, from 0 to 1.
	Slowdown  float64
	FaultRate float64
	// ObservedAt is the time of the observation.
	ObservedAt clock.Ms
}

// severity returns the severity of a report: one for each doubling of the slowdown, plus one for each threshold that
// the fault rate reaches.
func (r Report) severity() (severity int) {
	if r.Slowdown > 1 {
		severity = int(math.Round(math.Log2(r.Slowdown)))
	}
	switch {
	case r.FaultRate >= veryFaultyThreshold:
		severity += 2
	case r.FaultRate >= faultyThreshold:
		severity++
	}
	return severity
}

// latest is the last report about a back end, from this node or another, and the time at which it was queued for other
// nodes.
type latest struct {
	report   Report
	queuedAt clock.Ms
}

// Core holds what one node has observed and received. It is not safe for concurrent use.
type Core struct {
	latest map[uint64]latest
	// pending lists the back ends about which other nodes are still to be told, in the order in which the news arose.
	pending []uint64
}

// New returns a Core without reports.
func New() *Core { return &Core{latest: map[uint64]latest{}} }

// Observe records an observation of this node. It reports whether the observation was queued for other nodes: if its
// severity has changed, or if the back end is still slow or faulty and the last report is repeatInterval old.
func (c *Core) Observe(now clock.Ms, r Report) (pending bool) {
	before, found := c.latest[r.BackEnd]
	if found && now-before.report.ObservedAt > reportLifetime {
		before = latest{}
	}
	severity := r.severity()
	switch {
	case severity == before.report.severity() && (severity == 0 || now-before.queuedAt < repeatInterval):
		return false
	case severity == 0 && !found:
		return false
	}
	c.queue(now, r)
	return true
}

// Receive records the reports of another node. It returns those that are news and queues them to be forwarded.
func (c *Core) Receive(now clock.Ms, m *message.BackEndReports) (news []Report) {
	for _, received := range m.Reports {
		age := clock.Ms(received.AgeMs)
		r := Report{
			BackEnd:    received.BackEnd,
			Slowdown:   float64(received.SlowdownSixteenths) / slowdownScale,
			FaultRate:  float64(received.FaultPercent) / faultScale,
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

// isNews reports whether a report of another node is news: it must be later than the last report, and at least half of
// repeatInterval later if the severity is the same.
func (c *Core) isNews(r Report) bool {
	before, found := c.latest[r.BackEnd]
	if !found {
		return true
	}
	if r.severity() == before.report.severity() {
		return r.ObservedAt >= before.report.ObservedAt+repeatInterval/2
	}
	return r.ObservedAt > before.report.ObservedAt
}

// queue stores a report and queues it for other nodes.
func (c *Core) queue(now clock.Ms, r Report) {
	c.latest[r.BackEnd] = latest{report: r, queuedAt: now}
	if !slices.Contains(c.pending, r.BackEnd) {
		c.pending = append(c.pending, r.BackEnd)
	}
}

// NextMessage returns the reports that are to be sent now, or nil if there are none. Reports that do not fit are left
// for the next message.
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
			SlowdownSixteenths: uint16(math.Round(slowdownScale * min(max(r.Slowdown, 0), maximumSlowdown))),
			FaultPercent:       uint8(math.Round(faultScale * r.FaultRate)),
			AgeMs:              uint16(min(max(now-r.ObservedAt, 0), maximumAge)),
		})
	}
	c.pending = slices.Delete(c.pending, 0, count)
	return m
}

// Pending reports whether there are more reports to send.
func (c *Core) Pending() bool { return len(c.pending) > 0 }

// Forget deletes reports older than reportLifetime that have been sent.
func (c *Core) Forget(now clock.Ms) {
	for id, known := range c.latest {
		if now-known.report.ObservedAt > reportLifetime && !slices.Contains(c.pending, id) {
			delete(c.latest, id)
		}
	}
}
