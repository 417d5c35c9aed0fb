package dispatch

import (
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/quarantine"
)

// Settings are the settings of a dispatcher.
type Settings struct {
	// Hedging enables hedges.
	Hedging bool
	// HedgeQuantile is the quantile, from 0 to 1, of the group's latencies after which an attempt is hedged at the
	// latest.
	HedgeQuantile float64
	// HedgeMedianFactor times the median latency is the other upper bound of the hedge delay. It keeps the delay short
	// if stragglers are so common that they raise the HedgeQuantile.
	HedgeMedianFactor float64
	// MinimumHedgeDelay is the lower bound of the hedge delay.
	MinimumHedgeDelay time.Duration
	// DefaultHedgeDelay is used in place of the measured latencies while there are too few samples.
	DefaultHedgeDelay time.Duration
	// HedgeShare and RetryShare are the numbers of hedged and of retried shards allowed per shard requested.
	HedgeShare float64
	RetryShare float64
	// BudgetCapacity is the maximum number of shards that a hedge or retry budget can save up.
	BudgetCapacity float64
	// MaximumQueueWait is the predicted wait for a slot above which a sub-query is refused.
	MaximumQueueWait time.Duration
	// ShardsPerAttempt is the maximum number of shards in one request to a back end.
	ShardsPerAttempt int
	// FailuresToEject is the number of failures in a row after which a back end is ejected.
	FailuresToEject int
	// EjectionTime is the duration of the first ejection. It doubles with each further one, up to MaximumEjectionTime.
	EjectionTime        time.Duration
	MaximumEjectionTime time.Duration
	// MaximumEjectedShare is the share, from 0 to 1, of a group's back ends that may be ejected at the same time.
	MaximumEjectedShare float64
	// DescribeInterval is the time between two descriptions of an idle back end.
	DescribeInterval time.Duration
	// Quarantine configures the quarantine of requests that crash back ends.
	Quarantine quarantine.Settings
}

// DefaultSettings returns the default settings.
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
