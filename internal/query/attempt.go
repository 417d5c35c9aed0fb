package query

import "time"

// Status is what came of an attempt.
type Status uint8

// The statuses of an attempt. Those from StatusShed to StatusNotSent prove that it did not run.
const (
	StatusNone Status = iota
	StatusOK
	StatusShed
	StatusDraining
	StatusVersionUnavailable
	StatusNotHeld
	StatusExpired
	// StatusNotSent: no byte of the request was written.
	StatusNotSent
	// StatusLost: the request may have run; no answer came.
	StatusLost
	// StatusInvalid: an answer came that does not match its request, count or checksum.
	StatusInvalid
)

// NotRun reports whether the status proves that the attempt did not run.
func (s Status) NotRun() bool {
	return s >= StatusShed && s <= StatusNotSent
}

// Reason gives the reason a shard is missing for when its last attempt ended so.
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
	Execute    bool
	// Deadline is on the sender's monotonic clock.
	Deadline time.Duration
}

// AttemptResult is what came of an attempt, already matched and verified by the adapter.
type AttemptResult struct {
	Attempt    uint64
	Status     Status
	Snapshot   Snapshot
	Results    []ShardDocuments
	Holding    Holding
	HasHolding bool
	RetryAfter time.Duration
	// BackEndCrashed: the back end itself ended, and not just the connection: it takes no connections any more.
	BackEndCrashed bool
}
