package forward

import "time"

// Settings of how requests are served.
type Settings struct {
	// HedgeShare of the target latency is waited at most for an answer before another replica is asked too; 0 turns hedging off.
	HedgeShare float64
	// SiblingHedges has a shard hedged that takes much longer than the others of its request.
	SiblingHedges bool
	// LastExtras that the budget of a service allows are not spent on shards that are just late.
	LastExtras int
	// EarlyFinish answers at the target latency with what is there, where that is enough.
	EarlyFinish bool
	// RetryPause is the first pause before a shard whose attempts have failed is asked again, while there is time; 0 gives
	// it up at once.
	RetryPause time.Duration
	// AnswerMargin is kept before the target latency and the caller's deadline, for the way back to the caller.
	AnswerMargin time.Duration
	// SerialTrials has a request under which back ends have ended tried at one at a time, until one answers.
	SerialTrials bool
	// RetryAfter is when a caller may come back that was refused because too few back ends can be asked, or because its
	// request ends them.
	RetryAfter time.Duration
}
