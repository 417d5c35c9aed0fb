package sharedhealth

import (
	"cmp"
	"math"
	"slices"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

const (
	// activeFor is how long, in milliseconds, a node sends the counts of a service after it has met a refusal or an
	// unreachable back end there, or after a collector has asked for them.
	activeFor = 2 * clock.Second
	// keptFor is how long, in milliseconds, attempts at a service that is not active are kept. They show how its back
	// ends behaved just before the first refusal.
	keptFor = clock.Second
	// maximumCounts is the number of back ends in one message of counts; they take 312 bytes. With two collectors and a
	// message each Interval, that is 6.7 KB a second.
	maximumCounts = 24
)

// ownCounts are the attempts at a back end that were not sent to the collectors yet.
type ownCounts struct {
	service uint64
	since   clock.Ms
	// reached is the number of attempts that found a connection, and refused the number of those that were refused.
	// unreachable is the number of attempts since then that found none.
	reached, refused, unreachable uint64
	busy                          clock.Ms
}

// record counts an attempt. One that finds a connection disproves earlier ones that found none.
func (c *ownCounts) record(result Result, busy clock.Ms) {
	switch result {
	case Unreachable:
		c.unreachable++
		return
	case Refused:
		c.refused++
	case Accepted:
		c.busy += busy
	}
	c.reached++
	c.unreachable = 0
}

// Recorder counts the attempts of this node. It is not safe for concurrent use.
type Recorder struct {
	counts map[uint64]*ownCounts
	// activeUntil has the services whose counts are sent.
	activeUntil map[uint64]clock.Ms
	// forgotAt is when what is too old was last dropped.
	forgotAt clock.Ms
}

// NewRecorder returns a Recorder without counts.
func NewRecorder() *Recorder {
	return &Recorder{counts: map[uint64]*ownCounts{}, activeUntil: map[uint64]clock.Ms{}}
}

// Record counts an attempt at a back end. For an accepted attempt, busy is how long it took, in milliseconds.
func (r *Recorder) Record(now clock.Ms, service, backEnd uint64, result Result, busy clock.Ms) {
	if now-r.forgotAt > keptFor {
		r.forget(now)
	}
	c := r.counts[backEnd]
	if c == nil || !r.active(now, service) && now-c.since > keptFor {
		c = &ownCounts{service: service, since: now}
		r.counts[backEnd] = c
	}
	c.record(result, busy)
	if result != Accepted {
		r.activeUntil[service] = now + activeFor
	}
}

// Watch makes the node send its counts of services that a collector has asked for.
func (r *Recorder) Watch(now clock.Ms, services []uint64) {
	for _, service := range services {
		r.activeUntil[service] = now + activeFor
	}
}

// Active reports whether there are counts to send, or there may soon be.
func (r *Recorder) Active(now clock.Ms) bool {
	for _, until := range r.activeUntil {
		if now < until {
			return true
		}
	}
	return false
}

func (r *Recorder) active(now clock.Ms, service uint64) bool { return now < r.activeUntil[service] }

// Next returns the counts that are to be sent now, or nil if there are none. Counts that do not fit are left for the next
// message.
func (r *Recorder) Next(now clock.Ms) *message.AttemptCounts {
	r.forget(now)
	if len(r.activeUntil) == 0 {
		return nil
	}
	m := &message.AttemptCounts{}
	due := r.due(now)
	for _, backEnd := range due[:min(len(due), maximumCounts)] {
		m.Counts = append(m.Counts, encodeCounts(backEnd, r.counts[backEnd]))
		delete(r.counts, backEnd)
	}
	if len(m.Counts) == 0 {
		return nil
	}
	return m
}

// due returns the back ends whose counts are to be sent, those that have waited longest first.
func (r *Recorder) due(now clock.Ms) (backEnds []uint64) {
	for _, backEnd := range sortedKeys(r.counts) {
		if r.active(now, r.counts[backEnd].service) {
			backEnds = append(backEnds, backEnd)
		}
	}
	slices.SortStableFunc(backEnds, func(a, b uint64) int { return cmp.Compare(r.counts[a].since, r.counts[b].since) })
	return backEnds
}

// forget drops what is too old to be sent.
func (r *Recorder) forget(now clock.Ms) {
	r.forgotAt = now
	for service, until := range r.activeUntil {
		if now >= until {
			delete(r.activeUntil, service)
		}
	}
	for backEnd, c := range r.counts {
		if !r.active(now, c.service) && now-c.since > keptFor {
			delete(r.counts, backEnd)
		}
	}
}

// encodeCounts returns the counts of a back end in a message. Counts that exceed their fields are scaled down together,
// which keeps their ratios. The parts are rounded down, so that together they do not exceed the whole.
func encodeCounts(backEnd uint64, c *ownCounts) message.AttemptCount {
	scale, sent := 1.0, c.reached+c.unreachable
	if sent > math.MaxUint8 {
		scale = math.MaxUint8 / float64(sent)
	}
	return message.AttemptCount{
		BackEnd:     backEnd,
		Sent:        uint8(math.Round(scale * float64(sent))),
		Refused:     uint8(scale * float64(c.refused)),
		Unreachable: uint8(scale * float64(c.unreachable)),
		BusyMs:      uint16(min(scale*float64(c.busy), math.MaxUint16)),
	}
}
