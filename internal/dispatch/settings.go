package dispatch

import (
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/quarantine"
)

// Settings of the dispatcher.
type Settings struct {
	// Hedging switches hedges on.
	Hedging bool
	// HedgeQuantile of the group's latencies is the longest wait before a hedge.
	HedgeQuantile float64
	// HedgeMedianFactor times the median is the longest wait too, so that stragglers that are more common than the
	// quantile allows for are hedged in time.
	HedgeMedianFactor float64
	// MinimumHedgeDelay bounds the wait from below; DefaultHedgeDelay holds while there are few samples.
	MinimumHedgeDelay time.Duration
	DefaultHedgeDelay time.Duration
	// HedgeShare and RetryShare are the extra shard attempts allowed per first one.
	HedgeShare float64
	RetryShare float64
	// BudgetCapacity is how many extra shard attempts may be saved up.
	BudgetCapacity float64
	// MaximumQueueWait bounds the predicted wait for a slot at which work is still admitted.
	MaximumQueueWait time.Duration
	// ShardsPerAttempt bounds how many shards one attempt asks a back end for.
	ShardsPerAttempt int
	// FailuresToEject in a row take a back end out for EjectFor, doubled each time up to MaximumEjection.
	FailuresToEject     int
	EjectionTime        time.Duration
	MaximumEjectionTime time.Duration
	// MaximumEjectedShare of a group's back ends may be out at once.
	MaximumEjectedShare float64
	// DescribeInterval is the time between two probes of an idle back end.
	DescribeInterval time.Duration
	// Quarantine of queries that end back ends.
	Quarantine quarantine.Settings
}

// DefaultSettings gives the settings used where nothing else is said.
func DefaultSettings() Settings {
	return Settings{
		Hedging:             true,
		HedgeQuantile:       0.99,
		HedgeMedianFactor:   2.5,
		MinimumHedgeDelay:   2 * time.Millisecond,
		DefaultHedgeDelay:   25 * time.Millisecond,
		HedgeShare:          0.08,
		RetryShare:          0.1,
		BudgetCapacity:      20,
		MaximumQueueWait:    50 * time.Millisecond,
		ShardsPerAttempt:    16,
		FailuresToEject:     3,
		EjectionTime:        time.Second,
		MaximumEjectionTime: 10 * time.Second,
		MaximumEjectedShare: 0.34,
		DescribeInterval:    500 * time.Millisecond,
		Quarantine:          quarantine.Settings{Rounds: 3, Duration: 600 * clock.Second},
	}
}
