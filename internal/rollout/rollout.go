// Package rollout carries out a change of a service's configuration that an operator has confirmed, and decides when
// the change counts as accepted.
//
// A change counts as accepted only when its compare-and-swap in the store is known to have taken effect. If the
// answer to the write was lost, the rollout reads the entry again: a document carries the ids of its last operations.
// Before the operator is told that the change was accepted, the document is sent to a few peers, one of them in
// another zone if one can be reached. The change therefore stays in force even if this node and the store are lost
// next.
//
// The package owns one Rollout per confirmation in progress; package catalog owns the documents in force. The caller
// must pass the time, carry out each Request, and make one call at a time. The package does no I/O, takes no lock and
// reads no clock.
package rollout

import (
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/failure"
	"stiletrail/internal/platform"
)

// Timeouts and pauses of a rollout.
const (
	// Deadline is the longest time that a rollout waits for the store.
	Deadline = 5 * time.Second
	// acknowledgementTimeout is the longest time that a rollout waits for peers to acknowledge the document.
	acknowledgementTimeout = 500 * time.Millisecond
	// initialBackoff is the pause before the first repeated read of the store. It doubles each time up to
	// maximumBackoff.
	initialBackoff = 20 * time.Millisecond
	maximumBackoff = 500 * time.Millisecond
	// storeRetryAfter is the time after which an operator is told to retry when the store was not reached.
	storeRetryAfter = time.Second
)

// phase is the state of a rollout: reading, then writing, then replicating, then ended. A rollout whose request to the
// store failed is in phase waiting until its next read.
type phase uint8

const (
	reading phase = iota
	writing
	waiting
	replicating
	ended
)

// Change is a confirmed change of a service's configuration.
type Change struct {
	Service string
	// Operation is the id that the operator chose for the change.
	Operation string
	// BaseVersion is the version of the document that the plan was made from.
	BaseVersion   uint64
	Specification catalog.Specification
	Delete        bool
}

// Rollout is one confirmation in progress.
type Rollout struct {
	change Change
	phase  phase
	// deadline is the time at which the rollout stops waiting for the store.
	deadline time.Duration
	// wakeAt is the end of the pause in phase waiting, and of the wait for acknowledgements in phase replicating.
	wakeAt  time.Duration
	backoff time.Duration
	// writeSent is true once a write was sent to the store. From then on a missing answer leaves the outcome unknown.
	writeSent bool
	// document is the document that is written or replicated.
	document catalog.Document
	// expected is the number of peers that the document was sent to. copies has the peers that have acknowledged it,
	// and zones their zones.
	expected int
	copies   map[string]bool
	zones    map[string]bool
	// inForce returns the service's document that is in force at this node.
	inForce func() catalog.Document
}

// New starts a rollout. inForce returns the service's document that is in force at this node.
func New(now time.Duration, change Change, inForce func() catalog.Document) (*Rollout, Request) {
	r := &Rollout{
		change: change, deadline: now + Deadline, backoff: initialBackoff, inForce: inForce,
		zones: map[string]bool{}, copies: map[string]bool{},
	}
	return r, Read{}
}

// Service returns the name of the service that is changed.
func (r *Rollout) Service() string { return r.change.Service }

// NextWake returns the time at which Tick must be called at the latest.
func (r *Rollout) NextWake() time.Duration {
	if r.phase == waiting || r.phase == replicating {
		return min(r.wakeAt, r.deadline+acknowledgementTimeout)
	}
	return r.deadline
}

// ReadDone handles the outcome of a Read. entry is the stamp of the store's entry, stored its document.
func (r *Rollout) ReadDone(now time.Duration, outcome Outcome, entry platform.Stamp, stored catalog.Document) Request {
	if r.phase != reading {
		return nil
	}
	if outcome != Done {
		return r.retryLater(now)
	}
	if stored.HasOperation(r.change.Operation) {
		return r.replicate(now, stored)
	}
	current := stored
	// A store that was restored from an old backup may have an older document than this node. The change is then
	// based on the document in force, and the write replaces the older one in the store.
	if inForce := r.inForce(); inForce.Version > current.Version {
		current = inForce
	}
	if current.HasOperation(r.change.Operation) {
		return r.replicate(now, current)
	}
	if current.Version != r.change.BaseVersion {
		return r.conflict(current.Version)
	}
	current.Service = r.change.Service
	r.document = current.Next(entry.Era, r.change.Operation, r.change.Specification, r.change.Delete)
	r.phase = writing
	r.writeSent = true
	return Write{BaseStamp: entry, Document: r.document}
}

