// Package message holds the typed messages nodes send each other and their binary form.
//
// A frame is a Header and a payload; both are bounded, checksummed and big endian. The order of the fields in
// a payload is the order in the message's fields method.
package message

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
	KindEvidence
	KindBackEndReports
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
	KindEvidence:         func() Message { return new(Evidence) },
	KindBackEndReports:   func() Message { return new(BackEndReports) },
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
