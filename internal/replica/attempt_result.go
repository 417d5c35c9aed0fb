package replica

// AttemptResult is what the end of an attempt reveals about the health of its replica.
type AttemptResult int

// The results of an attempt.
const (
	// Answered means that the replica ran the request and returned a complete, valid answer.
	Answered AttemptResult = iota
	// Refused means that the replica was too full to accept the request.
	Refused
	// RefusedWithFreeSlots means that the replica refused the request although it reported free slots.
	RefusedWithFreeSlots
	// Failed means that the connection broke, or that the answer was a failure or was invalid.
	Failed
	// Unreachable means that no connection could be established, or that the back end's process has crashed.
	Unreachable
	// ConnectionRejected means that the replica closed a connection that had not yet carried an answer. The replica may
	// be at its connection limit and otherwise healthy.
	ConnectionRejected
	// Misdirected means that another back end answers at the replica's address.
	Misdirected
	// Cancelled means that this node gave up on the attempt before an answer came.
	Cancelled
	// Neutral means that the end of the attempt reveals nothing about the replica.
	Neutral
)
