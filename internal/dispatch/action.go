package dispatch

import (
	"stiletrail/internal/message"
	"stiletrail/internal/query"
)

// Action is something the driver must do: StartAttempt, CancelAttempt, Describe or Reply.
type Action interface{ isAction() }

// StartAttempt sends an attempt to a back end; its outcome comes back through AttemptEnded.
type StartAttempt struct{ Attempt query.Attempt }

// CancelAttempt gives up an attempt; its outcome still comes back through AttemptEnded.
type CancelAttempt struct{ Number uint64 }

// Describe asks a back end what it holds for a service; the outcome comes back through Described.
type Describe struct {
	Service string
	BackEnd string
}

// Reply is a message for the root of a sub-query.
type Reply struct {
	To      string
	Message message.Message
}

func (StartAttempt) isAction() {}

func (CancelAttempt) isAction() {}

func (Describe) isAction() {}

func (Reply) isAction() {}
