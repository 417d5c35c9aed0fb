package catalog

import (
	"encoding/json"
	"slices"

	"stiletrail/internal/failure"
)

// Preference is what a service gives up last.
type Preference string

// The preferences.
const (
	// LatencyFirst finishes early once the minimum coverage is met and the tail budget is spent.
	LatencyFirst Preference = "latency"
	// CoverageFirst uses the deadline to get missing shards.
	CoverageFirst Preference = "coverage"
)

// BackEnd is a back end as the operator describes it.
type BackEnd struct {
	// Address is an IP and port.
	Address string `json:"address" yaml:"address"`
	Zone    string `json:"zone" yaml:"zone"`
	Region  string `json:"region,omitempty" yaml:"region"`
	// Slots is how many requests it works on at once.
	Slots int `json:"slots" yaml:"slots"`
	// Connections is how many connections it accepts.
	Connections int `json:"connections" yaml:"connections"`
	// Draining takes the back end out of use for new work.
	Draining bool `json:"draining,omitempty" yaml:"draining"`
}

// Specification is what an operator says of a service.
type Specification struct {
	BackEnds []BackEnd `json:"back_ends" yaml:"back_ends"`
	// MinimumCoverage is the share of shards, 0 to 1, below which a search fails.
	MinimumCoverage float64    `json:"minimum_coverage" yaml:"minimum_coverage"`
	Preference      Preference `json:"preference" yaml:"preference"`
	// DeadlineMilliseconds applies to searches that state none.
	DeadlineMilliseconds int `json:"deadline_milliseconds" yaml:"deadline_milliseconds"`
	// TailBudgetMilliseconds is when a latency-first search with enough coverage finishes; zero for never.
	TailBudgetMilliseconds int `json:"tail_budget_milliseconds,omitempty" yaml:"tail_budget_milliseconds"`
}

// operationsKept bounds the ids a document carries of its last operations.
const operationsKept = 8

// Document is the configuration of one service at one version.
type Document struct {
	Service string `json:"service"`
	// Version rises with each change of the service. In each era of the store it goes on from another number, far above all of
	// the eras before: of two changes that follow on the same one, since the store lost the first with a copy, the later one is
	// in force everywhere, and no node takes them for the same.
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
	// Operations are the ids of the last operations, newest last; an answer lost after the write is settled by them.
	Operations    []string      `json:"operations,omitempty"`
	Specification Specification `json:"specification"`
}

// eraVersions is how far above the versions of one era of the store those of the next one begin: more than the changes that a
// service will have in one.
const eraVersions = 1_000_000_000

// Next returns the document that an operation puts in place of d in an era of the store.
func (d Document) Next(era uint64, operation string, specification Specification, deleted bool) Document {
	version := max(d.Version, era*eraVersions) + 1
	operations := append(slices.Clone(d.Operations), operation)
	if len(operations) > operationsKept {
		operations = operations[len(operations)-operationsKept:]
	}
	return Document{Service: d.Service, Version: version, Deleted: deleted, Operations: operations, Specification: specification}
}

// HasOperation reports whether the operation is among the last ones.
func (d Document) HasOperation(operation string) bool {
	return slices.Contains(d.Operations, operation)
}

// Encode returns the document's form in the store and between nodes.
func (d Document) Encode() []byte {
	encoded, err := json.Marshal(d)
	if err != nil {
		panic("catalog: document cannot be encoded: " + err.Error())
	}
	return encoded
}

// Decode reads a document. Errors are of code MALFORMED.
func Decode(encoded []byte) (Document, error) {
	var document Document
	if err := json.Unmarshal(encoded, &document); err != nil {
		return document, failure.Wrap(err, failure.Malformed, "document cannot be decoded")
	}
	if document.Service == "" || document.Version == 0 {
		return document, failure.New(failure.Malformed, "document has no service or version")
	}
	return document, nil
}
