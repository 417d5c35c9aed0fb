package dispatch

// Counters count what the dispatcher did since it started.
type Counters struct {
	SubQueries     uint64
	ShardsAsked    uint64
	Attempts       uint64
	ShardAttempts  uint64
	Hedges         uint64
	HedgesWon      uint64
	Retries        uint64
	Refused        uint64
	DroppedAnswers uint64
	InvalidAnswers uint64
	WrongSnapshot  uint64
	Ejections      uint64
	ShedByBackEnd  uint64
	ExpiredInQueue uint64
	// EndedBackEnds counts attempts whose back end ended, Quarantined the sub-queries that were given up or refused for ending them.
	EndedBackEnds uint64
	Quarantined   uint64
	Replayed      uint64
}
