// Package catalog holds the configuration that is in force at a node: one versioned document per service. It decides
// which of two versions of a document is in force.
//
// Merging a document keeps the higher version. The merge is a join: commutative, associative and idempotent. A service
// therefore never reverts to an older version, whatever the order of messages, and after repeated messages or a network
// partition. A deleted service keeps a document that is marked as deleted.
//
// The package owns the encoding of documents in the store and between nodes (document.go) and the encoding of the
// difference between two versions (delta.go). It does no I/O, takes no lock and reads no clock.
package catalog

import (
	"maps"
	"slices"
	"unique"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of buckets that the services of a catalog are hashed into. Nodes compare their catalogs
// bucket by bucket.
const Buckets = 64

// entry is a document in force with the delta that leads to it.
type entry struct {
	document Document
	// delta is the encoded delta from version deltaFrom, which was in force before, to this document. It is nil if
	// there was no earlier version, or if no delta can express the change.
	delta     []byte
	deltaFrom uint64
}

// Catalog is the set of documents in force, one per service.
type Catalog struct {
	// documents has the entry of each service by its name.
	documents map[string]entry
	// hashes has, for each bucket, the exclusive or of the hashes of its services' names and versions.
	hashes [Buckets]uint64
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{documents: map[string]entry{}}
}

func bucketOf(service string) int {
	return int(xxhash.Sum64String(service) % Buckets)
}

func entryHash(service string, version uint64) uint64 {
	digest := xxhash.NewWithSeed(version)
	_, _ = digest.WriteString(service)
	return digest.Sum64()
}

// Merge puts a document into force if its version is higher than the one in force, and reports whether it did.
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
	document.Specification.BackEnds = internNames(document.Specification.BackEnds)
	merged := entry{document: document}
	if found {
		if delta, ok := Diff(known.document, document); ok {
			merged.delta = delta.Encode()
			merged.deltaFrom = delta.From
		}
	}
	c.documents[document.Service] = merged
	return true
}

// Get returns the document of a service, also if the service is deleted. The second result is false if there is none.
func (c *Catalog) Get(service string) (Document, bool) {
	found, ok := c.documents[service]
	return found.document, ok
}

// internNames returns a copy of the back ends in which equal names of zones and regions share one string. This saves
// much of the memory of a large catalog.
func internNames(backEnds []BackEnd) []BackEnd {
	if backEnds == nil {
		return nil
	}
	interned := make([]BackEnd, len(backEnds))
	for i, backEnd := range backEnds {
		backEnd.Zone = unique.Make(backEnd.Zone).Value()
		backEnd.Region = unique.Make(backEnd.Region).Value()
		interned[i] = backEnd
	}
	return interned
}

// Encoded returns the encoded document of a service, or nil if there is none.
func (c *Catalog) Encoded(service string) []byte {
	found, ok := c.documents[service]
	if !ok {
		return nil
	}
	return found.document.Encode()
}

// Delta returns the encoded delta from the previous document of a service to the one in force, or nil if there is none.
func (c *Catalog) Delta(service string) []byte { return c.documents[service].delta }

// DeltaFrom returns the encoded delta from the given version of a service's document to the one in force. It returns
// nil if the catalog has no delta from that version.
func (c *Catalog) DeltaFrom(service string, version uint64) []byte {
	found := c.documents[service]
	if found.delta == nil || found.deltaFrom != version {
		return nil
	}
	return found.delta
}

// Version returns the version of a service's document in force, or zero if there is none.
func (c *Catalog) Version(service string) uint64 { return c.documents[service].document.Version }

// Services returns the sorted names of all services, deleted ones included.
func (c *Catalog) Services() []string {
	return slices.Sorted(maps.Keys(c.documents))
}

// ServicesInBucket returns the sorted names of the services in a bucket, deleted ones included.
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

// Hashes returns the hash of each bucket: the exclusive or of the hashes of (service, version) of its services.
func (c *Catalog) Hashes() [Buckets]uint64 { return c.hashes }

// Hash returns the hash of the whole catalog. Catalogs with the same services at the same versions have the same hash.
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
