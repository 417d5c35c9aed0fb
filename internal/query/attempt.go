package query

import "time"

// Status is the outcome of an attempt.
type Status uint8

// The statuses of an attempt. Those from StatusShed to StatusNotSent prove that the attempt did not run.
const (
	StatusNone Status = iota
	StatusOK
	// StatusShed means that the back end refused the request because it is overloaded.
	StatusShed
	// StatusDraining means that the back end refused the request because it is draining.
	StatusDraining
	// StatusVersionUnavailable means that the back end does not hold the snapshot.
	StatusVersionUnavailable
	// StatusNotHeld means that the back end does not hold a shard of the request.
	StatusNotHeld
	// StatusExpired means that the back end refused the request because its deadline had passed.
	StatusExpired
	// StatusNotSent means that no byte of the request was written.
	StatusNotSent
	// StatusLost means that no answer was received. The request may have run.
	StatusLost
	// StatusInvalid means that the answer does not match its request, document count or checksum.
	StatusInvalid
)

// NotRun reports whether the status proves that the attempt did not run.
func (s Status) NotRun() bool {
	return s >= StatusShed && s <= StatusNotSent
}

// Reason returns the reason for which a shard is missing if its last attempt ended with the status.
func (s Status) Reason() Reason {
	switch s {
	case StatusShed:
		return ReasonOverloaded
	case StatusDraining:
		return ReasonDraining
	case StatusVersionUnavailable, StatusNotHeld:
		return ReasonVersionUnavailable
	case StatusExpired:
		return ReasonDeadline
	case StatusNotSent, StatusLost:
		return ReasonLost
	case StatusInvalid:
		return ReasonInvalidAnswer
	}
	return ReasonNone
}

// Attempt is one request to one back end.
type Attempt struct {
	// Number is unique within the generation of the node that sends it.
	Number     uint64
	Generation uint64
	Service    string
	BackEnd    string
	Shards     []uint32
	Snapshot   Snapshot
	Body       []byte
	// Execute is true if the request is not repeatable.
	Execute bool
	// Deadline is a time of the sender's monotonic clock.
	Deadline time.Duration
}

// AttemptResult is the outcome of an attempt. The back-end client has already matched the answer to its request, and
// has verified its count and checksum.
type AttemptResult struct {
	Attempt    uint64
	Status     Status
	Snapshot   Snapshot
	Results    []ShardDocuments
	Holding    Holding
	HasHolding bool
	RetryAfter time.Duration
	// BackEndCrashed is true if the back end itself has ended and not only the connection: it accepts no new
	// connections.
	BackEndCrashed bool
}
