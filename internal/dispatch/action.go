package dispatch

import (
	"stiletrail/internal/message"
	"stiletrail/internal/query"
)

// Action is an effect that the core asks its caller to carry out: StartAttempt, CancelAttempt, Describe or Reply.
type Action interface{ isAction() }

// StartAttempt sends an attempt to a back end. The caller reports its outcome through Core.AttemptEnded.
type StartAttempt struct{ Attempt query.Attempt }

// CancelAttempt cancels an attempt. The caller still reports its outcome through Core.AttemptEnded.
type CancelAttempt struct{ Number uint64 }

// Describe asks a back end which shards and versions of a service it holds. The caller reports the answer through
// Core.DescribeDone.
type Describe struct {
	Service string
	BackEnd string
}

// Reply sends a message to the root of a sub-query, that is the node that received the search from its caller.
type Reply struct {
	To      string
	Message message.Message
}

func (StartAttempt) isAction() {}

func (CancelAttempt) isAction() {}

func (Describe) isAction() {}

func (Reply) isAction() {}
