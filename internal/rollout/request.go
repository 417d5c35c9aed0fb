package rollout

import (
	"stiletrail/internal/catalog"
	"stiletrail/internal/failure"
	"stiletrail/internal/platform"
)

// Request is what the caller must do next: a Read, Write or Replicate, or to return the Result to the operator. A nil
// Request means that there is nothing to do.
type Request interface{ isRequest() }

// Read asks for the service's entry to be read from the store. The caller reports its outcome through ReadDone.
type Read struct{}

// Write asks for the document to be written over the entry that was read, with a compare-and-swap. The caller reports
// its outcome through WriteDone.
type Write struct {
	// BaseStamp is the stamp of the entry that was read. The swap fails if the store's entry has another one.
	BaseStamp platform.Stamp
	Document  catalog.Document
}

// Replicate asks for a document that the store has accepted to be put into force at this node and sent to peers. The
// caller reports the number of peers through SentToPeers, and each peer's acknowledgement through Acknowledged.
type Replicate struct{ Document catalog.Document }

// Result is the answer to the operator. It ends the rollout.
type Result struct {
	// Version is the version of the accepted document.
	Version uint64
	// Copies is the number of peers that have acknowledged the document, CopyZones the number of their zones.
	Copies    int
	CopyZones int
	// Failure is nil if the change was accepted.
	Failure *failure.Failure
}

func (Read) isRequest()      {}
func (Write) isRequest()     {}
func (Replicate) isRequest() {}
func (Result) isRequest()    {}

// Outcome is the outcome of a request to the store.
type Outcome uint8

// The values of Outcome.
const (
	// Done means that the store answered.
	Done Outcome = iota + 1
	// Refused means that the request certainly had no effect.
	Refused
	// Unknown means that there was no answer and the request may have taken effect.
	Unknown
)
