package engine

import (
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/dispatch"
	"stiletrail/internal/message"
	"stiletrail/internal/platform"
	"stiletrail/internal/query"
	"stiletrail/internal/rollout"
	"stiletrail/internal/scatter"
	"stiletrail/internal/ticket"
)

// Caller is the number by which the driver identifies a request. It is returned with the answer.
type Caller uint64

// Envelope is a message for a peer.
type Envelope struct {
	To      string
	Message message.Message
}

// StoreRead asks the driver to read a service's entry from the store. The answer goes to Engine.StoreReadDone.
type StoreRead struct {
	Operation uint64
	Service   string
}

// StoreWrite asks the driver to write a service's entry to the store by compare-and-swap, with Base as the expected
// stamp. The answer goes to Engine.StoreWriteDone.
type StoreWrite struct {
	Operation uint64
	Base      platform.Stamp
	Document  catalog.Document
}

// SearchAnswer is the outcome of a search.
type SearchAnswer struct {
	Caller Caller
	scatter.Answer
	CatalogVersion uint64
	// ConfigurationAge is the time since the catalog was last known to equal the store, negative if it never was.
	ConfigurationAge time.Duration
}

// ExecuteAnswer is the outcome of a request that is not repeatable.
type ExecuteAnswer struct {
	Caller  Caller
	Outcome ticket.Outcome
}

// ConfirmAnswer is the outcome of a confirmation.
type ConfirmAnswer struct {
	Caller  Caller
	Service string
	rollout.Result
}

// Output lists what the driver must do after a call, in the order of the fields.
type Output struct {
	Sends    []Envelope
	Attempts []query.Attempt
	// Cancels are the numbers of attempts to cancel.
	Cancels     []uint64
	Describes   []dispatch.Describe
	StoreReads  []StoreRead
	StoreWrites []StoreWrite
	// StoreLists is how many listings of the whole store to make.
	StoreLists     int
	SearchAnswers  []SearchAnswer
	ExecuteAnswers []ExecuteAnswer
	ConfirmAnswers []ConfirmAnswer
	StatusAnswers  []StatusAnswer
}
