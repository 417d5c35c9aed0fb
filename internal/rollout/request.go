package rollout

import (
	"stiletrail/internal/catalog"
	"stiletrail/internal/failure"
	"stiletrail/internal/platform"
)

// Request is what the driver must do next: Read, Write, Adopt, or give the Result. Nil is nothing.
type Request interface{ isRequest() }

// Read the service's entry; its outcome comes back through ReadDone.
type Read struct{}

// Write the document over the entry that was read, a compare-and-swap; its outcome comes back through WriteDone.
type Write struct {
	BaseStamp platform.Stamp
	Document  catalog.Document
}

// Replicate a document that is accepted by the store: take it into force, hand it to peers, and say to how many through Spreading.
// Each answers with an ack, which comes back through Copied.
type Replicate struct{ Document catalog.Document }

// Result is what the operator is told; it ends the rollout.
type Result struct {
	Version uint64
	// Copies counts the peers known to hold the document; CopyZones their zones.
	Copies    int
	CopyZones int
	Failure   *failure.Failure
}

func (Read) isRequest()      {}
func (Write) isRequest()     {}
func (Replicate) isRequest() {}
func (Result) isRequest()    {}

// Outcome of a request to the store.
type Outcome uint8

// The outcomes.
const (
	// Done: the store answered.
	Done Outcome = iota + 1
	// Refused: the store certainly did nothing.
	Refused
	// Unknown: the request may have taken effect.
	Unknown
)
