package catalog

import (
	"encoding/json"
	"slices"

	"stiletrail/internal/failure"
)

// Preference says whether the searches of a service favour latency or coverage when not all shards have answered.
type Preference string

// The values of Preference.
const (
	// LatencyFirst lets a search finish early, once the minimum coverage is reached and the tail budget has passed.
	LatencyFirst Preference = "latency"
	// CoverageFirst lets a search wait for missing shards until its deadline.
	CoverageFirst Preference = "coverage"
)

// BackEnd describes a back end as the operator configured it.
type BackEnd struct {
	// Address is an IP address and port.
	Address string `json:"address" yaml:"address"`
	Zone    string `json:"zone" yaml:"zone"`
	Region  string `json:"region,omitempty" yaml:"region"`
	// Slots is the number of requests that the back end processes concurrently.
	Slots int `json:"slots" yaml:"slots"`
	// Connections is the number of connections that the back end accepts.
	Connections int `json:"connections" yaml:"connections"`
	// Draining is true for a back end that must not be sent new requests.
	Draining bool `json:"draining,omitempty" yaml:"draining"`
}

// Specification is the part of a service's configuration that the operator writes.
type Specification struct {
	BackEnds []BackEnd `json:"back_ends" yaml:"back_ends"`
	// MinimumCoverage is the share of shards, 0 to 1, that must answer: below it a search fails.
	MinimumCoverage float64    `json:"minimum_coverage" yaml:"minimum_coverage"`
	Preference      Preference `json:"preference" yaml:"preference"`
	// DeadlineMilliseconds is the deadline of searches that state none.
	DeadlineMilliseconds int `json:"deadline_milliseconds" yaml:"deadline_milliseconds"`
	// TailBudgetMilliseconds is the time after which a latency-first search with enough coverage finishes. Zero means
	// that it never finishes early.
	TailBudgetMilliseconds int `json:"tail_budget_milliseconds,omitempty" yaml:"tail_budget_milliseconds"`
}

// maximumOperations is the number of operation ids that a document carries at most.
const maximumOperations = 8

// Document is the configuration of one service at one version.
type Document struct {
	Service string `json:"service"`
	// Version rises with each change of the service. Each era of the store starts at a number far above the versions
	// of all earlier eras. A store that was restored from a backup may have lost a change, and another change then
	// follows on the same document. The two changes get different versions, and the later one is in force on all
	// nodes.
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
	// Operations has the ids of the last operations, newest last. If the store's answer to a write was lost, the ids
	// show whether the write took effect.
	Operations    []string      `json:"operations,omitempty"`
	Specification Specification `json:"specification"`
}

// versionsPerEra is the distance between the first versions of two successive eras of the store. It is larger than the
// number of changes that a service will have within one era.
const versionsPerEra = 1_000_000_000

// Next returns the document that replaces d when an operation is carried out in the given era of the store.
func (d Document) Next(era uint64, operation string, specification Specification, deleted bool) Document {
	version := max(d.Version, era*versionsPerEra) + 1
	operations := append(slices.Clone(d.Operations), operation)
	if len(operations) > maximumOperations {
		operations = operations[len(operations)-maximumOperations:]
	}
	return Document{Service: d.Service, Version: version, Deleted: deleted, Operations: operations, Specification: specification}
}

// HasOperation reports whether the id is among the document's last operations.
func (d Document) HasOperation(operation string) bool {
	return slices.Contains(d.Operations, operation)
}

// Encode returns the document as JSON, the form that it has in the store and between nodes.
func (d Document) Encode() []byte {
	encoded, err := json.Marshal(d)
	if err != nil {
		panic("catalog: document cannot be encoded: " + err.Error())
	}
	return encoded
}

// Decode decodes a document. Errors are of code MALFORMED.
func Decode(encoded []byte) (Document, error) {
	var document Document
	if err := json.Unmarshal(encoded, &document); err != nil {
		return document, failure.Wrap(err, failure.Malformed, "the document is not valid JSON of a document")
	}
	if document.Service == "" || document.Version == 0 {
		return document, failure.New(failure.Malformed, "the document has no service name, or its version is zero")
	}
	return document, nil
}
