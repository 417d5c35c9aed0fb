package sharedhealth

import (
	"math"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

const (
	// sumsInterval is the time, in milliseconds, between two messages of sums. It is longer than Interval since they cross
	// regions.
	sumsInterval = 2 * Interval
	// verdictBytesPerMs bounds what a collector sends to its group, in bytes per millisecond. Where there are many verdicts,
	// they are told more seldom.
	verdictBytesPerMs = 160
	// refreshInterval is the time, in milliseconds, after which verdicts are told again although they have not changed.
	refreshInterval = clock.Second
	// maximumSums, maximumVerdicts and maximumWatched are the numbers of entries in one message; they take 4.6 KB, 1.3 KB
	// and 0.5 KB.
	maximumSums     = 256
	maximumVerdicts = 128
	maximumWatched  = 64
	// sumScale is the encoded weight of one attempt in a message of sums.
	sumScale = 10
	// toldChange is the change of a share of refusals from which on it is told at once.
	toldChange = 0.2
)

// NextSums returns the sums for the collectors of other groups, as they were judged last, or nil if there are none.
func (c *Collector) NextSums(now clock.Ms) *message.AttemptSums {
	if now-c.sumsAt < sumsInterval {
		return nil
	}
	m := &message.AttemptSums{}
	for _, backEnd := range sortedKeys(c.sums) {
		sum := c.sums[backEnd]
		if len(m.Sums) < maximumSums && sum.sent >= negligibleWeight {
			m.Sums = append(m.Sums, encodeSum(backEnd, sum))
		}
	}
	if len(m.Sums) == 0 {
		return nil
	}
	c.sumsAt = now
	return m
}

func encodeSum(backEnd uint64, c counts) message.AttemptSum {
	tenths := func(weight float64) uint16 { return uint16(min(math.Round(sumScale*weight), math.MaxUint16)) }
	return message.AttemptSum{
		BackEnd: backEnd, SentTenths: tenths(c.sent), RefusedTenths: tenths(c.refused),
		UnreachableTenths: tenths(c.unreachable), BusyMs: uint16(min(max(c.busy, 0), math.MaxUint16)),
	}
}

// NextVerdicts returns the verdicts in force if they are to be told now: if they have changed, and each refreshInterval
// while there are any, or while services are watched. It returns nil otherwise. Of more verdicts than a message has, those
// with the smallest keys are told: both collectors tell the same ones, and the others when these end.
func (c *Collector) NextVerdicts(now clock.Ms) *message.BackEndVerdicts {
	due := now-c.toldAt >= refreshInterval && (len(c.held) > 0 || len(c.watched) > 0)
	changed := c.changed() || len(c.watched) > c.toldWatched
	if !due && !changed || now < c.nextTellingAt {
		return nil
	}
	m := &message.BackEndVerdicts{}
	for _, backEnd := range sortedKeys(c.held) {
		h := c.held[backEnd]
		h.told = h.Verdict
		if !h.none() && len(m.Verdicts) < maximumVerdicts {
			m.Verdicts = append(m.Verdicts, message.BackEndVerdict{
				BackEnd: backEnd, RefusedPercent: uint8(math.Round(100 * h.RefusedShare)), Unreachable: h.Unreachable,
			})
		}
	}
	for _, service := range sortedKeys(c.watched) {
		if len(m.Watched) < maximumWatched {
			m.Watched = append(m.Watched, service)
		}
	}
	c.toldAt, c.toldWatched = now, len(c.watched)
	c.nextTellingAt = now + clock.Ms(c.groupSize*len(message.Encode(m))/verdictBytesPerMs)
	return m
}

// changed reports whether a verdict differs from what was told last.
func (c *Collector) changed() bool {
	for _, h := range c.held {
		if !h.sameKind(h.told) || math.Abs(h.RefusedShare-h.told.RefusedShare) >= toldChange {
			return true
		}
	}
	return false
}
