package message

import (
	"stiletrail/internal/clock"
	"stiletrail/internal/history"
)

// StoreDigest reports how much of the store the sender knows.
type StoreDigest struct {
	// Revision is the revision up to which the sender knows all changes. It is unknown if the sender's copy was
	// never complete.
	Revision history.Revision
	// Configuration is the version of the configuration in force at the sender, or 0 without one.
	Configuration uint64
	Confirmation
}

// Confirmation reports when the store was last known to hold no change beyond a revision.
type Confirmation struct {
	// Confirmed is false if the sender has no such confirmation.
	Confirmed bool
	// AgeMs is the age of the confirmation in milliseconds when the message is sent.
	AgeMs uint32
	// At is the same moment as a reading of the sender's clock, which stays right however long the message is under way.
	// It is 0 if the sender is of a release without such readings.
	At uint64
}

func (m *Confirmation) fields(c *codec) {
	c.bool(&m.Confirmed)
	c.uint32(&m.AgeMs)
	c.optionalUint64(&m.At)
}

// Aged is a message that reports the age of its contents. The transport adds the time for which the message waits
// to be sent.
type Aged interface {
	Message
	WithAge(waited clock.Ms) Message
}

// WithAge returns the confirmation with its age increased by waited.
func (m Confirmation) WithAge(waited clock.Ms) Confirmation {
	m.AgeMs += uint32(waited)
	return m
}

// WithAge implements Aged.
func (m *StoreDigest) WithAge(waited clock.Ms) Message {
	older := *m
	older.Confirmation = m.Confirmation.WithAge(waited)
	return &older
}

// WithAge implements Aged.
func (m *StoreRecords) WithAge(waited clock.Ms) Message {
	older := *m
	older.Confirmation = m.Confirmation.WithAge(waited)
	return &older
}

// Kind implements Message.
func (*StoreDigest) Kind() Kind { return KindStoreDigest }
func (m *StoreDigest) fields(c *codec) {
	c.revision(&m.Revision)
	c.varint(&m.Configuration)
	m.Confirmation.fields(c)
}

// revision reads or writes a revision of the store.
func (c *codec) revision(value *history.Revision) {
	c.varint(&value.Era)
	c.varint(&value.Number)
}

// StoreRequest asks a node for all changes after a revision, or for all records if the revision is unknown.
type StoreRequest struct {
	Revision history.Revision
}

// Kind implements Message.
func (*StoreRequest) Kind() Kind        { return KindStoreRequest }
func (m *StoreRequest) fields(c *codec) { c.revision(&m.Revision) }

// StoreRecord is an item of the store as it was last written, or the tombstone of a deleted key.
type StoreRecord struct {
	Key      string
	Revision history.Revision
	Deleted  bool
	Value    []byte
}

// StoreRecords is the answer to a StoreRequest.
type StoreRecords struct {
	// Since is the requested revision. The records are all changes after it.
	Since history.Revision
	// Revision is the revision up to which the receiver knows all changes once it has stored these records.
	Revision history.Revision
	// Complete is set if the records are all that the sender has, and not only the changes since the requested
	// revision.
	Complete bool
	Records  []StoreRecord
	// Retained holds records that are in force at the sender although the store, restored from a backup, says
	// otherwise.
	Retained []StoreRecord
	Confirmation
}

// Kind implements Message.
func (*StoreRecords) Kind() Kind { return KindStoreRecords }
func (m *StoreRecords) fields(c *codec) {
	c.revision(&m.Since)
	c.revision(&m.Revision)
	c.bool(&m.Complete)
	list(c, &m.Records, (*codec).storeRecord)
	list(c, &m.Retained, (*codec).storeRecord)
	m.Confirmation.fields(c)
}

func (c *codec) storeRecord(record *StoreRecord) {
	c.string(&record.Key)
	c.revision(&record.Revision)
	c.bool(&record.Deleted)
	c.bytes(&record.Value)
}
