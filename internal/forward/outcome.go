package forward

import (
	"time"

	"stiletrail/internal/replica"
)

// OutcomeKind is how an attempt ended. The zero value stands for an attempt that has not ended.
type OutcomeKind int

// The outcomes of an attempt.
const (
	// Answered means that the back end ran the request and gave a complete, successful answer.
	Answered OutcomeKind = iota + 1
	// Failed means that the back end ran the request, or may have run it, and answered with a failure.
	Failed
	// Refused means that the back end said that it did not run the request.
	Refused
	// Misdirected means that the address belongs to another back end, which did not run the request.
	Misdirected
	// NotSent means that no byte of the request was written.
	NotSent
	// Lost means that the request may have run, but no complete answer arrived.
	Lost
	// Invalid means that the answer that arrived does not belong to the request or cannot be used.
	Invalid
	// Expired means that the deadline passed before the request was written.
	Expired
)

// NotRun reports whether the outcome proves that the attempt did not run.
func (k OutcomeKind) NotRun() bool {
	return k == Refused || k == Misdirected || k == NotSent || k == Expired
}

// String returns the name of the outcome in logs.
func (k OutcomeKind) String() string {
	names := [...]string{"none", "answered", "failed", "refused", "misdirected", "not_sent", "lost", "invalid", "expired"}
	return names[k]
}

// Outcome is the result of an attempt.
type Outcome struct {
	Kind OutcomeKind
	// RetryAfter is the retry-after time that a refusal names; 0 if it names none.
	RetryAfter time.Duration
	// Response is the back end's answer, set with Answered and Failed.
	Response *Response
	// BlamesRequest is set with Failed if the back end says that the request is at fault. It is believed unless
	// another back end answers the same request.
	BlamesRequest bool
	// ConnectionRejected is set if the back end closed a connection before its first answer, as a back end does with
	// connections over its limit.
	ConnectionRejected bool
	// BackEndCrashed is set if the back end itself has ended and accepts no connections any more. A connection that
	// breaks while the back end lives does not count.
	BackEndCrashed bool
	// NoMemory is set with Lost if this node had no memory left for the answer. It says nothing about the back end.
	NoMemory bool
	// Load is the load that the back end reported with its answer.
	Load replica.Load
	// Detail says what happened, for logs.
	Detail string
}

// Response is an answer of a back end.
type Response struct {
	Status int
	Body   []byte
	// Signature proves which back end answered. On a route that fans out, an answer without one does not count.
	Signature string
	// Transport is the transport's own form of the answer. This package passes it back unchanged.
	Transport any
}
