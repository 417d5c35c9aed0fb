package admit

import (
	"math"

	"stiletrail/internal/clock"
)

// history holds samples, weighted by their age. The zero value has none.
type history struct {
	// missing and shed are the weighted sums of the shares that the samples were missing and that were shed. weight
	// is the sum of the samples' weights.
	missing, shed, weight float64
	decayedAt             clock.Ms
}

func (h *history) record(now clock.Ms, sample Sample) {
	h.decay(now)
	h.missing += float64(sample.Missing) / float64(max(sample.AllowedMissing, 1))
	h.shed += float64(sample.ShedAttempts) / float64(max(sample.Attempts, 1))
	h.weight++
}

func (h *history) level(now clock.Ms) OverloadLevel {
	h.decay(now)
	weight := h.weight + priorWeight
	level := OverloadLevel{MissingShare: h.missing / weight, ShedShare: h.shed / weight}
	if level.ShedShare >= minimumShedShare && level.MissingShare > targetMissingShare {
		level.TurnedAwayShare = min(1-targetMissingShare/level.MissingShare, maximumTurnedAwayShare)
	}
	return level
}

// decay reduces the weight of the samples by the time since the last call.
func (h *history) decay(now clock.Ms) {
	kept := math.Exp(-float64(now-h.decayedAt) / float64(sampleDecay))
	h.missing *= kept
	h.shed *= kept
	h.weight *= kept
	h.decayedAt = now
}
