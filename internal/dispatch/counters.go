package dispatch

// Counters holds the totals of a dispatcher since it started.
type Counters struct {
	// ShardsAsked counts the shards of all sub-queries received.
	ShardsAsked uint64
	// Attempts counts the requests sent to back ends, ShardAttempts the shards in them.
	Attempts      uint64
	ShardAttempts uint64
	Hedges        uint64
	// HedgesWon counts the hedges that gave the first answer to at least one shard.
	HedgesWon uint64
	Retries   uint64
	// InvalidAnswers counts answers that do not match their request, WrongSnapshot those at another snapshot.
	InvalidAnswers uint64
	WrongSnapshot  uint64
	Ejections      uint64
	// ShedByBackEnd counts the attempts that back ends refused because they were overloaded.
	ShedByBackEnd uint64
}
