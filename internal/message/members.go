package message

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
	ReplyWanted bool
	// Complete: the updates are all that the sender knows.
	Complete bool
	// Hash of the sender's whole view, 0 where it is not told; a receiver with the same has nothing to say.
	Hash    uint64
	Updates []MemberUpdate
}

// Kind implements Message.
func (*MemberSync) Kind() Kind { return KindMemberSync }
func (m *MemberSync) fields(c *codec) {
	c.bool(&m.ReplyWanted)
	c.bool(&m.Complete)
	c.uint64(&m.Hash)
	list(c, &m.Updates, walkUpdate)
}
