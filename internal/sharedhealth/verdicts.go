package sharedhealth

import (
	"maps"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

// verdictValidity is how long, in milliseconds, a node goes by what a collector has told: until a collector that has
// failed has a successor, and two and a half times as long as verdicts take to be told again.
const verdictValidity = 2500 * clock.Ms(1)

// toldBy is what a collector told last.
type toldBy struct {
	at       clock.Ms
	verdicts map[uint64]Verdict
}

// receivedVerdicts holds what collectors have told this node. It is not safe for concurrent use.
type receivedVerdicts struct {
	from map[string]toldBy
	// agreed are the verdicts on which the collectors agreed last, and agreedUntil is until when they hold.
	agreed      map[uint64]Verdict
	agreedUntil clock.Ms
}

// newReceivedVerdicts returns receivedVerdicts that holds nothing.
func newReceivedVerdicts() *receivedVerdicts { return &receivedVerdicts{from: map[string]toldBy{}} }

// Receive stores the verdicts of a collector, which replace its earlier ones.
func (r *receivedVerdicts) Receive(now clock.Ms, from string, m *message.BackEndVerdicts) {
	if clock.Ms(m.AgeMs) > maximumAge {
		return
	}
	told := toldBy{at: now - clock.Ms(m.AgeMs), verdicts: map[uint64]Verdict{}}
	for _, v := range m.Verdicts[:min(len(m.Verdicts), maximumVerdicts)] {
		if v.RefusedPercent <= 100 {
			told.verdicts[v.BackEnd] = Verdict{RefusedShare: float64(v.RefusedPercent) / 100, Unreachable: v.Unreachable}
		}
	}
	r.from[from] = told
}

// Agreed returns the verdicts on which all collectors of this node's group agree, and until when they hold. Of two
// shares of refusals the smaller one counts. There are none where the group has one node. Until a new collector has told its
// verdicts, the last ones hold.
func (r *receivedVerdicts) Agreed(now clock.Ms, collectors []string) (agreed map[uint64]Verdict, until clock.Ms) {
	r.forget(now)
	if len(collectors) == collectorsPerGroup {
		first, second := r.from[collectors[0]], r.from[collectors[1]]
		if first.verdicts != nil && second.verdicts != nil {
			r.agreed = agree(first.verdicts, second.verdicts)
			r.agreedUntil = min(first.at, second.at) + verdictValidity
		}
	}
	if now >= r.agreedUntil {
		r.agreed = nil
	}
	return r.agreed, r.agreedUntil
}

// agree returns what the verdicts of two collectors have in common.
func agree(first, second map[uint64]Verdict) map[uint64]Verdict {
	agreed := map[uint64]Verdict{}
	for backEnd, v := range first {
		if common := v.and(second[backEnd]); !common.none() {
			agreed[backEnd] = common
		}
	}
	return agreed
}

// forget drops what was told too long ago.
func (r *receivedVerdicts) forget(now clock.Ms) {
	maps.DeleteFunc(r.from, func(_ string, told toldBy) bool { return now-told.at > verdictValidity })
}

// and returns what two verdicts have in common.
func (v Verdict) and(other Verdict) Verdict {
	return Verdict{RefusedShare: min(v.RefusedShare, other.RefusedShare), Unreachable: v.Unreachable && other.Unreachable}
}
