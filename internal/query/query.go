// Package query holds the terms shared by everything on the query path of the daemon: requests, snapshots, shards and coverage
// (query.go), what a back end holds (holding.go), attempts, what came of them and what that proves (attempt.go). Its values are
// plain data; it decides nothing else and owns no state.
package query

import (
	"encoding/binary"

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

// Ratio is the part of the shards that answered, from 0 to 1.
func (c Coverage) Ratio() float64 {
	if !c.TotalKnown || c.Total == 0 {
		return 0
	}
	return float64(c.Answered) / float64(c.Total)
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
