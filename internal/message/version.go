package message

// Version is the version of the messages that a node reads. Each acknowledgement of a frame carries it, so that a sender
// leaves out what an earlier release would take for a malformed message.
type Version uint8

// The versions. A node that reads one also reads those before it.
const (
	// VersionUnknown: the node has not acknowledged a frame yet.
	VersionUnknown Version = iota
	// VersionAges: a confirmation carries its age only.
	VersionAges
	// VersionClocks: a confirmation also carries the reading of its sender's clock, and clocks can be asked for.
	VersionClocks
)

// CurrentVersion is the version that this release reads.
const CurrentVersion = VersionClocks

// Versioned is a message whose content depends on the version that its receiver reads.
type Versioned interface {
	Message
	// For returns the message for a receiver that reads a version.
	For(version Version) Message
}

// Repeatable reports whether a message may be sent twice: it is small, and the second one changes nothing that the first one
// has told.
func Repeatable(m Message) bool {
	switch m.Kind() {
	case KindStoreDigest, KindEvidence:
		return true
	}
	return false
}

// For returns the confirmation for a receiver that reads a version. A receiver that reads no dates has to trust the age.
// One whose version is not known is not given an age either, because it may be one that would rather have the date.
func (m Confirmation) For(version Version) Confirmation {
	switch {
	case version == VersionUnknown:
		return Confirmation{}
	case version < VersionClocks:
		m.At = 0
	}
	return m
}

// For implements Versioned.
func (m *StoreDigest) For(version Version) Message {
	reduced := *m
	reduced.Confirmation = m.Confirmation.For(version)
	return &reduced
}

// For implements Versioned.
func (m *StoreRecords) For(version Version) Message {
	reduced := *m
	reduced.Confirmation = m.Confirmation.For(version)
	return &reduced
}
