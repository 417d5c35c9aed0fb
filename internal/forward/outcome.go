package forward

import (
	"time"

	"stiletrail/internal/replica"
)

// OutcomeKind of an outcome.
type OutcomeKind int

// The outcomes of an attempt.
const (
	// Answered: the back end ran the request and gave a good, whole answer.
	Answered OutcomeKind = iota + 1
	// Failed: the back end ran the request, or may have, and answered with a failure.
	Failed
	// Refused: the back end said that it did not run the request.
	Refused
	// Misdirected: the address belongs to another back end, which did not run the request.
	Misdirected
	// NotSent: no byte of the request was written.
	NotSent
	// Lost: the request may have run; no whole answer came.
	Lost
	// Invalid: what came is not an answer to the request.
	Invalid
	// Expired: the time was over before the request was written.
	Expired
)

// NotRun reports whether the outcome proves that the attempt did not run.
func (k OutcomeKind) NotRun() bool {
	return k == Refused || k == Misdirected || k == NotSent || k == Expired
}

// String names the outcome in logs.
func (k OutcomeKind) String() string {
	names := [...]string{"none", "answered", "failed", "refused", "misdirected", "not_sent", "lost", "invalid", "expired"}
	return names[k]
}

// Outcome of an attempt.
type Outcome struct {
	Kind OutcomeKind
	// RetryAfter is what a refusal says of when to come back.
	RetryAfter time.Duration
	// Response is the back end's answer, with Answered and Failed.
	Response *Response
	// BlamesRequest, with Failed: the back end says that the request is at fault. It is believed unless another one answers it.
	BlamesRequest bool
	// ConnectionRejected: the back end ended a connection that had carried no answer yet, as it does with those over its
	// limit.
	ConnectionRejected bool
	// BackEndCrashed: the back end itself ended, and not just the connection: it takes no connections any more.
	BackEndCrashed bool
	// Load is what the back end told of itself with the answer.
	Load replica.Load
	// Detail says what happened, for logs.
	Detail string
}

// Response is an answer of a back end.
type Response struct {
	Status int
	Body   []byte
	// Signature proves who answered; a part without one does not count.
	Signature string
	// Transport is the answer as the adapter holds it, passed back untouched.
	Transport any
}
