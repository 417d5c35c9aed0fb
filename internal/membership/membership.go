// Package membership decides which nodes are alive. It uses randomised probes with indirect probes, suspicion and
// refutation (Das, Gupta, Motivala: "SWIM", 2002). A local health score slows down a member that is itself slow
// (Dadgar, Phillips, Currey: "Lifeguard", 2018).
//
// The package owns this node's view of each member. It does no I/O, reads no clock and has no lock. The caller
// passes in the time, sends the returned messages and serialises access. Invariants:
//   - An update replaces another only if Supersedes reports true, so that views converge whatever the order of
//     messages.
//   - Only a member itself raises its incarnation.
//   - A member that stops announces the state Leaving and never refutes it.
package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"stiletrail/internal/message"
)

// State is the state of a member in a node's view.
type State uint8

// The states, in order of precedence at equal incarnation.
const (
	Alive State = iota + 1
	Suspect
	Leaving
	Dead
)

// Member is a node in another node's view.
type Member struct {
	// Address is the IP address and port to which peers connect. It identifies the member.
	Address string
	Zone    string
	Region  string
	// Generation is a random number drawn at each start of the node.
	Generation  uint64
	Incarnation uint64
	State       State
}

// Settings holds the intervals and limits of the protocol. DefaultSettings returns the default values.
type Settings struct {
	// ProbeInterval is the time between two probes by a node.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a node waits for the answer to a probe before it requests indirect probes.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of members that are asked to probe a target on this node's behalf.
	IndirectProbes int
	// SuspicionMultiplier determines how long a suspected member has to refute the suspicion. That time is
	// SuspicionMultiplier, times log10 of the number of members in the zone, times ProbeInterval.
	SuspicionMultiplier float64
	// RemoteEvery is n where every n-th probe goes to another zone.
	RemoteEvery int
	// UpdatesPerMessage is the largest number of updates piggybacked on a message.
	UpdatesPerMessage int
	// SyncPerMember times the number of members is the time between two exchanges of views.
	SyncPerMember time.Duration
	// MinimumSyncInterval is the shortest time between two exchanges of views once the view has stopped growing.
	MinimumSyncInterval time.Duration
	// ForgetAfter is how long a dead member is remembered and still probed.
	ForgetAfter time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		ProbeInterval:       time.Second,
		ProbeTimeout:        300 * time.Millisecond,
		IndirectProbes:      3,
		SuspicionMultiplier: 3,
		RemoteEvery:         4,
		UpdatesPerMessage:   8,
		SyncPerMember:       140 * time.Millisecond,
		MinimumSyncInterval: 10 * time.Second,
		ForgetAfter:         24 * time.Hour,
	}
}

// OutgoingMessage is a message for a peer.
type OutgoingMessage struct {
	To      string
	Message message.Message
}

const (
	maximumHealthScore = 8
	// freezeIntervals is the number of probe intervals between two ticks beyond which the process must have been
	// frozen.
	freezeIntervals = 4
	// leavingIntervals is the number of probe intervals after which a leaving member counts as dead. relayIntervals
	// is the number of probe intervals after which a relayed probe is forgotten.
	leavingIntervals = 60
	relayIntervals   = 10
	// deadProbeEvery is n where every n-th probe goes to a dead member, so that zones find each other again after a
	// partition.
	deadProbeEvery = 8
	// joinSyncsPerProbe is the number of exchanges of views per probe interval while the node joins.
	joinSyncsPerProbe = 4
	// joinTimeout is how long after its start a node waits for a complete view. After that it continues with the
	// members that it has found.
	joinTimeout = 10 * time.Second
	// growthDivisor is n where a view counts as growing if more than one in n of its members are new since the last
	// exchange.
	growthDivisor = 20
	// syncChunk is the largest number of members in one message of an exchange.
	syncChunk = 512
	// transmissionFactor times the logarithm of the number of members is how often an update is passed on.
	transmissionFactor = 3
)

// record is a member in this node's view.
type record struct {
	member Member
	// stateSince is when the member entered its state.
	stateSince time.Duration
}

// queuedUpdate is an update about a member, with the number of times that it is still to be sent.
type queuedUpdate struct {
	address           string
	transmissionsLeft int
}

// probe is a probe whose answer is pending.
type probe struct {
	target   string
	sequence uint64
	sentAt   time.Duration
	indirect bool
}

// Core is the membership state of one node.
type Core struct {
	settings Settings
	self     Member
	random   *rand.Rand
	records  map[string]*record
	// order holds the keys of records in sorted order, so that a run with the same random seed has the same trace.
	order []string
	// zoneOrder holds the remaining targets of the current shuffled round of probes in this node's zone.
	zoneOrder []string
	updates   []queuedUpdate
	pending   *probe
	relayed   map[uint64]relay
	sequence  uint64
	// probes counts the probes started. healthScore is 0 while this node's probes are answered in time. It rises
	// with each unanswered probe, which makes this node wait longer in case it is itself slow.
	probes      int
	healthScore int
	lastTick    time.Duration
	nextProbe   time.Duration
	nextSync    time.Duration
	version     uint64
	alive       int
	zoneAlive   int
	seeds       []string
	// sizeAtLastSync is the number of records at the last exchange of views.
	sizeAtLastSync int
	syncDelay      time.Duration
	// syncs counts the exchanges of views started.
	syncs int
	// viewReceived is set once a peer has sent its view. joined is set once the view has stopped growing after
	// that.
	viewReceived bool
	joined       bool
	startedAt    time.Duration
}

