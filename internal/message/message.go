// Package message defines the messages that nodes send each other, and their binary encoding.
//
// A frame consists of a Header and a payload, both in big-endian order. The size of a payload is bounded, and the
// header contains its checksum. The fields of a payload are in the order of the message's method fields, which both
// writes and reads them (codec.go).
//
// The package owns the message kinds, the limits of a frame and the version of the protocol. It keeps no state and
// does no I/O; package transport sends and receives the frames.
package message

// Kind identifies the type of a message in a frame. A value never changes its meaning.
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
	KindAttemptCounts
	KindAttemptSums
	KindBackEndVerdicts
	KindQuotaReport
	KindQuotaGrant
	KindClockRequest
	KindClockAnswer
)

// Message is implemented by the message types of this package.
type Message interface {
	// Kind returns the kind that identifies the type in a frame.
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
	KindAttemptCounts:    func() Message { return new(AttemptCounts) },
	KindAttemptSums:      func() Message { return new(AttemptSums) },
	KindBackEndVerdicts:  func() Message { return new(BackEndVerdicts) },
	KindQuotaReport:      func() Message { return new(QuotaReport) },
	KindQuotaGrant:       func() Message { return new(QuotaGrant) },
	KindClockRequest:     func() Message { return new(ClockRequest) },
	KindClockAnswer:      func() Message { return new(ClockAnswer) },
}

func newMessage(kind Kind) Message {
	construct := constructors[kind]
	if construct == nil {
		return nil
	}
	return construct()
}

// Control reports whether a message belongs to the control plane (membership, catalog, state) and not to the query
// path.
func Control(m Message) bool {
	switch m.Kind() {
	case KindSubQuery, KindSubAnswer, KindSubCancel, KindForwardExecute, KindForwardReply:
		return false
	}
	return true
}

// Hello is the first message on a connection. It contains the address at which the sender accepts connections,
// which identifies the sender.
type Hello struct {
	Address string
}

// Kind implements Message.
func (*Hello) Kind() Kind        { return KindHello }
func (m *Hello) fields(c *codec) { c.string(&m.Address) }