// WriteDone handles the outcome of a Write. If the swap failed because the entry had changed, the entry is read
// again: the change may come from an earlier write of the same operation whose answer was lost.
func (r *Rollout) WriteDone(now time.Duration, outcome Outcome, swapped bool) Request {
	if r.phase != writing {
		return nil
	}
	if outcome == Done && swapped {
		return r.replicate(now, r.document)
	}
	if outcome == Done {
		r.phase = reading
		return Read{}
	}
	return r.retryLater(now)
}

// conflict ends the rollout because the document no longer has the version that the plan was made from. The document
// does not list this operation, so the operation had no effect. It can have none later, because its base version is
// replaced.
func (r *Rollout) conflict(current uint64) Request {
	result := failure.NewRefusal(failure.Conflict, "the service was changed after the plan was made; plan again", 0)
	result.CurrentVersion = current
	return r.end(Result{Failure: result})
}

func (r *Rollout) end(result Result) Request {
	r.phase = ended
	return result
}

// retryLater lets the store be read again after a pause.
func (r *Rollout) retryLater(now time.Duration) Request {
	r.phase = waiting
	r.wakeAt = now + r.backoff
	r.backoff = min(2*r.backoff, maximumBackoff)
	return r.Tick(now)
}

func (r *Rollout) replicate(now time.Duration, document catalog.Document) Request {
	r.phase = replicating
	r.document = document
	r.wakeAt = now + acknowledgementTimeout
	return Replicate{Document: document}
}

// SentToPeers records the number of peers that the document was sent to. If there are none, the change is accepted at
// once.
func (r *Rollout) SentToPeers(peers int) Request {
	r.expected = peers
	return r.endIfAcknowledged()
}

// Acknowledged records that a peer has the document. The change is accepted once all peers that it was sent to have it.
func (r *Rollout) Acknowledged(peer, zone string) Request {
	if r.phase != replicating {
		return nil
	}
	r.copies[peer] = true
	r.zones[zone] = true
	return r.endIfAcknowledged()
}

func (r *Rollout) endIfAcknowledged() Request {
	if len(r.copies) < r.expected {
		return nil
	}
	return r.accepted()
}

func (r *Rollout) accepted() Request {
	return r.end(Result{Version: r.document.Version, Copies: len(r.copies), CopyZones: len(r.zones)})
}

// Tick handles timeouts: it ends a rollout whose time limit has passed, and starts the next read after a pause. A
// rollout whose document the store has accepted is accepted after acknowledgementTimeout, even if not all peers have
// acknowledged it.
func (r *Rollout) Tick(now time.Duration) Request {
	switch {
	case r.phase == ended:
		return nil
	case r.phase == replicating && now >= r.wakeAt:
		return r.accepted()
	case r.phase != replicating && now >= r.deadline:
		return r.expire()
	case r.phase == waiting && now >= r.wakeAt:
		r.phase = reading
		return Read{}
	}
	return nil
}

// expire ends a rollout whose write was not confirmed by the store before the deadline.
func (r *Rollout) expire() Request {
	if !r.writeSent {
		const text = "the store could not be reached within 5 s; nothing changed"
		return r.end(Result{Failure: failure.NewRefusal(failure.StoreUnavailable, text, storeRetryAfter)})
	}
	const text = "the store did not answer the write within 5 s; confirm again with the same operation id to learn the outcome"
	unknown := failure.New(failure.OutcomeUnknown, text)
	unknown.RetryAfter = storeRetryAfter
	return r.end(Result{Failure: unknown})
}