// relay is a probe sent on behalf of another member.
type relay struct {
	origin   string
	sequence uint64
	at       time.Duration
}

// New returns a core that knows this node and the addresses of seeds. The incarnation of self must be larger than
// that of an earlier process at the address. Otherwise this node has to refute what peers know of the earlier
// process.
func New(now time.Duration, self Member, seeds []string, settings Settings, random *rand.Rand) *Core {
	self.State = Alive
	core := &Core{
		settings: settings, self: self, random: random, records: map[string]*record{}, relayed: map[uint64]relay{}, startedAt: now,
	}
	for _, seed := range seeds {
		core.AddSeed(seed)
	}
	core.recount()
	core.enqueue(self.Address)
	return core
}

// AddSeed adds an address, for example from the settings or the machine list, that is asked for its view.
func (c *Core) AddSeed(address string) {
	if address == c.self.Address || c.records[address] != nil {
		return
	}
	for _, seed := range c.seeds {
		if seed == address {
			return
		}
	}
	c.seeds = append(c.seeds, address)
}

// SetSeeds replaces the addresses that are asked for their views, because the settings name others now. Members stay known.
func (c *Core) SetSeeds(seeds []string) {
	c.seeds = nil
	for _, seed := range seeds {
		c.AddSeed(seed)
	}
}

// Self returns this node as it is announced to others.
func (c *Core) Self() Member { return c.self }

// Version returns a number that changes whenever the set of usable members changes.
func (c *Core) Version() uint64 { return c.version }

// AliveCount returns the number of members usable for work, including this node.
func (c *Core) AliveCount() int { return c.alive }

// Usable reports whether new work may be given to a member. A suspected member stays usable, since most suspicions
// are refuted.
func (m Member) Usable() bool { return m.State == Alive || m.State == Suspect }

// Lookup returns a member by address.
func (c *Core) Lookup(address string) (Member, bool) {
	if address == c.self.Address {
		return c.self, true
	}
	found := c.records[address]
	if found == nil {
		return Member{}, false
	}
	return found.member, true
}

// Members returns all members including this node, ordered by address.
func (c *Core) Members() []Member {
	members := make([]Member, 0, len(c.records)+1)
	for _, address := range c.order {
		members = append(members, c.records[address].member)
	}
	place, _ := slices.BinarySearch(c.order, c.self.Address)
	return slices.Insert(members, place, c.self)
}

// Leave marks this node as leaving and returns messages that announce this at once.
func (c *Core) Leave() []OutgoingMessage {
	c.self.State = Leaving
	c.self.Incarnation++
	c.version++
	c.recount()
	c.enqueue(c.self.Address)
	return c.broadcast(c.settings.IndirectProbes * 2)
}

func (c *Core) broadcast(fanout int) []OutgoingMessage {
	var sends []OutgoingMessage
	for _, target := range c.pick(fanout, func(m Member) bool { return m.Usable() }) {
		sends = append(sends, OutgoingMessage{To: target, Message: &message.Probe{Sequence: c.nextSequence(), Updates: c.piggyback()}})
	}
	return sends
}

// Receive handles a message of this package's kinds from a peer. reconnected is true if the peer was not known as alive
// before, for example because it was in a zone on the other side of a network partition.
func (c *Core) Receive(now time.Duration, from string, m message.Message) (sends []OutgoingMessage, reconnected bool) {
	known, found := c.Lookup(from)
	reconnected = !found || known.State == Dead
	switch m := m.(type) {
	case *message.Probe:
		c.merge(m.Updates, now)
		sends = c.answerProbe(from, m)
	case *message.ProbeAck:
		c.merge(m.Updates, now)
		sends = c.receiveAck(from, m)
	case *message.ProbeRequest:
		c.merge(m.Updates, now)
		sequence := c.nextSequence()
		c.relayed[sequence] = relay{origin: from, sequence: m.Sequence, at: now}
		sends = []OutgoingMessage{{To: m.Target, Message: &message.Probe{Sequence: sequence, Updates: c.piggyback()}}}
	case *message.MemberSync:
		c.merge(m.Updates, now)
		c.viewReceived = c.viewReceived || !m.ReplyWanted || m.Complete
		if m.ReplyWanted {
			sends = c.answerSync(from, m)
		}
	}
	if reconnected {
		sends = append(sends, c.reintroduce(from)...)
	}
	return sends, reconnected
}

// matchingAddresses returns the addresses of the members that match, in sorted order, so that a run with the same
// random seed has the same trace.
func (c *Core) matchingAddresses(match func(Member) bool) []string {
	var result []string
	for _, address := range c.order {
		if match(c.records[address].member) {
			result = append(result, address)
		}
	}
	return result
}

// pick returns up to count random members that match. It samples them in one pass.
func (c *Core) pick(count int, match func(Member) bool) []string {
	var picked []string
	seen := 0
	for _, address := range c.order {
		if !match(c.records[address].member) {
			continue
		}
		seen++
		if len(picked) < count {
			picked = append(picked, address)
		} else if slot := c.random.IntN(seen); slot < count {
			picked[slot] = address
		}
	}
	return picked
}

// Pick returns up to count random members that match, for packages that replicate state to peers.
func (c *Core) Pick(count int, match func(Member) bool) []string { return c.pick(count, match) }

func (c *Core) nextSequence() uint64 {
	c.sequence++
	return c.sequence
}
