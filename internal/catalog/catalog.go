// Package catalog decides which of two versions of a service's configuration is in force, and holds what is in force at a node:
// one versioned document per service. Merging takes the higher version of each, a join: commutative, associative and idempotent.
// So the order of messages, repeats, isolation and rejoining cannot make a service revert. A deletion is a document too.
//
// It owns the forms of documents in the store and between nodes (document.go) and of what changed in one (delta.go). It does no
// I/O, takes no lock and reads no clock.
package catalog

import (
	"maps"
	"slices"
	"unique"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of parts a catalog is compared in.
const Buckets = 64

// held is a document in force.
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
	return true
}

// Get returns the document of a service; deleted ones are returned too.
func (c *Catalog) Get(service string) (Document, bool) {
	found, ok := c.documents[service]
	return found.document, ok
}

// interned returns back ends whose zones and regions share their strings, which saves much of the memory of a large catalog.
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

// Services returns the names of all services, deleted ones included, in order.
func (c *Catalog) Services() []string {
	return slices.Sorted(maps.Keys(c.documents))
}

// ServicesInBucket returns the names of the services in a bucket, in order.
func (c *Catalog) ServicesInBucket(bucket int) []string {
	var names []string
	for name := range c.documents {
		if bucketOf(name) == bucket {
			names = append(names, name)
		}
	}
	slices.Sort(names)
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
