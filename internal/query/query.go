// Package query defines the data types that the packages on the query path share: requests, snapshots, shards and
// coverage (query.go), what a back end holds (holding.go), attempts, their outcomes and whether an outcome proves that
// an attempt did not run (attempt.go). Its values are plain data. It holds no state, and relies on no other package of
// the repository.
package query

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ID identifies a sub-query. Generation is the one of the node that sent it, and Sequence is unique within the
// generation.
type ID struct {
	Generation uint64
	Sequence   uint64
}

// Snapshot identifies one state of an index: a version within an epoch. An epoch is one partitioning of the index into
// shards.
type Snapshot struct {
	Version uint64
	Epoch   uint64
}

// Document is one search result.
type Document struct {
	Key  string
	Body []byte
}

// ShardDocuments is the answer of one shard.
type ShardDocuments struct {
	Shard     uint32
	Documents []Document
}

// Reason says why a shard is missing from an answer.
type Reason uint8

// The reasons for which a shard is missing, in the order of the API's enum.
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

// Missing is a shard that is missing from an answer, and why.
type Missing struct {
	Shard  uint32
	Reason Reason
}

// Coverage states which part of an index an answer covers.
type Coverage struct {
	// Total is the number of shards in the epoch. It is valid if TotalKnown is true.
	Total      uint32
	TotalKnown bool
	Answered   uint32
	Missing    []Missing
}

// Complete reports whether every shard answered.
func (c Coverage) Complete() bool {
	return c.TotalKnown && c.Answered == c.Total
}

// Ratio returns the share of the shards that are answered, from 0 to 1. It is 0 if the number of shards is not known.
func (c Coverage) Ratio() float64 {
	if !c.TotalKnown || c.Total == 0 {
		return 0
	}
	return float64(c.Answered) / float64(c.Total)
}

// Checksum returns the checksum and the number of documents that a back end sends with its answer. The checksum is
// xxhash64 over, for each shard in order, its number, its number of documents, and the key and body of each document,
// both preceded by their length.
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

// ShardOf returns the shard of a key: xxhash64 of the key modulo the number of shards.
func ShardOf(key string, total uint32) uint32 {
	return uint32(xxhash.Sum64String(key) % uint64(total))
}
