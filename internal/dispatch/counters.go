package dispatch

// Counters count what the dispatcher did since it started.
type Counters struct {
	ShardsAsked    uint64
	Attempts       uint64
	ShardAttempts  uint64
	Hedges         uint64
	HedgesWon      uint64
	Retries        uint64
	InvalidAnswers uint64
	WrongSnapshot  uint64
	Ejections      uint64
	ShedByBackEnd  uint64
}
