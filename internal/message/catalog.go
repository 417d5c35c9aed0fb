package message

// CatalogSummary starts an anti-entropy exchange of service documents. It also ends the exchange if the hashes are
// equal.
type CatalogSummary struct {
	Hash uint64
	// AgeMilliseconds is the time since the sender's catalog was last known to equal the store's, or -1 if it never
	// was.
	AgeMilliseconds int64
	// Ready is set if the sender serves requests from this catalog.
	Ready bool
	// Reply is set on the answer to a summary with an equal hash.
	Reply bool
	// SentAt is the reading of the sender's clock when it sends the first summary of an exchange. The answer returns it. It
	// is 0 if the node that began the exchange is of a release without such readings.
	SentAt uint64
}

// For implements Versioned. An answer that does not say which summary it answers cannot be dated, so its age is left out
// unless its receiver knows nothing but ages.
func (m *CatalogSummary) For(version Version) Message {
	reduced := *m
	if version < VersionClocks {
		reduced.SentAt = 0
	}
	if version == VersionUnknown || version >= VersionClocks && m.Reply && m.SentAt == 0 {
		reduced.AgeMilliseconds = -1
	}
	return &reduced
}

// Kind implements Message.
func (*CatalogSummary) Kind() Kind { return KindCatalogSummary }
func (m *CatalogSummary) fields(c *codec) {
	c.uint64(&m.Hash)
	c.int64(&m.AgeMilliseconds)
	c.bool(&m.Ready)
	c.bool(&m.Reply)
	c.optionalUint64(&m.SentAt)
}

// CatalogBuckets contains the hash of each bucket of services.
type CatalogBuckets struct {
	Hashes []uint64
}

// Kind implements Message.
func (*CatalogBuckets) Kind() Kind { return KindCatalogBuckets }
func (m *CatalogBuckets) fields(c *codec) {
	list(c, &m.Hashes, (*codec).uint64)
}

// ServiceVersion identifies a version of a service's document.
type ServiceVersion struct {
	Service string
	Version uint64
}

func walkServiceVersion(c *codec, key *ServiceVersion) {
	c.string(&key.Service)
	c.uint64(&key.Version)
}

// CatalogKeys lists the documents that the sender has in the buckets that differ.
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

// CatalogDocuments contains documents, and the services whose documents the sender requests in return.
type CatalogDocuments struct {
	// Operation, if not zero, asks the receiver for a CatalogAck.
	Operation uint64
	// Rumor marks a new document that the receiver passes on to other nodes.
	Rumor     bool
	Documents [][]byte
	// Deltas replace documents in messages to peers that probably have the previous version.
	Deltas [][]byte
	// Wanted holds services of which the sender requests any version newer than the one given.
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

// CatalogAck confirms that the sender has stored the documents of an operation.
type CatalogAck struct {
	Operation uint64
}

// Kind implements Message.
func (*CatalogAck) Kind() Kind        { return KindCatalogAck }
func (m *CatalogAck) fields(c *codec) { c.uint64(&m.Operation) }

// VersionRequest asks a node which versions it has in force. An empty Service stands for all services.
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

// VersionReply is the answer to a VersionRequest.
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
