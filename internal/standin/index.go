// Package standin provides models of the systems around stiletrail's own RPC interface: back ends, the key-value store, and an index
// with known contents against which any answer can be checked. The servers of package rehearsal and the simulation share them.
//
// A model owns its state and is not safe for concurrent use. It does no I/O and reads no clock. Its randomness comes from the
// source that the caller passes in.
package standin

import (
	"bytes"
	"fmt"
	"strconv"

	"stiletrail/internal/query"
)

// Index defines the documents of every shard of a service at every version, so that any answer can be checked.
type Index struct {
	Service string
	// Keys is the number of documents.
	Keys int
}

// Key returns the key of the document with this number.
func (i Index) Key(number int) string { return fmt.Sprintf("%s/%05d", i.Service, number) }

// Body returns the body of a document at a version in the answer to a query. It contains the key, the version and the query, so
// that an answer to another query is detected.
func (i Index) Body(key string, version uint64, asked []byte) []byte {
	body := make([]byte, 0, len(key)+len(asked)+24)
	body = append(body, key...)
	body = append(body, '@')
	body = strconv.AppendUint(body, version, 10)
	body = append(body, '?')
	return append(body, asked...)
}

// Keyspace holds the keys of each shard, by the shard's number.
type Keyspace [][]string

// Split distributes the keys over total shards.
func (i Index) Split(total uint32) Keyspace {
	keys := make(Keyspace, total)
	for number := range i.Keys {
		key := i.Key(number)
		shard := query.ShardOf(key, total)
		keys[shard] = append(keys[shard], key)
	}
	return keys
}

// Shard returns the documents of a shard in the answer to a query at a version.
func (i Index) Shard(keys Keyspace, shard uint32, version uint64, asked []byte) query.ShardDocuments {
	result := query.ShardDocuments{Shard: shard}
	for _, key := range keys[shard] {
		result.Documents = append(result.Documents, query.Document{Key: key, Body: i.Body(key, version, asked)})
	}
	return result
}

// Answer is the answer to a search, as its caller received it.
type Answer struct {
	// Query is the body of the search.
	Query     []byte
	Snapshot  query.Snapshot
	Coverage  query.Coverage
	Documents []query.Document
}

// Fault says what is wrong with an answer. Reports are keyed by these texts.
type Fault string

// Faults that Check finds in an answer. FaultNone stands for a correct answer.
const (
	FaultNone               Fault = ""
	FaultWrongContent       Fault = "documents of another snapshot or query"
	FaultDuplicate          Fault = "a document twice"
	FaultMissingDocument    Fault = "a document of an answered shard is missing"
	FaultUnexpectedDocument Fault = "a document that is not in the answered shards"
	FaultCoverage           Fault = "answered and missing shards are not all shards"
	FaultShardCount         Fault = "the number of shards is not that of the epoch"
)

// Check returns the first fault found in an answer. totals holds the number of shards of each epoch.
func (i Index) Check(answer Answer, totals map[uint64]uint32) Fault {
	coverage := answer.Coverage
	if coverage.Total != totals[answer.Snapshot.Epoch] {
		return FaultShardCount
	}
	missing := make(map[uint32]bool, len(coverage.Missing))
	for _, shard := range coverage.Missing {
		missing[shard.Shard] = true
	}
	if len(missing) != len(coverage.Missing) || coverage.Answered+uint32(len(missing)) != coverage.Total {
		return FaultCoverage
	}
	return i.checkDocuments(answer, missing)
}

func (i Index) checkDocuments(answer Answer, missing map[uint32]bool) Fault {
	total := answer.Coverage.Total
	seen := make(map[string]bool, len(answer.Documents))
	for _, document := range answer.Documents {
		if seen[document.Key] {
			return FaultDuplicate
		}
		seen[document.Key] = true
		if missing[query.ShardOf(document.Key, total)] {
			return FaultUnexpectedDocument
		}
		if !bytes.Equal(document.Body, i.Body(document.Key, answer.Snapshot.Version, answer.Query)) {
			return FaultWrongContent
		}
	}
	expected := 0
	for number := range i.Keys {
		key := i.Key(number)
		if missing[query.ShardOf(key, total)] {
			continue
		}
		expected++
		if !seen[key] {
			return FaultMissingDocument
		}
	}
	if expected != len(seen) {
		return FaultUnexpectedDocument
	}
	return FaultNone
}
