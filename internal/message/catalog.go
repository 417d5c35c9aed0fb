package message

// CatalogSummary opens an anti-entropy exchange, and closes it when the hashes agree.
type CatalogSummary struct {
	Hash uint64
	// AgeMilliseconds since the sender's catalog was last known equal to the store's; -1 for never.
	AgeMilliseconds int64
	// Ready: the sender serves from this catalog.
	Ready bool
	// Reply is set on the answer to a summary with an equal hash.
	Reply bool
}

// Kind implements Message.
func (*CatalogSummary) Kind() Kind { return KindCatalogSummary }
func (m *CatalogSummary) fields(c *codec) {
	c.uint64(&m.Hash)
	c.int64(&m.AgeMilliseconds)
	c.bool(&m.Ready)
	c.bool(&m.Reply)
}

// CatalogBuckets carries the hash of each bucket of services.
type CatalogBuckets struct {
	Hashes []uint64
}

// Kind implements Message.
func (*CatalogBuckets) Kind() Kind { return KindCatalogBuckets }
func (m *CatalogBuckets) fields(c *codec) {
	list(c, &m.Hashes, func(c *codec, hash *uint64) { c.uint64(hash) })
}

// ServiceVersion names a version of a service's document.
type ServiceVersion struct {
	Service string
	Version uint64
}

// CatalogKeys lists what the sender holds in the buckets that differ.
type CatalogKeys struct {
	Buckets []uint32
	Keys    []ServiceVersion
}

// Kind implements Message.
func (*CatalogKeys) Kind() Kind { return KindCatalogKeys }
func (m *CatalogKeys) fields(c *codec) {
	list(c, &m.Buckets, walkUint32)
	list(c, &m.Keys, func(c *codec, key *ServiceVersion) {
		c.string(&key.Service)
		c.uint64(&key.Version)
	})
}

// CatalogDocuments carries documents, and the services the sender wants in return.
type CatalogDocuments struct {
	// Operation, where not zero, asks for a CatalogAck.
	Operation uint64
	// Rumor marks a push of a new document, which the receiver passes on.
	Rumor     bool
	Documents [][]byte
	// Deltas are pushed in place of documents to peers that likely hold the version before.
	Deltas [][]byte
	// Wanted are services of which the sender wants what is newer than the version it names.
	Wanted []ServiceVersion
}

// Kind implements Message.
func (*CatalogDocuments) Kind() Kind { return KindCatalogDocuments }
func (m *CatalogDocuments) fields(c *codec) {
	c.uint64(&m.Operation)
	c.bool(&m.Rumor)
	list(c, &m.Documents, func(c *codec, document *[]byte) { c.bytes(document) })
	list(c, &m.Deltas, func(c *codec, delta *[]byte) { c.bytes(delta) })
	list(c, &m.Wanted, func(c *codec, key *ServiceVersion) {
		c.string(&key.Service)
		c.uint64(&key.Version)
	})
}

// CatalogAck says that the documents of an operation are held.
type CatalogAck struct {
	Operation uint64
}

// Kind implements Message.
func (*CatalogAck) Kind() Kind        { return KindCatalogAck }
func (m *CatalogAck) fields(c *codec) { c.uint64(&m.Operation) }
