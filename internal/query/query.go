// Package query holds the terms shared by everything on the query path: requests, snapshots, shards and coverage.
package query

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ID names a request: the generation of the node that took it and a number that node never gives twice.
type ID struct {
	Generation uint64
	Sequence   uint64
}

// Snapshot names one state of an index: its version within a partition epoch.
type Snapshot struct {
	Version uint64
	Epoch   uint64
}

// Document is one result.
type Document struct {
	Key  string
	Body []byte
}

// ShardDocuments is what one shard answered.
type ShardDocuments struct {
	Shard     uint32
	Documents []Document
}

// Reason says why a shard is missing from an answer.
type Reason uint8

// The reasons, in the order of the API's enum.
const (
	ReasonNone Reason = iota
	ReasonNoReplica
	ReasonDeadline
	ReasonOverloaded
	ReasonVersionUnavailable
	ReasonLost
	ReasonDraining
	ReasonEarlyFinish
	ReasonInvalidAnswer
)

// Missing is a shard without an answer.
type Missing struct {
	Shard  uint32
	Reason Reason
}

// Coverage states how much of an index an answer stands for.
type Coverage struct {
	// Total is the number of shards in the epoch; valid where TotalKnown.
	Total      uint32
	TotalKnown bool
	Answered   uint32
	Missing    []Missing
}

// Complete reports whether every shard answered.
func (c Coverage) Complete() bool {
	return c.TotalKnown && c.Answered == c.Total
}

// Share is the part of the shards that answered, from 0 to 1.
func (c Coverage) Share() float64 {
	if !c.TotalKnown || c.Total == 0 {
		return 0
	}
	return float64(c.Answered) / float64(c.Total)
}

// State is the state a back end is in.
type State uint8

// The states a back end states of itself.
const (
	StateUnknown State = iota
	StateCold
	StateServing
	StateDraining
)

// Holding is what a back end says of itself for one service.
type Holding struct {
	State       State
	Epoch       uint64
	ShardsTotal uint32
	Shards      []uint32
	Oldest      uint64
	Newest      uint64
}

// At reports whether the back end can answer at a snapshot, for the shards it holds.
func (h Holding) At(at Snapshot) bool {
	return h.Epoch == at.Epoch && at.Version >= h.Oldest && at.Version <= h.Newest
}

// Holds reports whether the back end can answer for a shard at a snapshot.
func (h Holding) Holds(shard uint32, at Snapshot) bool { return h.At(at) && h.HasShard(shard) }

// HasShard reports whether the shard is among those held.
func (h Holding) HasShard(shard uint32) bool {
	return slices.Contains(h.Shards, shard)
}

// Status is what came of an attempt.
type Status uint8

// The statuses of an attempt. Those from StatusShed to StatusNotSent prove that it did not run.
const (
	StatusNone Status = iota
	StatusOK
	StatusShed
	StatusDraining
	StatusVersionUnavailable
	StatusNotHeld
	StatusExpired
	// StatusNotSent: no byte of the request was written.
	StatusNotSent
	// StatusLost: the request may have run; no answer came.
	StatusLost
	// StatusInvalid: an answer came that does not match its request, count or checksum.
	StatusInvalid
)

// NotRun reports whether the status proves that the attempt did not run.
func (s Status) NotRun() bool {
	return s >= StatusShed && s <= StatusNotSent
}

// Reason gives the reason a shard is missing for when its last attempt ended so.
func (s Status) Reason() Reason {
	switch s {
	case StatusShed:
		return ReasonOverloaded
	case StatusDraining:
		return ReasonDraining
	case StatusVersionUnavailable, StatusNotHeld:
		return ReasonVersionUnavailable
	case StatusExpired:
		return ReasonDeadline
	case StatusNotSent, StatusLost:
		return ReasonLost
	case StatusInvalid:
		return ReasonInvalidAnswer
	}
	return ReasonNone
}

// Attempt is one request to one back end.
type Attempt struct {
	// Number is unique within the generation of the node that sends it.
	Number     uint64
	Generation uint64
	Service    string
	BackEnd    string
	Shards     []uint32
	Snapshot   Snapshot
	Body       []byte
	Execute    bool
	// Deadline is on the sender's monotonic clock.
	Deadline time.Duration
}

// AttemptResult is what came of an attempt, already matched and verified by the adapter.
type AttemptResult struct {
	Attempt    uint64
	Status     Status
	Snapshot   Snapshot
	Results    []ShardDocuments
	Holding    Holding
	HasHolding bool
	RetryAfter time.Duration
	// BackEndEnded: the back end itself ended, and not just the connection: it takes no connections any more.
	BackEndEnded bool
}

// Checksum is the checksum a back end states with its answer: xxhash64 over shard numbers, keys and bodies in
// order, each preceded by its length; the second value is the count of documents.
func Checksum(results []ShardDocuments) (checksum uint64, documents uint32) {
	digest := xxhash.New()
	var number [8]byte
	add := func(value uint64) {
		binary.BigEndian.PutUint64(number[:], value)
		_, _ = digest.Write(number[:])
	}
	for _, result := range results {
		add(uint64(result.Shard))
		add(uint64(len(result.Documents)))
		for _, document := range result.Documents {
			documents++
			add(uint64(len(document.Key)))
			_, _ = digest.WriteString(document.Key)
			add(uint64(len(document.Body)))
			_, _ = digest.Write(document.Body)
		}
	}
	return digest.Sum64(), documents
}

// ShardOf maps a key to its shard: xxhash64 of the key modulo the number of shards.
func ShardOf(key string, total uint32) uint32 {
	return uint32(xxhash.Sum64String(key) % uint64(total))
}
