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
	list(c, &m.Hashes, (*codec).uint64)
}

// ServiceVersion names a version of a service's document.
type ServiceVersion struct {
	Service string
	Version uint64
}

func walkServiceVersion(c *codec, key *ServiceVersion) {
	c.string(&key.Service)
	c.uint64(&key.Version)
}

// CatalogKeys lists what the sender holds in the buckets that differ.
type CatalogKeys struct {
	Buckets []uint32
	Keys    []ServiceVersion
}

// Kind implements Message.
func (*CatalogKeys) Kind() Kind { return KindCatalogKeys }
func (m *CatalogKeys) fields(c *codec) {
	list(c, &m.Buckets, (*codec).uint32)
	list(c, &m.Keys, walkServiceVersion)
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
	list(c, &m.Documents, (*codec).bytes)
	list(c, &m.Deltas, (*codec).bytes)
	list(c, &m.Wanted, walkServiceVersion)
}

// CatalogAck says that the documents of an operation are held.
type CatalogAck struct {
	Operation uint64
}

// Kind implements Message.
func (*CatalogAck) Kind() Kind        { return KindCatalogAck }
func (m *CatalogAck) fields(c *codec) { c.uint64(&m.Operation) }

// VersionRequest asks which versions a node has in force; an empty service means all.
type VersionRequest struct {
	Sequence uint64
	Service  string
}

// Kind implements Message.
func (*VersionRequest) Kind() Kind { return KindVersionRequest }
func (m *VersionRequest) fields(c *codec) {
	c.uint64(&m.Sequence)
	c.string(&m.Service)
}

// VersionReply answers a VersionRequest.
type VersionReply struct {
	Sequence uint64
	Versions []ServiceVersion
}

// Kind implements Message.
func (*VersionReply) Kind() Kind { return KindVersionReply }
func (m *VersionReply) fields(c *codec) {
	c.uint64(&m.Sequence)
	list(c, &m.Versions, walkServiceVersion)
}
