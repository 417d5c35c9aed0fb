package sharedhealth

import (
	"math"
	"slices"

	"stiletrail/internal/clock"
)

// A back end is at fault by one of these rules:
//
//   - It refuses what a sibling takes: it refuses a larger share than a sibling that accepts at least as many requests, and
//     its slots are not busy. If all siblings refuse alike, it is overload. A back end that refuses more because it gets
//     more also accepts more.
//   - It refuses a much larger share than a sibling although it has free slots at nearly all times. This finds a back end
//     that gets so many requests that it also accepts more than its siblings.
//   - It cannot be reached: several nodes have found no connection, and hardly any node has found one since.
//
// Shares are compared by the lower bound of their difference, so that chance and small numbers lead to no verdict. A verdict
// ends when the attempts speak against it, or have not spoken for it for some time.
const (
	// beginConfidence is the number of standard deviations by which two shares must differ for a verdict. Many back ends
	// are compared in each second, so a difference by chance must be rare. endConfidence is that for the end of a verdict,
	// for which there are the few attempts of the trials only.
	beginConfidence = 3
	endConfidence   = 1
	// refusesMore is the difference of the shares of refusals from which on a back end refuses more than a sibling, and
	// refusesMuchMore the one that is needed if the sibling accepts less: from there on the retries take longer than
	// the way to a sibling in another region.
	refusesMore     = 0.1
	refusesMuchMore = 0.25
	// shareWeight is the weight of attempts that is needed to correct the share of a verdict.
	shareWeight = 8
	// mostlyFree and nearlyAlwaysFree are shares of the time of its slots that a back end was busy. Below the first it had
	// free slots most of the time, below the second at nearly all times.
	mostlyFree       = 0.5
	nearlyAlwaysFree = 0.25
	// slotsKnownAfter is the time, in milliseconds, after which all nodes of the group send their counts of a service, so
	// that it is known how busy its slots are.
	slotsKnownAfter = 500 * clock.Ms(1)
	// minimumWeight is the weight of attempts below which a verdict stays as it is.
	minimumWeight = 0.5
	// unreachableNodes is the number of nodes that must have found no connection for a verdict. wordsAgainstOne is how many
	// of them outweigh one that has found a connection.
	unreachableNodes = 2
	wordsAgainstOne  = 4
	// unreachableWordFor is how long, in milliseconds, a node's word counts that a back end cannot be reached. reachedWordFor is
	// that of the contrary, which may tell of attempts before the back end was lost.
	unreachableWordFor = clock.Second
	reachedWordFor     = 300 * clock.Ms(1)
	// verdictLifetime is how long, in milliseconds, a verdict holds while there are no attempts at the back end, and
	// unsupportedLifetime how long it holds while there are attempts and they do not speak for it.
	verdictLifetime     = 10 * clock.Second
	unsupportedLifetime = 3 * clock.Second
)

// Verdict is what is held against a back end.
type Verdict struct {
	// RefusedShare is the share of its attempts that it refuses, from 0 to 1; 0 if it does not refuse more than its siblings.
	RefusedShare float64
	// Unreachable is set if no connections to it can be established.
	Unreachable bool
}

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string {
	switch {
	case v.Unreachable:
		return "unreachable"
	case v.RefusedShare > 0:
		return "refusing"
	}
	return "cleared"
}

func (v Verdict) none() bool { return v == Verdict{} }

// sameKind reports whether two verdicts differ in the share of refusals at most.
func (v Verdict) sameKind(other Verdict) bool {
	return v.Unreachable == other.Unreachable && (v.RefusedShare > 0) == (other.RefusedShare > 0)
}

// judgeUnreachable reports whether a back end cannot be reached.
func judgeUnreachable(told reachability, before bool) bool {
	outweighed := told.reached*wordsAgainstOne > told.unreachable
	if before {
		return !outweighed
	}
	return told.unreachable >= unreachableNodes && !outweighed
}

// judgeRefusals returns the share of refusals of a back end at fault, and 0 for one that is not.
func judgeRefusals(b BackEnd, own counts, siblings []counts, collectedFor clock.Ms, before float64) float64 {
	if own.reached() < minimumWeight {
		return before
	}
	compared := false
	for _, sibling := range siblings {
		if sibling.reached() < minimumWeight {
			continue
		}
		compared = true
		switch {
		case before > 0 && mayStillRefuseMore(own, sibling):
			return updatedShare(own, before)
		case before == 0 && beginsToRefuseMore(b, own, sibling, collectedFor):
			return own.refusedShare()
		}
	}
	if !compared {
		return before
	}
	return 0
}

// beginsToRefuseMore reports whether a back end that was not at fault refuses more than a sibling without being busier.
func beginsToRefuseMore(b BackEnd, own, sibling counts, collectedFor clock.Ms) bool {
	lower := own.refusedShare() - sibling.refusedShare() - differenceError(own, sibling, beginConfidence)
	busy := slotsBusy(b, own, collectedFor)
	if lower >= refusesMore && sibling.accepted() >= own.accepted() && busy < mostlyFree {
		return true
	}
	return lower >= refusesMuchMore && collectedFor >= slotsKnownAfter && b.Slots > 0 && busy < nearlyAlwaysFree
}

// mayStillRefuseMore reports whether the attempts leave it open that a back end at fault still refuses much more than a sibling.
func mayStillRefuseMore(own, sibling counts) bool {
	difference := own.refusedShare() - sibling.refusedShare()
	return difference+differenceError(sibling, own, endConfidence) >= refusesMuchMore
}

// supportsVerdict reports whether the latest attempts speak for a verdict on a back end.
func supportsVerdict(own counts, siblings []counts) bool {
	return slices.ContainsFunc(siblings, func(sibling counts) bool {
		return sibling.reached() >= minimumWeight && own.refusedShare()-sibling.refusedShare() >= refusesMore
	})
}

// updatedShare returns the share of refusals of a back end at fault. While only a few trials are made there, it stays as it
// was when the back end was asked by all.
func updatedShare(own counts, before float64) float64 {
	if own.reached() < shareWeight {
		return before
	}
	return own.refusedShare()
}

// slotsBusy returns the share of the time of a back end's slots that the accepted requests took, or 0 if the slots are not known. The
// weights of a steady rate add up to the rate times the half-life divided by ln 2.
func slotsBusy(b BackEnd, c counts, collectedFor clock.Ms) float64 {
	slotTime := float64(b.Slots) * float64(halfLife) / math.Ln2 * (1 - decay(max(collectedFor, slotsKnownAfter)))
	if slotTime == 0 {
		return 0
	}
	return c.busy / slotTime
}

// differenceError returns by how much the first share of refusals may be smaller than observed, and the second one larger, together
// (the method of Newcombe, which combines two Wilson score intervals).
func differenceError(first, second counts, deviations float64) float64 {
	below := first.refusedShare() - wilsonBound(first, -deviations)
	above := wilsonBound(second, deviations) - second.refusedShare()
	return math.Hypot(below, above)
}

// wilsonBound returns the bound of the share of refusals that lies some standard deviations from the observed share.
func wilsonBound(c counts, deviations float64) float64 {
	n, share := c.reached(), c.refusedShare()
	if n <= 0 {
		return 0.5 + math.Copysign(0.5, deviations)
	}
	z2 := deviations * deviations
	return (share + z2/(2*n) + deviations*math.Sqrt(share*(1-share)/n+z2/(4*n*n))) / (1 + z2/n)
}
