// Package ticket makes a request that is not repeatable run at most once, whatever the caller resends.
//
// A ticket is minted by a node and is good once, at that node, in that generation of its process. Any other node forwards it
// there. Where the generation is gone nobody can know whether the request ran, so nothing runs and the outcome is unknown. The
// invariant: Use returns Fresh at most once for a ticket.
//
// It owns the outcomes of the requests whose tickets this process minted; they are lost with it. It relies on its caller for the
// time, one call at a time; it does no I/O, takes no lock and reads no clock.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"stiletrail/internal/failure"
)

// Limits of the table.
const (
	// Lifetime is how long after minting a ticket may be used.
	Lifetime = 2 * time.Minute
	// kept is how long an outcome can be asked for again.
	kept = 10 * time.Minute
	// maximumOutcomes bounds the table; over it nothing new is taken, and callers are told to come back after fullRetryAfter.
	maximumOutcomes = 1 << 17
	fullRetryAfter  = time.Second
	// Sizes of a ticket, in bytes: the generation, the sequence and the moment of minting; then the address; then the code that
	// proves who minted it.
	fixedSize   = 8 + 8 + 8
	macSize     = 16
	maximumSize = 256
)

// Ticket is the readable part of a ticket.
type Ticket struct {
	// Address of the node that minted it.
	Address    string
	Generation uint64
	Sequence   uint64
	// MintedAt is on the minting node's own clock.
	MintedAt time.Duration
}

// Parse reads a ticket without checking who minted it. Errors are of code TICKET_INVALID.
func Parse(encoded []byte) (Ticket, error) {
	if len(encoded) < fixedSize+macSize || len(encoded) > maximumSize {
		return Ticket{}, invalid("ticket has a wrong size")
	}
	return Ticket{
		Generation: binary.BigEndian.Uint64(encoded),
		Sequence:   binary.BigEndian.Uint64(encoded[8:]),
		MintedAt:   time.Duration(binary.BigEndian.Uint64(encoded[16:])),
		Address:    string(encoded[fixedSize : len(encoded)-macSize]),
	}, nil
}

func invalid(message string) *failure.Failure {
	return failure.Refused(failure.TicketInvalid, message, 0)
}

// Outcome of a request, kept for the caller's resends.
type Outcome struct {
	Shard   uint32
	Result  []byte
	Failure *failure.Failure
}

// UseResult is what may be done with a ticket: Fresh, Running, Finished or Rejected.
type UseResult interface{ isUse() }

// Fresh: run the request, once, and say what came of it through Finish.
type Fresh struct{ Sequence uint64 }

// Running: an earlier request with the ticket is under way.
type Running struct{ Sequence uint64 }

// Finished: the outcome is known.
type Finished struct{ Outcome Outcome }

// Rejected: nothing runs. The failure is a refusal where nothing ran with this ticket, and of code OUTCOME_UNKNOWN where that
// cannot be told any more.
type Rejected struct{ Failure *failure.Failure }

func (Fresh) isUse()    {}
func (Running) isUse()  {}
func (Finished) isUse() {}
func (Rejected) isUse() {}

// entry is a ticket that was used.
type entry struct {
	at time.Duration
	// digest of the request.
	digest [sha256.Size]byte
	// outcome is nil while the request is under way.
	outcome *Outcome
}

// Table mints tickets and remembers what became of them.
type Table struct {
	address    string
	generation uint64
	key        []byte
	sequence   uint64
	entries    map[uint64]*entry
	nextSweep  time.Duration
}

// NewTable returns a table that mints for the address and generation with a random key of this process.
func NewTable(address string, generation uint64, key []byte) *Table {
	return &Table{address: address, generation: generation, key: key, entries: map[uint64]*entry{}}
}

func (t *Table) mac(body []byte) []byte {
	digest := hmac.New(sha256.New, t.key)
	digest.Write(body)
	return digest.Sum(nil)[:macSize]
}

// Mint returns a new ticket.
func (t *Table) Mint(now time.Duration) []byte {
	t.sequence++
	encoded := binary.BigEndian.AppendUint64(nil, t.generation)
	encoded = binary.BigEndian.AppendUint64(encoded, t.sequence)
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(now))
	encoded = append(encoded, t.address...)
	return append(encoded, t.mac(encoded)...)
}

// Use takes a ticket for a request; body identifies the request.
func (t *Table) Use(now time.Duration, encoded, body []byte) UseResult {
	parsed, err := Parse(encoded)
	if err != nil {
		return Rejected{failure.From(err)}
	}
	if parsed.Address != t.address || parsed.Generation != t.generation {
		return Rejected{failure.New(failure.OutcomeUnknown, "the process that minted the ticket is gone")}
	}
	signed := encoded[:len(encoded)-macSize]
	if !hmac.Equal(t.mac(signed), encoded[len(encoded)-macSize:]) {
		return Rejected{invalid("ticket is not signed by this node")}
	}
	t.sweep(now)
	digest := sha256.Sum256(body)
	if known := t.entries[parsed.Sequence]; known != nil {
		return t.reuse(parsed.Sequence, known, digest)
	}
	if now-parsed.MintedAt > Lifetime {
		// Its outcome may have been forgotten, so "not run" would be a guess.
		return Rejected{failure.New(failure.OutcomeUnknown, "the ticket has expired")}
	}
	if len(t.entries) >= maximumOutcomes {
		return Rejected{failure.Refused(failure.Overloaded, "too many tickets in use", fullRetryAfter)}
	}
	t.entries[parsed.Sequence] = &entry{at: now, digest: digest}
	return Fresh{Sequence: parsed.Sequence}
}

func (t *Table) reuse(sequence uint64, known *entry, digest [sha256.Size]byte) UseResult {
	if known.digest != digest {
		return Rejected{failure.New(failure.InvalidArgument, "the ticket was used for another request")}
	}
	if known.outcome == nil {
		return Running{Sequence: sequence}
	}
	return Finished{Outcome: *known.outcome}
}

// RecordOutcome notes the outcome of the request a ticket was used for.
func (t *Table) RecordOutcome(sequence uint64, outcome Outcome) {
	if known := t.entries[sequence]; known != nil {
		known.outcome = &outcome
	}
}

// sweep forgets outcomes well after their tickets have expired: an expired ticket never runs again.
func (t *Table) sweep(now time.Duration) {
	if now < t.nextSweep {
		return
	}
	t.nextSweep = now + kept/10
	for sequence, known := range t.entries {
		if known.outcome != nil && now-known.at > kept+Lifetime {
			delete(t.entries, sequence)
		}
	}
}
