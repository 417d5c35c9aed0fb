// Package membership decides which nodes are alive, by randomised probes with indirect probes, suspicion and
// refutation (Das, Gupta, Motivala: "SWIM", 2002) and a local health score that slows down a member which is
// itself slow (Dadgar, Phillips, Currey: "Lifeguard", 2018).
//
// The core owns what a node believes of each member. It does no I/O, reads no clock and has no lock: callers give the time, send
// what it returns and serialise calls. Invariants:
//   - an update replaces another only if Supersedes says so, so views converge whatever the order of messages;
//   - only a member itself raises its incarnation;
//   - a member that stops says Leaving and never refutes that.
package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"stiletrail/internal/message"
)

// State is what a node believes of a member.
type State uint8

// The states in order of precedence at equal incarnation.
const (
	Alive State = iota + 1
	Suspect
	Leaving
	Dead
)

// Member is one node as seen by another.
type Member struct {
	// Address is the IP and port peers connect to; it names the member.
	Address string
	Zone    string
	Region  string
	// Generation is drawn at random at each start of the node.
	Generation  uint64
	Incarnation uint64
	State       State
}

// Settings of the core. Zero values take the defaults.
type Settings struct {
	// ProbeInterval is the time between two probes of one node.
	ProbeInterval time.Duration
	// ProbeTimeout is the wait before indirect probes are asked for.
	ProbeTimeout time.Duration
	// IndirectProbes is how many members are asked to probe in one's stead.
	IndirectProbes int
	// SuspicionMultiplier times log10 of the zone's members times the interval is the time to refute in.
	SuspicionMultiplier float64
	// RemoteEvery sends each n-th probe to another zone.
	RemoteEvery int
	// UpdatesPerMessage bounds what is piggybacked.
	UpdatesPerMessage int
	// SyncPerMember times the number of members is the time between two exchanges of whole views.
	SyncPerMember time.Duration
	// MinimumSyncInterval bounds the time between two exchanges from below.
	MinimumSyncInterval time.Duration
	// ForgetAfter is how long a dead member is kept and retried.
	ForgetAfter time.Duration
}

// DefaultSettings gives the settings used where nothing else is said.
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

// Send is a message to be sent to a peer.
type Send struct {
	To      string
	Message message.Message
}

const (
	maximumHealthScore = 8
	// freezeIntervals of probes between two ticks mean that the process was frozen.
	freezeIntervals = 4
	// leavingIntervals of probes after a member said that it leaves, and relayIntervals after a probe was relayed, it is over.
	leavingIntervals = 60
	relayIntervals   = 10
	// deadEvery: one probe in so many goes to a dead member, so that zones cut apart meet again.
	deadProbeEvery = 8
	// joinPace: while joining, views are exchanged so many times per probe interval.
	joinSyncsPerProbe = 4
	// joinTimeout after its start a node goes on with the members that it has found.
	joinTimeout = 10 * time.Second
	// growingPart: a view grows while one in so many of its members is new since the last exchange.
	growthDivisor = 20
	// syncChunk is the most members that one message of an exchange holds.
	syncChunk = 512
	// transmissionFactor times the logarithm of the members an update is passed on.
	transmissionFactor = 3
)

// record is a member as this node knows it.
type record struct {
	member Member
	// since is when the state was taken on.
	stateSince time.Duration
}

// queued is an update about a member that is to be passed on so many times more.
type queuedUpdate struct {
	address           string
	transmissionsLeft int
}

// probe is one that waits for its answer.
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
	// order holds the keys of records, sorted, so that a seed gives one trace.
	order []string
	// zoneOrder is the shuffled round of probes in the own zone.
	zoneOrder []string
	updates   []queuedUpdate
	pending   *probe
	relayed   map[uint64]relay
	sequence  uint64
	// probes counts those begun; health is 0 while this node's probes are answered in time, and slows it down where it is itself
	// slow.
	probes      int
	healthScore int
	lastTick    time.Duration
	nextProbe   time.Duration
	nextSync    time.Duration
	version     uint64
	alive       int
	zoneAlive   int
	seeds       []string
	// syncedSize is the number of records at the last sync.
	sizeAtLastSync int
	syncDelay      time.Duration
	// syncs counts exchanges begun.
	syncs int
	// viewed: a peer has sent its view; joined: after that the view stopped growing.
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

// New returns a core that knows itself and the addresses of seeds. The incarnation of self must be larger
// than that of an earlier process at the address, or peers will make it refute.
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

// AddSeed adds an address, as from settings or the machine list, to be asked for its view.
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

// Self is this node as others are told of it.
func (c *Core) Self() Member { return c.self }

// Version changes whenever the set of usable members does.
func (c *Core) Version() uint64 { return c.version }

// AliveCount counts the members usable for work, this node included.
func (c *Core) AliveCount() int { return c.alive }

// Usable reports whether new work may be given to a member. A suspect stays usable: most suspicions are refuted.
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

// Members returns all members, this node included, ordered by address.
func (c *Core) Members() []Member {
	members := make([]Member, 0, len(c.records)+1)
	for _, address := range c.order {
		members = append(members, c.records[address].member)
	}
	place, _ := slices.BinarySearch(c.order, c.self.Address)
	return slices.Insert(members, place, c.self)
}

// Leave marks this node as leaving and returns the messages that tell others at once.
func (c *Core) Leave() []Send {
	c.self.State = Leaving
	c.self.Incarnation++
	c.version++
	c.recount()
	c.enqueue(c.self.Address)
	return c.broadcast(c.settings.IndirectProbes * 2)
}

func (c *Core) broadcast(fanout int) []Send {
	var sends []Send
	for _, target := range c.pick(fanout, func(m Member) bool { return m.Usable() }) {
		sends = append(sends, Send{To: target, Message: &message.Probe{Sequence: c.nextSequence(), Updates: c.piggyback()}})
	}
	return sends
}

// Receive handles a message of this package's kinds from a peer. met is true when the peer was not known as
// alive before, as when zones that were cut apart meet again.
func (c *Core) Receive(now time.Duration, from string, m message.Message) (sends []Send, met bool) {
	known, found := c.Lookup(from)
	met = !found || known.State == Dead
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
		sends = []Send{{To: m.Target, Message: &message.Probe{Sequence: sequence, Updates: c.piggyback()}}}
	case *message.MemberSync:
		c.merge(m.Updates, now)
		c.viewReceived = c.viewReceived || !m.Reply || m.Complete
		if m.Reply {
			sends = c.answerSync(from, m)
		}
	}
	if met {
		sends = append(sends, c.reintroduce(from)...)
	}
	return sends, met
}

// addresses returns those of the members that match, in order, so that a seed gives one trace.
func (c *Core) matchingAddresses(match func(Member) bool) []string {
	var result []string
	for _, address := range c.order {
		if match(c.records[address].member) {
			result = append(result, address)
		}
	}
	return result
}

// pick returns up to count random members that match, by sampling in one pass.
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

// Pick returns up to count random members that match, for other packages that spread state.
func (c *Core) Pick(count int, match func(Member) bool) []string { return c.pick(count, match) }

func (c *Core) nextSequence() uint64 {
	c.sequence++
	return c.sequence
}
