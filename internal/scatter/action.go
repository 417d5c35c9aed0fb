package scatter

import (
	"stiletrail/internal/failure"
	"stiletrail/internal/message"
	"stiletrail/internal/query"
)

// Action is an effect that a query asks its caller to carry out: Send or Answer.
type Action interface{ isAction() }

// Send sends a message to a dispatcher.
type Send struct {
	To      string
	Message message.Message
}

// Answer is the outcome of a query. It is emitted once, as the last action.
type Answer struct {
	Documents     []query.ShardDocuments
	Coverage      query.Coverage
	Snapshot      query.Snapshot
	ShardAttempts uint32
	// Failure is set if the query failed. There are no documents then, but the coverage is still correct.
	Failure *failure.Failure
}

func (Send) isAction() {}

func (Answer) isAction() {}
