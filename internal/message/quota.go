package message

// QuotaReport tells an accountant what its sender has used of shared limits, and asks for tokens.
type QuotaReport struct {
	// Borrower identifies the process that sends the report.
	Borrower uint32
	Uses     []QuotaUse
}

// QuotaUse is what a node has used of one pool of a limit. It replaces what the node has reported before.
type QuotaUse struct {
	// Key is the hash that identifies the limit.
	Key  uint64
	Pool uint8
	// Granter is the process that has lent the tokens, or 0 if none were lent yet.
	Granter uint32
	// Sequence numbers the reports of a node on this pool. Received is the sequence of the last report whose grant the
	// node has received or does not wait for any more.
	Sequence uint64
	Received uint64
	// Held is the number of unused tokens. Wanted is the number of further tokens that the node asks for.
	Held   uint64
	Wanted uint64
	// WindowMs is the length of the window in milliseconds. AllowedThousandths and BoundThousandths are the limit and its
	// bound, in thousandths.
	WindowMs           uint64
	AllowedThousandths uint64
	BoundThousandths   uint64
	// Used are the tokens used in the last window.
	Used []QuotaSlot
}

// QuotaSlot is a number of tokens that were used at least AgeMs ago, in milliseconds.
type QuotaSlot struct {
	AgeMs uint64
	Count uint64
}

// QuotaGrant is the answer to a QuotaReport that asks for tokens.
type QuotaGrant struct {
	// Granter identifies the process that lends the tokens.
	Granter uint32
	Grants  []QuotaLease
}

// QuotaLease is what is lent of one pool of a limit.
type QuotaLease struct {
	Key  uint64
	Pool uint8
	// Sequence is the sequence of the report that is answered.
	Sequence uint64
	// Tokens is the number of tokens lent. ValidMs is how long they may be used, in milliseconds since the node asked.
	Tokens  uint64
	ValidMs uint64
	// RetryMs is when it is worth while to ask again, in milliseconds, and RoomMs when tokens are expected to be free. They
	// are set if no tokens are lent.
	RetryMs uint64
	RoomMs  uint64
	// InUse is the number of tokens of the pool that are used or lent.
	InUse uint64
	// Scarce is set if more than half of the pool is in use.
	Scarce bool
}

// Kind implements Message.
func (*QuotaReport) Kind() Kind { return KindQuotaReport }
func (m *QuotaReport) fields(c *codec) {
	c.uint32(&m.Borrower)
	list(c, &m.Uses, walkQuotaUse)
}

func walkQuotaUse(c *codec, u *QuotaUse) {
	c.uint64(&u.Key)
	c.uint8(&u.Pool)
	c.uint32(&u.Granter)
	c.varint(&u.Sequence)
	c.varint(&u.Received)
	c.varint(&u.Held)
	c.varint(&u.Wanted)
	c.varint(&u.WindowMs)
	c.varint(&u.AllowedThousandths)
	c.varint(&u.BoundThousandths)
	list(c, &u.Used, func(c *codec, s *QuotaSlot) {
		c.varint(&s.AgeMs)
		c.varint(&s.Count)
	})
}

// Kind implements Message.
func (*QuotaGrant) Kind() Kind { return KindQuotaGrant }
func (m *QuotaGrant) fields(c *codec) {
	c.uint32(&m.Granter)
	list(c, &m.Grants, func(c *codec, l *QuotaLease) {
		c.uint64(&l.Key)
		c.uint8(&l.Pool)
		c.varint(&l.Sequence)
		c.varint(&l.Tokens)
		c.varint(&l.ValidMs)
		c.varint(&l.RetryMs)
		c.varint(&l.RoomMs)
		c.varint(&l.InUse)
		c.bool(&l.Scarce)
	})
}
