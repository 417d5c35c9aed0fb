package quota

import "stiletrail/internal/clock"

const (
	// roundTripInRegion and roundTripElsewhere are assumed of a node that has not answered yet.
	roundTripInRegion  = 5 * clock.Ms(1)
	roundTripElsewhere = 30 * clock.Ms(1)
	// roundTripWeight is the number of round trips over which the usual one is averaged.
	roundTripWeight = 4
	// shortestSilence and longestSilence are for how long a node that does not answer is asked after the others. The time
	// doubles with each request that it does not answer.
	shortestSilence = clock.Second
	longestSilence  = 16 * clock.Second
)

// link is what this node knows of the way to another node that is an accountant.
type link struct {
	roundTrip   clock.Ms
	silence     clock.Ms
	silentUntil clock.Ms
	// away is set while the members say that the node is away.
	away bool
}

func newLink(sameRegion bool) *link {
	if sameRegion {
		return &link{roundTrip: roundTripInRegion}
	}
	return &link{roundTrip: roundTripElsewhere}
}

func (l *link) markAnswered(roundTrip clock.Ms) {
	l.roundTrip += (roundTrip - l.roundTrip) / roundTripWeight
	l.silence, l.silentUntil = 0, 0
}

func (l *link) markSilent(now clock.Ms) {
	if now < l.silentUntil {
		return
	}
	l.silence = min(max(2*l.silence, shortestSilence), longestSilence)
	l.silentUntil = now + l.silence
}
