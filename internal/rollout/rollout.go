// Package rollout decides when a confirmed plan has been accepted.
//
// Accepted is said only when the compare-and-swap is known to have taken effect. An answer lost after the write is settled by
// reading back: a document carries the ids of its last operations. Before saying so the document is handed to a few peers, in
// another zone where one can be reached, so that it stays in force although this node and the store are lost next.
//
// It owns one Rollout per confirmation under way; what is in force is the catalog's. It relies on its caller for the time and for
// carrying out each Request, on one call at a time; it does no I/O, takes no lock and reads no clock.
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
	// storeRetryAfter is what an operator is told to wait where the store was not reached.
	storeRetryAfter = time.Second
)

// phase of a rollout: reading, then writing, then spreading; waiting comes between a request that failed and the next read.
type phase uint8

const (
	reading phase = iota
	writing
	waiting
	spreading
	ended
)

// Change is what is to be put into force.
type Change struct {
	Service string
	// Operation is the operator's id of it.
	Operation string
	// BaseVersion is the version that was planned on.
	BaseVersion   uint64
	Specification catalog.Specification
	Delete        bool
}

// Rollout is one confirmation under way.
type Rollout struct {
	change   Change
	phase    phase
	deadline time.Duration
	wakeAt   time.Duration
	backoff  time.Duration
	// wrote: a write was handed to the store whose effect is not known.
	wrote    bool
	document catalog.Document
	// expected is how many peers the document was handed to, copies those that hold it, zones theirs.
	expected int
	copies   map[string]bool
	zones    map[string]bool
	// held is the document this node has in force.
	held func() catalog.Document
}

// New starts a rollout; held returns what this node has in force for the service.
func New(now time.Duration, change Change, held func() catalog.Document) (*Rollout, Request) {
	r := &Rollout{
		change: change, deadline: now + Deadline, backoff: firstBackoff, held: held,
		zones: map[string]bool{}, copies: map[string]bool{},
	}
	return r, Read{}
}

// Service is the one that is changed.
func (r *Rollout) Service() string { return r.change.Service }

// NextWake returns when Tick must be called at the latest.
func (r *Rollout) NextWake() time.Duration {
	if r.phase == waiting || r.phase == spreading {
		return min(r.wakeAt, r.deadline+copyWait)
	}
	return r.deadline
}

// ReadDone takes in the answer to a Read: the stamp of the entry, and its document.
func (r *Rollout) ReadDone(now time.Duration, outcome Outcome, entry platform.Stamp, stored catalog.Document) Request {
	if r.phase != reading {
		return nil
	}
	if outcome != Done {
		return r.retryLater(now)
	}
	if stored.HasOperation(r.change.Operation) {
		return r.adopt(now, stored)
	}
	current := stored
	// A store that is behind, as one restored from an old copy, is written over with what is in force.
	if held := r.held(); held.Version > current.Version {
		current = held
	}
	if current.HasOperation(r.change.Operation) {
		return r.adopt(now, current)
	}
	if current.Version != r.change.BaseVersion {
		return r.conflict(current.Version)
	}
	current.Service = r.change.Service
	r.document = current.Next(entry.Era, r.change.Operation, r.change.Specification, r.change.Delete)
	r.phase = writing
	r.wrote = true
	return Write{BaseStamp: entry, Document: r.document}
}

// WriteDone takes in the answer to a Write. A swap that lost is read back: an earlier write of this very
// operation, whose answer was lost, may be what it lost to.
func (r *Rollout) WriteDone(now time.Duration, outcome Outcome, swapped bool) Request {
	if r.phase != writing {
		return nil
	}
	if outcome == Done && swapped {
		return r.adopt(now, r.document)
	}
	if outcome == Done {
		r.phase = reading
		return Read{}
	}
	return r.retryLater(now)
}

// conflict ends the rollout: the base has moved and this operation is not in the document, so it never took effect
// and, its base being gone, never will.
func (r *Rollout) conflict(current uint64) Request {
	result := failure.Refused(failure.Conflict, "another change came first; plan again", 0)
	result.CurrentVersion = current
	return r.end(Result{Failure: result})
}

func (r *Rollout) end(result Result) Request {
	r.phase = ended
	return result
}

// retryLater has the store read again after a pause.
func (r *Rollout) retryLater(now time.Duration) Request {
	r.phase = waiting
	r.wakeAt = now + r.backoff
	r.backoff = min(2*r.backoff, maximumBackoff)
	return r.Tick(now)
}

func (r *Rollout) adopt(now time.Duration, document catalog.Document) Request {
	r.phase = spreading
	r.document = document
	r.wakeAt = now + copyWait
	return Replicate{Document: document}
}

// SentToPeers takes in how many peers the document was handed to; with none the change is accepted at once.
func (r *Rollout) SentToPeers(peers int) Request {
	r.expected = peers
	return r.endIfCopied()
}

// Acknowledged takes in that a peer holds the document.
func (r *Rollout) Acknowledged(peer, zone string) Request {
	if r.phase != spreading {
		return nil
	}
	r.copies[peer] = true
	r.zones[zone] = true
	return r.endIfCopied()
}

func (r *Rollout) endIfCopied() Request {
	if len(r.copies) < r.expected {
		return nil
	}
	return r.accepted()
}

func (r *Rollout) accepted() Request {
	return r.end(Result{Version: r.document.Version, Copies: len(r.copies), CopyZones: len(r.zones)})
}

// Tick takes in the passing of time.
func (r *Rollout) Tick(now time.Duration) Request {
	switch {
	case r.phase == ended:
		return nil
	case r.phase == spreading && now >= r.wakeAt:
		return r.accepted()
	case r.phase != spreading && now >= r.deadline:
		return r.expire()
	case r.phase == waiting && now >= r.wakeAt:
		r.phase = reading
		return Read{}
	}
	return nil
}

// expire ends a rollout that the store has not settled in time.
func (r *Rollout) expire() Request {
	if !r.wrote {
		const text = "the store cannot be reached; nothing changed"
		return r.end(Result{Failure: failure.Refused(failure.StoreUnavailable, text, storeRetryAfter)})
	}
	const text = "the store did not answer the write; confirm again with the same operation to settle it"
	unknown := failure.New(failure.OutcomeUnknown, text)
	unknown.RetryAfter = storeRetryAfter
	return r.end(Result{Failure: unknown})
}
