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

// Caller is the driver's own number for a request, given back with its answer.
type Caller uint64

// Envelope is a message for a peer.
type Envelope struct {
	To      string
	Message message.Message
}

// StoreRead asks the store for a service's entry.
type StoreRead struct {
	Operation uint64
	Service   string
}

// StoreWrite asks the store for a compare-and-swap of a service's entry.
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
	// ConfigurationAge is the time since the catalog was known equal to the store's; negative for never.
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

// Output is what the driver must do, in the order of the fields.
type Output struct {
	Sends          []Envelope
	Attempts       []query.Attempt
	Cancels        []uint64
	Describes      []dispatch.Describe
	StoreReads     []StoreRead
	StoreWrites    []StoreWrite
	StoreLists     int
	SearchAnswers  []SearchAnswer
	ExecuteAnswers []ExecuteAnswer
	ConfirmAnswers []ConfirmAnswer
	StatusAnswers  []StatusAnswer
}
