// Package simulation is a deterministic simulation test of whole clusters. It runs many nodes with the engines of stiletraild in
// virtual time, injects faults, and checks every step with an independent checker. It contains test files only.
//
// World owns the virtual clock, the event queue and the only source of randomness, which is seeded: the same seed gives the same
// trace. The network, the back ends, the store and the machine list are models. The package uses no I/O, locks or goroutines.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"stiletrail/internal/engine"
	"stiletrail/internal/standin"
)

// World is one simulated deployment: virtual time, nodes, callers, back ends, store, machine list and network.
type World struct {
	options         Options
	random          *rand.Rand
	now             time.Duration
	lastEventNumber uint64
	events          eventHeap
	trace           *xxhash.Digest
	// Steps counts the events that ran. Faults counts the faults that were injected.
	Steps  int
	Faults int

	FaultProbabilities FaultProbabilities
	nodes              map[string]*simNode
	live               []string
	nextNode           int
	backEnds           map[string]*simBackEnd
	services           map[string]*simService
	// isolated holds the zones that cannot communicate with any other zone or with the platform.
	// regionsPartitioned says that the regions cannot reach each other.
	isolated           map[string]bool
	regionsPartitioned bool

	store     *standin.Store
	storeDown bool
	storeSlow time.Duration
	machines  []machineListVersion
	callers   map[engine.Caller]*call
	nextCall  engine.Caller
	// Checker verifies the invariants from outside the nodes.
	Checker *Checker
	// OnSearchAnswered, where set, is called with the outcome of each search.
	OnSearchAnswered func(SearchOutcome)
}

// simService is a simulated service with its back ends, its newest index version and its current epoch. totals holds the number
// of shards of each epoch.
type simService struct {
	Service
	index    standin.Index
	backEnds []*simBackEnd
	totals   map[uint64]uint32
	version  uint64
	epoch    uint64
}

// New returns a world whose nodes have just started. No service is configured yet.
func New(options Options) *World {
	w := &World{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 0x5711e)), trace: xxhash.New(),
		nodes: map[string]*simNode{}, backEnds: map[string]*simBackEnd{}, services: map[string]*simService{},
		isolated: map[string]bool{}, store: standin.NewStore(), callers: map[engine.Caller]*call{},
	}
	w.Checker = newChecker(w)
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

// schedule runs a function after a delay. A negative delay counts as zero.
func (w *World) schedule(delay time.Duration, run func()) {
	w.lastEventNumber++
	heap.Push(&w.events, event{at: w.now + max(delay, 0), number: w.lastEventNumber, run: run})
}

// Run advances the virtual time by the given duration and runs every event that is due.
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

// record adds an event to the trace. The texts are part of the trace hashes in testdata and must stay as they are.
func (w *World) record(kind string, values ...any) {
	_, _ = fmt.Fprintf(w.trace, "%d %s %v\n", w.now, kind, values)
}

// Trace returns a hash of all recorded events.
func (w *World) Trace() uint64 { return w.trace.Sum64() }

func (w *World) chance(probability float64) bool {
	return probability > 0 && w.random.Float64() < probability
}
