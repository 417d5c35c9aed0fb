package message

// MemberUpdate is the state of one member in a node's view.
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

// Probe asks a member whether it is alive.
type Probe struct {
	Sequence uint64
	// Origin, if set, is the member to which the acknowledgement is relayed.
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

// ProbeAck is the answer to a Probe.
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

// ProbeRequest asks a member to probe another member on the sender's behalf.
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

// MemberSync compares two nodes' views of the members. It contains updates. If ReplyWanted is set, it asks for the
// members of which the receiver has a newer state.
type MemberSync struct {
	ReplyWanted bool
	// Complete is set if the updates are the sender's complete view.
	Complete bool
	// Hash is the hash of the sender's complete view, or 0 if it is not included. A receiver with the same hash has
	// no newer state.
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
