// Package message holds the typed messages nodes send each other and their binary form.
//
// A frame is a Header and a payload; both are bounded, checksummed and big endian. The order of the fields in
// a payload is the order in the message's fields method, which serves writing and reading (codec.go).
//
// It owns the kinds, the limits of a frame and the protocol's version. It keeps no state and does no I/O: transport carries the frames.
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

// Hello opens a connection: it names the sender, by the address it takes connections at.
type Hello struct {
	Address string
}

// Kind implements Message.
func (*Hello) Kind() Kind        { return KindHello }
func (m *Hello) fields(c *codec) { c.string(&m.Address) }
