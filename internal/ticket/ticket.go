// Package ticket ensures that a request that is not repeatable runs at most once, however often the caller resends it.
//
// The caller first gets a ticket from a node. The ticket can be used for one request, only at the node and in the
// process that minted it; any other node forwards the request there. If that process no longer exists, nobody can know
// whether the request ran: it is not run, and its outcome is unknown. The invariant is that Table.Use returns Fresh at
// most once for a ticket.
//
// The package owns the outcomes of the requests whose tickets this process minted. They are lost when the process ends.
// The caller must pass the time and make one call at a time. The package does no I/O, takes no lock and reads no clock.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"stiletrail/internal/failure"
)

// Limits of the table and of tickets.
const (
	// Lifetime is the time after minting within which a ticket can be used.
	Lifetime = 2 * time.Minute
	// outcomeRetention is the time for which an outcome can be asked for again.
	outcomeRetention = 10 * time.Minute
	// maximumOutcomes is the largest number of outcomes in the table. When the table is full, unused tickets are
	// refused and their callers are told to retry after fullRetryAfter.
	maximumOutcomes = 1 << 17
	fullRetryAfter  = time.Second
	// fixedSize, macSize and maximumSize are sizes in bytes. A ticket starts with fixedSize bytes for the generation,
	// the sequence number and the time of minting. The address of the minting node follows, and then macSize bytes of
	// the message authentication code that proves which process minted the ticket. A whole ticket has at most
	// maximumSize.
	fixedSize   = 8 + 8 + 8
	macSize     = 16
	maximumSize = 256
)

// Ticket has the fields of a ticket, without its message authentication code.
type Ticket struct {
	// Address is the address of the node that minted the ticket.
	Address string
	// Generation identifies the process that minted the ticket.
	Generation uint64
	// Sequence is the number of the ticket among those of its process.
	Sequence uint64
	// MintedAt is the time of minting on the minting node's own clock.
	MintedAt time.Duration
}

// Parse decodes a ticket without verifying who minted it. Errors are of code TICKET_INVALID.
func Parse(encoded []byte) (Ticket, error) {
	if len(encoded) < fixedSize+macSize || len(encoded) > maximumSize {
		return Ticket{}, invalid("the ticket has an invalid size")
	}
	return Ticket{
		Generation: binary.BigEndian.Uint64(encoded),
		Sequence:   binary.BigEndian.Uint64(encoded[8:]),
		MintedAt:   time.Duration(binary.BigEndian.Uint64(encoded[16:])),
		Address:    string(encoded[fixedSize : len(encoded)-macSize]),
	}, nil
}

func invalid(message string) *failure.Failure {
	return failure.NewRefusal(failure.TicketInvalid, message, 0)
}

// Outcome is the outcome of a request. The table keeps it to answer the caller's resends.
type Outcome struct {
	Shard   uint32
	Result  []byte
	Failure *failure.Failure
}

// UseResult is the result of Table.Use: Fresh, Running, Finished or Rejected.
type UseResult interface{ isUse() }

// Fresh means that the ticket was unused. The caller must run the request once and report its outcome with
// RecordOutcome.
type Fresh struct{ Sequence uint64 }

// Running means that an earlier request with the same ticket is in flight.
type Running struct{ Sequence uint64 }

// Finished means that an earlier request with the same ticket has ended, with this outcome.
type Finished struct{ Outcome Outcome }

// Rejected means that the request must not run. The failure is a refusal if no request has run with this ticket. It is
// of code OUTCOME_UNKNOWN if that can no longer be known.
type Rejected struct{ Failure *failure.Failure }

func (Fresh) isUse()    {}
func (Running) isUse()  {}
func (Finished) isUse() {}
func (Rejected) isUse() {}

// entry is a used ticket.
type entry struct {
	// usedAt is the time at which the ticket was used.
	usedAt time.Duration
	// digest is the digest of the request that the ticket was used for.
	digest [sha256.Size]byte
	// outcome is nil while the request is in flight.
	outcome *Outcome
}

// Table mints tickets and keeps the outcomes of the requests that they were used for.
type Table struct {
	address    string
	generation uint64
	// key is the key of the message authentication codes.
	key []byte
	// sequence is the number of the last minted ticket.
	sequence uint64
	// entries has the used tickets by their sequence numbers.
	entries map[uint64]*entry
	// nextSweep is the time at which old entries are next removed.
	nextSweep time.Duration
}

// NewTable returns a table that mints tickets for the address and generation. key is a random key of this process.
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

// Use uses a ticket for the request with the given body, and returns what the caller must do with the request.
func (t *Table) Use(now time.Duration, encoded, body []byte) UseResult {
	parsed, err := Parse(encoded)
	if err != nil {
		return Rejected{failure.From(err)}
	}
	if parsed.Address != t.address || parsed.Generation != t.generation {
		return Rejected{failure.New(failure.OutcomeUnknown, "the process that minted the ticket no longer exists")}
	}
	signed := encoded[:len(encoded)-macSize]
	if !hmac.Equal(t.mac(signed), encoded[len(encoded)-macSize:]) {
		return Rejected{invalid("the ticket was not minted by this process: its authentication code does not match")}
	}
	t.sweep(now)
	digest := sha256.Sum256(body)
	if known := t.entries[parsed.Sequence]; known != nil {
		return t.reuse(parsed.Sequence, known, digest)
	}
	if now-parsed.MintedAt > Lifetime {
		// The outcome may have been removed from the table, so it is not certain that the request did not run.
		return Rejected{failure.New(failure.OutcomeUnknown, "the ticket has expired")}
	}
	if len(t.entries) >= maximumOutcomes {
		return Rejected{failure.NewRefusal(failure.Overloaded, "too many tickets in use", fullRetryAfter)}
	}
	t.entries[parsed.Sequence] = &entry{usedAt: now, digest: digest}
	return Fresh{Sequence: parsed.Sequence}
}

func (t *Table) reuse(sequence uint64, known *entry, digest [sha256.Size]byte) UseResult {
	if known.digest != digest {
		return Rejected{failure.New(failure.InvalidArgument, "the ticket was already used for a request with another body")}
	}
	if known.outcome == nil {
		return Running{Sequence: sequence}
	}
	return Finished{Outcome: *known.outcome}
}

// RecordOutcome stores the outcome of the request that the ticket with the sequence number was used for.
func (t *Table) RecordOutcome(sequence uint64, outcome Outcome) {
	if known := t.entries[sequence]; known != nil {
		known.outcome = &outcome
	}
}

// sweep removes outcomes well after their tickets have expired. An expired ticket is always rejected, so that no
// request can run twice because its outcome was removed.
func (t *Table) sweep(now time.Duration) {
	if now < t.nextSweep {
		return
	}
	t.nextSweep = now + outcomeRetention/10
	for sequence, known := range t.entries {
		if known.outcome != nil && now-known.usedAt > outcomeRetention+Lifetime {
			delete(t.entries, sequence)
		}
	}
}
