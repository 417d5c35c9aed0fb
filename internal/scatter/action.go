package scatter

import (
	"stiletrail/internal/failure"
	"stiletrail/internal/message"
	"stiletrail/internal/query"
)

// Action is something the driver must do: Send a message, or take the Answer.
type Action interface{ isAction() }

// Send is a message for a dispatcher.
type Send struct {
	To      string
	Message message.Message
}

// Answer is the outcome of a query; it comes once, as the last action.
type Answer struct {
	Documents     []query.ShardDocuments
	Coverage      query.Coverage
	Snapshot      query.Snapshot
	ShardAttempts uint32
	// Failure is set where no answer is given; the coverage is still true.
	Failure *failure.Failure
}

func (Send) isAction() {}

func (Answer) isAction() {}
