package message

import (
	"stiletrail/internal/clock"
	"stiletrail/internal/history"
)

// StoreDigest says how much of the store a node knows.
type StoreDigest struct {
	// Revision up to which the sender knows all changes; unknown while it knows nothing whole.
	Revision history.Revision
	// Configuration is the version of the configuration that the sender has in force, 0 without one.
	Configuration uint64
	Confirmation
}

// Confirmation says when the store was last known to hold no change beyond a revision.
type Confirmation struct {
	// Confirmed is false while that was never known.
	Confirmed bool
	// AgeMs is how long ago it was, in milliseconds.
	AgeMs uint32
}

func (m *Confirmation) fields(c *codec) {
	c.bool(&m.Confirmed)
	c.uint32(&m.AgeMs)
}

// Aged is a message that tells how old something is: the time that it waits to be sent is added to that.
type Aged interface {
	Message
	WithAge(waited clock.Ms) Message
}

// WithAge returns the confirmation as it is some time later.
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

// revision walks a moment in the store's history.
func (c *codec) revision(value *history.Revision) {
	c.varint(&value.Era)
	c.varint(&value.Number)
}

// StoreRequest asks a node for what it knows beyond a revision; for everything where that is unknown.
type StoreRequest struct {
	Revision history.Revision
}

// Kind implements Message.
func (*StoreRequest) Kind() Kind        { return KindStoreRequest }
func (m *StoreRequest) fields(c *codec) { c.revision(&m.Revision) }

// StoreRecord is an item of the store as it was last written, or that it is gone.
type StoreRecord struct {
	Key      string
	Revision history.Revision
	Deleted  bool
	Value    []byte
}

// StoreRecords answers a StoreRequest.
type StoreRecords struct {
	// Since is the revision that was asked for: the records are all changes after it.
	Since history.Revision
	// Revision up to which all changes are known once these records are taken.
	Revision history.Revision
	// Complete: the records are all there are, and not only what has changed since the revision that was asked for.
	Complete bool
	Records  []StoreRecord
	// Retained are items that the sender goes by though the store, back from a copy, says otherwise now.
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
