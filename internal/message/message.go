// Package message holds the typed messages nodes send each other and their binary form.
//
// A frame is a Header and a payload; both are bounded, checksummed and big endian. The order of the fields in
// a payload is the order in the message's fields method.
package message

import "stiletrail/internal/query"

// Kind names the type of a message on the wire; values never change meaning.
type Kind uint8

// The kinds of message.
const (
	KindProbe Kind = iota + 1
	KindProbeAck
	KindProbeRequest
	KindMemberSync
	KindCatalogSummary
	KindCatalogBuckets
	KindCatalogKeys
	KindCatalogDocuments
	KindCatalogAck
	KindSubQuery
	KindSubAnswer
	KindSubCancel
	KindGroupRequest
	KindGroupState
	KindForwardExecute
	KindForwardReply
	KindVersionRequest
	KindVersionReply
	KindHello
	KindStoreDigest
	KindStoreRequest
	KindStoreRecords
)

// Message is one of the types of this package.
type Message interface {
	// Kind is the type on the wire.
	Kind() Kind
	fields(c *codec)
}

var constructors = map[Kind]func() Message{
	KindProbe:            func() Message { return new(Probe) },
	KindProbeAck:         func() Message { return new(ProbeAck) },
	KindProbeRequest:     func() Message { return new(ProbeRequest) },
	KindMemberSync:       func() Message { return new(MemberSync) },
	KindCatalogSummary:   func() Message { return new(CatalogSummary) },
	KindCatalogBuckets:   func() Message { return new(CatalogBuckets) },
	KindCatalogKeys:      func() Message { return new(CatalogKeys) },
	KindCatalogDocuments: func() Message { return new(CatalogDocuments) },
	KindCatalogAck:       func() Message { return new(CatalogAck) },
	KindSubQuery:         func() Message { return new(SubQuery) },
	KindSubAnswer:        func() Message { return new(SubAnswer) },
	KindSubCancel:        func() Message { return new(SubCancel) },
	KindGroupRequest:     func() Message { return new(GroupRequest) },
	KindGroupState:       func() Message { return new(GroupState) },
	KindForwardExecute:   func() Message { return new(ForwardExecute) },
	KindForwardReply:     func() Message { return new(ForwardReply) },
	KindVersionRequest:   func() Message { return new(VersionRequest) },
	KindVersionReply:     func() Message { return new(VersionReply) },
	KindHello:            func() Message { return new(Hello) },
	KindStoreDigest:      func() Message { return new(StoreDigest) },
	KindStoreRequest:     func() Message { return new(StoreRequest) },
	KindStoreRecords:     func() Message { return new(StoreRecords) },
}

func newMessage(kind Kind) Message {
	construct := constructors[kind]
	if construct == nil {
		return nil
	}
	return construct()
}

// Control reports whether a message belongs to control (membership, catalog, state) and not to the query path.
func Control(m Message) bool {
	switch m.Kind() {
	case KindSubQuery, KindSubAnswer, KindSubCancel, KindForwardExecute, KindForwardReply:
		return false
	}
	return true
}

// MemberUpdate is what is said of one member.
type MemberUpdate struct {
	Address     string
	Zone        string
	Region      string
	Generation  uint64
	Incarnation uint64
	State       uint8
}

func walkUpdate(c *codec, u *MemberUpdate) {
	c.string(&u.Address)
	c.string(&u.Zone)
	c.string(&u.Region)
	c.uint64(&u.Generation)
	c.uint64(&u.Incarnation)
	c.uint8(&u.State)
}

// Probe asks a member whether it lives.
type Probe struct {
	Sequence uint64
	// Origin, where set, is the member the ack is to be relayed to.
	Origin  string
	Updates []MemberUpdate
}

// Kind implements Message.
func (*Probe) Kind() Kind { return KindProbe }
func (m *Probe) fields(c *codec) {
	c.uint64(&m.Sequence)
	c.string(&m.Origin)
	list(c, &m.Updates, walkUpdate)
}

// ProbeAck answers a Probe.
type ProbeAck struct {
	Sequence uint64
	Updates  []MemberUpdate
}

// Kind implements Message.
func (*ProbeAck) Kind() Kind { return KindProbeAck }
func (m *ProbeAck) fields(c *codec) {
	c.uint64(&m.Sequence)
	list(c, &m.Updates, walkUpdate)
}

// ProbeRequest asks a member to probe another on the sender's behalf.
type ProbeRequest struct {
	Sequence uint64
	Target   string
	Updates  []MemberUpdate
}

// Kind implements Message.
func (*ProbeRequest) Kind() Kind { return KindProbeRequest }
func (m *ProbeRequest) fields(c *codec) {
	c.uint64(&m.Sequence)
	c.string(&m.Target)
	list(c, &m.Updates, walkUpdate)
}

// MemberSync compares views of the members. It carries updates, and asks for what the receiver knows better where Reply is set.
type MemberSync struct {
	Reply bool
	// Whole: the updates are all that the sender knows.
	Whole bool
	// Hash of the sender's whole view, 0 where it is not told; a receiver with the same has nothing to say.
	Hash    uint64
	Updates []MemberUpdate
}

// Kind implements Message.
func (*MemberSync) Kind() Kind { return KindMemberSync }
func (m *MemberSync) fields(c *codec) {
	c.bool(&m.Reply)
	c.bool(&m.Whole)
	c.uint64(&m.Hash)
	list(c, &m.Updates, walkUpdate)
}

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

