package replica

// AttemptResult is what the end of an attempt says of its replica.
type AttemptResult int

// The verdicts.
const (
	// Answered: it gave an answer of its own.
	Answered AttemptResult = iota
	// Refused: it is too full to take the request.
	Refused
	// RefusedWithFreeSlots: it refused the request though it says that slots are free.
	RefusedWithFreeSlots
	// Failed: a broken connection or answer.
	Failed
	// Unreachable: no connection was had.
	Unreachable
	// ConnectionRejected: it ended a connection that had carried no answer yet. It may be at its limit, and sound.
	ConnectionRejected
	// Misdirected: its address answers for another back end.
	Misdirected
	// Cancelled: the attempt was given up on before an answer.
	Cancelled
	// Neutral: the end says nothing of the replica.
	Neutral
)
