// Package catalog holds the operators' configuration as a node has it in force: one versioned document per
// service. Merging takes the higher version of each, a join: commutative, associative and idempotent. So the order of
// messages, repeats, isolation and rejoining cannot make a service revert. A deletion is a document too.
package catalog

import (
	"encoding/json"
	"slices"
	"sort"
	"unique"

	"github.com/cespare/xxhash/v2"

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
	// Version rises with each change of the service. In each era of the store it goes on from another number, far above all of the eras before: of two changes
	// that follow on the same one, since the store lost the first with a copy, the later one is in force everywhere, and no node takes them for the same.
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
	// Operations are the ids of the last operations, newest last; an answer lost after the write is settled by them.
	Operations    []string      `json:"operations,omitempty"`
	Specification Specification `json:"specification"`
}

// eraVersions is from how far above the versions of one era of the store those of the next one begin. At 55,000 changes a day, all of one service, an era would
// last fifty years.
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

// Buckets is the number of parts a catalog is compared in.
const Buckets = 64

type held struct {
	document Document
	// delta leads here from the version held before, deltaFrom; nil where there was none.
	delta     []byte
	deltaFrom uint64
}

// Catalog is the set of documents in force.
type Catalog struct {
	documents map[string]held
	hashes    [Buckets]uint64
	revision  uint64
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{documents: map[string]held{}}
}

func bucketOf(service string) int {
	return int(xxhash.Sum64String(service) % Buckets)
}

func entryHash(service string, version uint64) uint64 {
	digest := xxhash.NewWithSeed(version)
	_, _ = digest.WriteString(service)
	return digest.Sum64()
}

// Merge takes a document in if its version is higher than the one held, and reports whether it did.
func (c *Catalog) Merge(document Document) bool {
	known, found := c.documents[document.Service]
	if found && known.document.Version >= document.Version {
		return false
	}
	bucket := bucketOf(document.Service)
	if found {
		c.hashes[bucket] ^= entryHash(document.Service, known.document.Version)
	}
	c.hashes[bucket] ^= entryHash(document.Service, document.Version)
	document.Specification.BackEnds = interned(document.Specification.BackEnds)
	taken := held{document: document}
	if found {
		if delta, ok := Diff(known.document, document); ok {
			taken.delta = delta.Encode()
			taken.deltaFrom = delta.From
		}
	}
	c.documents[document.Service] = taken
	c.revision++
	return true
}

// Get returns the document of a service; deleted ones are returned too.
func (c *Catalog) Get(service string) (Document, bool) {
	found, ok := c.documents[service]
	return found.document, ok
}

// interned returns back ends whose zones and regions share their strings: at 71,000 back ends that, and not keeping the
// encoded form, is a third of the catalog's memory.
func interned(backEnds []BackEnd) []BackEnd {
	if backEnds == nil {
		return nil
	}
	shared := make([]BackEnd, len(backEnds))
	for i, backEnd := range backEnds {
		backEnd.Zone = unique.Make(backEnd.Zone).Value()
		backEnd.Region = unique.Make(backEnd.Region).Value()
		shared[i] = backEnd
	}
	return shared
}

// Encoded returns the encoded document of a service, or nil.
func (c *Catalog) Encoded(service string) []byte {
	found, ok := c.documents[service]
	if !ok {
		return nil
	}
	return found.document.Encode()
}

// Delta returns the encoded delta to the document of a service from the one held before, or nil.
func (c *Catalog) Delta(service string) []byte { return c.documents[service].delta }

// DeltaFrom returns the encoded delta to the document of a service from the given version, or nil.
func (c *Catalog) DeltaFrom(service string, version uint64) []byte {
	found := c.documents[service]
	if found.delta == nil || found.deltaFrom != version {
		return nil
	}
	return found.delta
}

// Version returns the version of a service in force, zero for none.
func (c *Catalog) Version(service string) uint64 { return c.documents[service].document.Version }

// Revision changes with every document taken in.
func (c *Catalog) Revision() uint64 { return c.revision }

// Len counts the documents, tombstones included.
func (c *Catalog) Len() int { return len(c.documents) }

// Services returns the names of all services, deleted ones included, in order.
func (c *Catalog) Services() []string {
	names := make([]string, 0, len(c.documents))
	for name := range c.documents {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// InBucket returns the names of the services in a bucket, in order.
func (c *Catalog) InBucket(bucket int) []string {
	var names []string
	for name := range c.documents {
		if bucketOf(name) == bucket {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Hashes returns the hash of each bucket: the exclusive or over (service, version).
func (c *Catalog) Hashes() [Buckets]uint64 { return c.hashes }

// Hash returns the hash of the whole catalog.
func (c *Catalog) Hash() uint64 {
	digest := xxhash.New()
	var number [8]byte
	for _, hash := range c.hashes {
		for i := range number {
			number[i] = byte(hash >> (8 * i))
		}
		_, _ = digest.Write(number[:])
	}
	return digest.Sum64()
}
