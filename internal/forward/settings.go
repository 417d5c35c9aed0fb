package forward

import "time"

// Settings control how requests are served.
type Settings struct {
	// HedgeShare is the share of the target latency after which an unanswered shard is hedged at the latest. 0 turns
	// hedging off.
	HedgeShare float64
	// SiblingHedges hedges a shard that takes much longer than the shards of the same request that have answered.
	SiblingHedges bool
	// LastExtras is a number of extra attempts. While the budget of a service allows fewer than that, sibling hedges
	// are sent later.
	LastExtras int
	// ExtrasByNeed spends the last extra attempts of a service, LastExtras beyond the one asked for, where they decide
	// whether a request succeeds. It takes effect only with a RetryPause.
	ExtrasByNeed bool
	// EarlyFinish answers at the target latency with the shards that have answered, if they are enough.
	EarlyFinish bool
	// RetryPause is the first pause before a shard whose attempts have failed is asked again. 0 gives the shard up at
	// once.
	RetryPause time.Duration
	// AnswerMargin is subtracted from the target latency and from the caller's deadline. It is the time in which an
	// answer travels back to the caller.
	AnswerMargin time.Duration
	// SerialTrials sends a request that has crashed back ends to one back end at a time, until one answers it.
	SerialTrials bool
	// RetryAfter is the retry-after time of a refusal because too few shards have back ends, or because the request
	// is under quarantine.
	RetryAfter time.Duration
}
