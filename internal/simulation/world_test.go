// Package simulation tests the own interface's nodes as a whole: it runs many of them, the very engines that stiletraild runs, in a
// virtual world under faults, and an independent checker looks at every step. It holds test files alone.
//
// World owns the virtual clock, the event queue and one seeded source of randomness that decides everything: the same seed gives
// the same trace. Around the engines stand models of the network, back ends, store and machine list. There is no I/O, no lock and
// no goroutine.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"stiletrail/internal/engine"
	"stiletrail/internal/platform"
	"stiletrail/internal/standin"
)

// Zone is a place; zones of one region are near each other.
type Zone struct {
	Name   string
	Region string
}

// Service is an index with back ends.
type Service struct {
	Name        string
	BackEnds    int
	Slots       int
	Connections int
	Latency     standin.Latency
	// MinimumCoverage and the rest go into its intent.
	MinimumCoverage float64
	CoverageFirst   bool
	Deadline        time.Duration
	TailBudget      time.Duration
	// Keys per shard on average; zero takes three.
	KeysPerShard int
}

// Distances are one-way latencies.
type Distances struct {
	SameZone    time.Duration
	OtherZone   time.Duration
	OtherRegion time.Duration
	Client      time.Duration
	Connect     time.Duration
}

// DefaultDistances are the brief's: about 1 ms between zones, 12 ms between regions, 3 ms to clients, 1 ms to connect.
func DefaultDistances() Distances {
	return Distances{
		SameZone: 200 * time.Microsecond, OtherZone: time.Millisecond, OtherRegion: 12 * time.Millisecond,
		Client: 3 * time.Millisecond, Connect: time.Millisecond,
	}
}

// Options of a world.
type Options struct {
	Seed         uint64
	Zones        []Zone
	NodesPerZone int
	Services     []Service
	Distances    Distances
	Engine       engine.Settings
	// MachineListLag is how late the machine list shows a change.
	MachineListLag time.Duration
}

// Chances of faults of single messages, from 0 to 1.
type Chances struct {
	// Lost frames break their connection without a word; Doubled ones come twice; Late ones are delayed by up to LateBy.
	Lost    float64
	Doubled float64
	Late    float64
	LateBy  time.Duration
	// StoreAnswerLost: a write took effect, its answer did not come.
	StoreAnswerLost float64
	// StoreLate delays a write and its answer beyond the client's patience.
	StoreLate float64
	// EventLost of a watch.
	EventLost float64
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(value any) { *h = append(*h, value.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	value := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return value
}

// World is everything there is.
type World struct {
	options Options
	random  *rand.Rand
	now     time.Duration
	order   uint64
	events  eventHeap
	trace   *xxhash.Digest
	// Steps counts the events that ran, Faults those put in.
	Steps  int
	Faults int

	Chances  Chances
	nodes    map[string]*simNode
	live     []string
	nextNode int
	backEnds map[string]*simBackEnd
	services map[string]*simService
	// isolated zones reach nobody outside; apart regions do not reach each other.
	isolated map[string]bool
	apart    bool

	store     *standin.Store
	storeDown bool
	storeSlow time.Duration
	machines  []machinesAt
	callers   map[engine.Caller]*call
	nextCall  engine.Caller
	// Check is the independent checker.
	Check *Checker
	// Answered is told each search's outcome, for measurements.
	Answered func(SearchOutcome)
}

type machinesAt struct {
	at       time.Duration
	machines []platform.Machine
}

// simService is a service with its back ends.
type simService struct {
	Service
	index    standin.Index
	backEnds []*simBackEnd
	totals   map[uint64]uint32
	version  uint64
	epoch    uint64
}

// New builds a world in which the nodes have just started and no service is configured.
func New(options Options) *World {
	w := &World{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 0x5711e)), trace: xxhash.New(),
		nodes: map[string]*simNode{}, backEnds: map[string]*simBackEnd{}, services: map[string]*simService{},
		isolated: map[string]bool{}, store: standin.NewStore(), callers: map[engine.Caller]*call{},
	}
	w.Check = newChecker(w)
	for _, service := range options.Services {
		w.addService(service)
	}
	for _, zone := range options.Zones {
		for range options.NodesPerZone {
			w.startNode(zone)
		}
	}
	w.publishMachines()
	return w
}

// after runs something later.
func (w *World) after(delay time.Duration, run func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now + max(delay, 0), order: w.order, run: run})
}

// Run advances the world by a length of time.
func (w *World) Run(length time.Duration) {
	until := w.now + length
	for len(w.events) > 0 && w.events[0].at <= until {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		w.Steps++
		next.run()
	}
	w.now = until
}

// note adds to the trace.
func (w *World) note(kind string, values ...any) {
	_, _ = fmt.Fprintf(w.trace, "%d %s %v\n", w.now, kind, values)
}

// Trace is a hash of everything that happened.
func (w *World) Trace() uint64 { return w.trace.Sum64() }

func (w *World) chance(probability float64) bool {
	return probability > 0 && w.random.Float64() < probability
}

// zoneOf returns a zone by name.
func (w *World) zoneOf(name string) Zone {
	for _, zone := range w.options.Zones {
		if zone.Name == name {
			return zone
		}
	}
	return Zone{}
}

// reachable reports whether two zones reach each other now. The platform is in the zone without a name.
func (w *World) reachable(a, b string) bool {
	if a == b {
		return true
	}
	if w.isolated[a] || w.isolated[b] {
		return false
	}
	return !w.apart || w.zoneOf(a).Region == w.zoneOf(b).Region || a == "" || b == ""
}

func (w *World) distance(a, b string) time.Duration {
	switch {
	case a == b:
		return w.options.Distances.SameZone
	case w.zoneOf(a).Region == w.zoneOf(b).Region:
		return w.options.Distances.OtherZone
	}
	return w.options.Distances.OtherRegion
}

// jitter spreads a latency by a tenth.
func (w *World) jitter(latency time.Duration) time.Duration {
	return latency + time.Duration(w.random.Int64N(int64(latency)/10+1))
}

// publishMachines puts what is true now into the machine list; it shows after the lag.
func (w *World) publishMachines() {
	var machines []platform.Machine
	for _, address := range w.live {
		n := w.nodes[address]
		machines = append(machines, platform.Machine{Address: address, Zone: n.zone.Name, Role: platform.RoleNode, Leaving: n.leaving})
	}
	for _, service := range w.options.Services {
		for _, b := range w.services[service.Name].backEnds {
			machines = append(machines, platform.Machine{Address: b.model.Address, Zone: b.zone, Role: platform.RoleBackEnd, Leaving: b.leaving})
		}
	}
	w.machines = append(w.machines, machinesAt{at: w.now, machines: machines})
}

// machineList is the newest list that is as old as the lag.
func (w *World) machineList() []platform.Machine {
	var shown []platform.Machine
	for _, list := range w.machines {
		if w.now-list.at >= w.options.MachineListLag || shown == nil {
			shown = list.machines
		}
	}
	return shown
}
