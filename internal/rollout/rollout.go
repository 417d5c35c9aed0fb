// Package rollout decides when a confirmed plan has been accepted.
//
// Accepted is said only when the compare-and-swap is known to have taken effect. An answer lost after the write is settled
// by reading back: a document carries the ids of its last operations. Before saying so the document is handed to a few
// peers, in another zone where one can be reached, so that it stays in force although this node and the store are lost next.
// The core does no I/O and reads no clock.
package rollout

import (
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/failure"
	"stiletrail/internal/platform"
)

// Timing of a rollout.
const (
	// Deadline is the longest wait for the store.
	Deadline = 5 * time.Second
	// copyWait is the longest wait for peers to hold the document.
	copyWait = 500 * time.Millisecond
	// firstBackoff is the wait before the store is asked again, doubled each time up to maximumBackoff.
	firstBackoff   = 20 * time.Millisecond
	maximumBackoff = 500 * time.Millisecond
)

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

// Request is what the driver must do next. Exactly one field is set.
type Request struct {
	// Read the service's key.
	Read bool
	// Write the document over the entry that was read.
	Write *Write
	// Adopt a document that is in force, and hand it to peers: each answers with an ack.
	Adopt *catalog.Document
	// Result ends the rollout.
	Result *Result
}

// Write is a compare-and-swap.
type Write struct {
	Base     platform.Stamp
	Document catalog.Document
}

// Result is what the operator is told.
type Result struct {
	Version uint64
	// Copies counts the peers known to hold the document; CopyZones their zones.
	Copies    int
	CopyZones int
	Failure   *failure.Failure
}

type phase uint8

const (
	reading phase = iota
	writing
	waiting
	spreading
	ended
)

// Rollout is one confirmation under way.
type Rollout struct {
	Service       string
	operation     string
	base          uint64
	specification catalog.Specification
	remove        bool

	phase    phase
	deadline time.Duration
	wakeAt   time.Duration
	backoff  time.Duration
	// wrote: a write was handed to the store whose effect is not known.
	wrote    bool
	document catalog.Document
	expected int
	zones    map[string]bool
	copies   map[string]bool
	// held is the document this node has in force.
	held func() catalog.Document
}

// New starts a rollout; held returns what this node has in force for the service.
func New(now time.Duration, service, operation string, base uint64, specification catalog.Specification, remove bool, held func() catalog.Document) (*Rollout, []Request) {
	r := &Rollout{
		Service: service, operation: operation, base: base, specification: specification, remove: remove,
		deadline: now + Deadline, backoff: firstBackoff, held: held,
		zones: map[string]bool{}, copies: map[string]bool{},
	}
	return r, []Request{{Read: true}}
}

// Ended reports whether the result was given.
func (r *Rollout) Ended() bool { return r.phase == ended }

// NextWake returns when Tick must be called at the latest.
func (r *Rollout) NextWake() time.Duration {
	if r.phase == waiting || r.phase == spreading {
		return min(r.wakeAt, r.deadline+copyWait)
	}
	return r.deadline
}

// WasRead takes in the answer to a read: the stamp of the entry, and its document.
func (r *Rollout) WasRead(now time.Duration, outcome Outcome, entry platform.Stamp, stored catalog.Document) []Request {
	if r.phase != reading {
		return nil
	}
	if outcome != Done {
		return r.again(now)
	}
	if stored.HasOperation(r.operation) {
		return r.adopt(now, stored)
	}
	current := stored
	// A store that is behind, as one restored from an old copy, is written over with what is in force.
	if held := r.held(); held.Version > current.Version {
		current = held
	}
	if current.HasOperation(r.operation) {
		return r.adopt(now, current)
	}
	if current.Version != r.base {
		return r.conflict(current.Version)
	}
	current.Service = r.Service
	r.document = current.Next(entry.Era, r.operation, r.specification, r.remove)
	r.phase = writing
	r.wrote = true
	return []Request{{Write: &Write{Base: entry, Document: r.document}}}
}

// WasWritten takes in the answer to a write. A swap that lost is read back: an earlier write of this very
// operation, whose answer was lost, may be what it lost to.
func (r *Rollout) WasWritten(now time.Duration, outcome Outcome, swapped bool) []Request {
	if r.phase != writing {
		return nil
	}
	if outcome == Done && swapped {
		return r.adopt(now, r.document)
	}
	if outcome == Done {
		r.phase = reading
		return []Request{{Read: true}}
	}
	return r.again(now)
}

// conflict ends the rollout: the base has moved and this operation is not in the document, so it never took effect
// and, its base being gone, never will.
func (r *Rollout) conflict(current uint64) []Request {
	result := failure.Refused(failure.Conflict, "another change came first; plan again", 0)
	result.CurrentVersion = current
	return r.end(Result{Failure: result})
}

func (r *Rollout) end(result Result) []Request {
	r.phase = ended
	return []Request{{Result: &result}}
}

func (r *Rollout) again(now time.Duration) []Request {
	r.phase = waiting
	r.wakeAt = now + r.backoff
	r.backoff = min(2*r.backoff, maximumBackoff)
	return r.Tick(now)
}

func (r *Rollout) adopt(now time.Duration, document catalog.Document) []Request {
	r.phase = spreading
	r.document = document
	r.wakeAt = now + copyWait
	return []Request{{Adopt: &document}}
}

// Spreading tells how many peers the document was handed to; none ends the wait.
func (r *Rollout) Spreading(peers int) []Request {
	r.expected = peers
	return r.endIfCopied()
}

// Copied takes in that a peer holds the document.
func (r *Rollout) Copied(peer, zone string) []Request {
	if r.phase != spreading {
		return nil
	}
	r.copies[peer] = true
	r.zones[zone] = true
	return r.endIfCopied()
}

func (r *Rollout) endIfCopied() []Request {
	if len(r.copies) < r.expected {
		return nil
	}
	return r.accepted()
}

func (r *Rollout) accepted() []Request {
	return r.end(Result{Version: r.document.Version, Copies: len(r.copies), CopyZones: len(r.zones)})
}

// Tick takes in the passing of time.
func (r *Rollout) Tick(now time.Duration) []Request {
	switch {
	case r.phase == ended:
		return nil
	case r.phase == spreading && now >= r.wakeAt:
		return r.accepted()
	case r.phase != spreading && now >= r.deadline:
		return r.expire()
	case r.phase == waiting && now >= r.wakeAt:
		r.phase = reading
		return []Request{{Read: true}}
	}
	return nil
}

// expire ends a rollout that the store has not settled in time.
func (r *Rollout) expire() []Request {
	if !r.wrote {
		return r.end(Result{Failure: failure.Refused(failure.StoreUnavailable, "the store cannot be reached; nothing changed", time.Second)})
	}
	unknown := failure.New(failure.OutcomeUnknown, "the store did not answer the write; confirm again with the same operation to settle it")
	unknown.RetryAfter = time.Second
	return r.end(Result{Failure: unknown})
}