// SubQuery is the part of a request that a root hands to the dispatcher of one group.
type SubQuery struct {
	ID       query.ID
	Service  string
	Group    uint32
	Shards   []uint32
	Snapshot query.Snapshot
	Execute  bool
	Body     []byte
	// RemainingMicroseconds until the root's deadline, when the frame was handed to the connection.
	RemainingMicroseconds uint64
}

// Kind implements Message.
func (*SubQuery) Kind() Kind { return KindSubQuery }
func (m *SubQuery) fields(c *codec) {
	walkID(c, &m.ID)
	c.string(&m.Service)
	c.uint32(&m.Group)
	list(c, &m.Shards, walkUint32)
	walkSnapshot(c, &m.Snapshot)
	c.bool(&m.Execute)
	c.bytes(&m.Body)
	c.uint64(&m.RemainingMicroseconds)
}

func walkID(c *codec, id *query.ID) { c.fixed(id) }

func walkSnapshot(c *codec, snapshot *query.Snapshot) { c.fixed(snapshot) }

// SubAnswer carries results of a sub-query as they come; the last one has Done set.
type SubAnswer struct {
	ID       query.ID
	Snapshot query.Snapshot
	Results  []query.ShardDocuments
	Done     bool
	// Missing and the fields below are set with Done.
	Missing []query.Missing
	// NotRun: nothing of the sub-query ran on any back end.
	NotRun                 bool
	ShardAttempts          uint32
	RetryAfterMilliseconds uint32
}

// Kind implements Message.
func (*SubAnswer) Kind() Kind { return KindSubAnswer }
func (m *SubAnswer) fields(c *codec) {
	walkID(c, &m.ID)
	walkSnapshot(c, &m.Snapshot)
	list(c, &m.Results, walkShardDocuments)
	c.bool(&m.Done)
	list(c, &m.Missing, func(c *codec, missing *query.Missing) {
		c.uint32(&missing.Shard)
		c.uint8((*uint8)(&missing.Reason))
	})
	c.bool(&m.NotRun)
	c.uint32(&m.ShardAttempts)
	c.uint32(&m.RetryAfterMilliseconds)
}

func walkShardDocuments(c *codec, result *query.ShardDocuments) {
	c.uint32(&result.Shard)
	list(c, &result.Documents, func(c *codec, document *query.Document) {
		c.string(&document.Key)
		c.bytes(&document.Body)
	})
}

// SubCancel withdraws a sub-query.
type SubCancel struct {
	ID query.ID
}

// Kind implements Message.
func (*SubCancel) Kind() Kind        { return KindSubCancel }
func (m *SubCancel) fields(c *codec) { walkID(c, &m.ID) }

// GroupRequest asks a dispatcher what the back ends of a group hold.
type GroupRequest struct {
	Service string
	Group   uint32
}

// Kind implements Message.
func (*GroupRequest) Kind() Kind { return KindGroupRequest }
func (m *GroupRequest) fields(c *codec) {
	c.string(&m.Service)
	c.uint32(&m.Group)
}

// GroupState answers a GroupRequest with one holding per back end that can take work.
type GroupState struct {
	Service string
	Group   uint32
	// CatalogVersion is the service version the groups were cut by.
	CatalogVersion uint64
	Holdings       []query.Holding
}

// Kind implements Message.
func (*GroupState) Kind() Kind { return KindGroupState }
func (m *GroupState) fields(c *codec) {
	c.string(&m.Service)
	c.uint32(&m.Group)
	c.uint64(&m.CatalogVersion)
	list(c, &m.Holdings, func(c *codec, holding *query.Holding) {
		c.uint8((*uint8)(&holding.State))
		c.uint64(&holding.Epoch)
		c.uint32(&holding.ShardsTotal)
		list(c, &holding.Shards, walkUint32)
		c.uint64(&holding.Oldest)
		c.uint64(&holding.Newest)
	})
}

// ForwardExecute passes a request that is not repeatable to the node that minted its ticket.
type ForwardExecute struct {
	Sequence              uint64
	Service               string
	Key                   string
	Body                  []byte
	Ticket                []byte
	RemainingMicroseconds uint64
}

// Kind implements Message.
func (*ForwardExecute) Kind() Kind { return KindForwardExecute }
func (m *ForwardExecute) fields(c *codec) {
	c.uint64(&m.Sequence)
	c.string(&m.Service)
	c.string(&m.Key)
	c.bytes(&m.Body)
	c.bytes(&m.Ticket)
	c.uint64(&m.RemainingMicroseconds)
}

// ForwardReply answers a ForwardExecute; an empty Code is success.
type ForwardReply struct {
	Sequence               uint64
	Code                   string
	NotRun                 bool
	Text                   string
	RetryAfterMilliseconds uint32
	Shard                  uint32
	Result                 []byte
}

// Kind implements Message.
func (*ForwardReply) Kind() Kind { return KindForwardReply }
func (m *ForwardReply) fields(c *codec) {
	c.uint64(&m.Sequence)
	c.string(&m.Code)
	c.bool(&m.NotRun)
	c.string(&m.Text)
	c.uint32(&m.RetryAfterMilliseconds)
	c.uint32(&m.Shard)
	c.bytes(&m.Result)
}

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
	list(c, &m.Versions, func(c *codec, key *ServiceVersion) {
		c.string(&key.Service)
		c.uint64(&key.Version)
	})
}

// Hello opens a connection: it names the sender, by the address it takes connections at.
type Hello struct {
	Address string
}

// Kind implements Message.
func (*Hello) Kind() Kind        { return KindHello }
func (m *Hello) fields(c *codec) { c.string(&m.Address) }
