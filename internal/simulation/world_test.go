// Package simulation tests the own interface's nodes as a whole: it runs many of them, the very engines that stiletraild runs, in
// a virtual world under faults, and an independent checker looks at every step. It holds test files alone.
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
	"stiletrail/internal/standin"
)

// World is everything there is.
type World struct {
	options Options
	random  *rand.Rand
	now     time.Duration
	lastEventNumber   uint64
	events  eventHeap
	trace   *xxhash.Digest
	// Steps counts the events that ran, Faults those put in.
	Steps  int
	Faults int

	FaultProbabilities  FaultProbabilities
	nodes    map[string]*simNode
	live     []string
	nextNode int
	backEnds map[string]*simBackEnd
	services map[string]*simService
	// isolated zones reach nobody outside; apart regions do not reach each other.
	isolated map[string]bool
	regionsPartitioned    bool

	store     *standin.Store
	storeDown bool
	storeSlow time.Duration
	machines  []machineListVersion
	callers   map[engine.Caller]*call
	nextCall  engine.Caller
	// Checker is the independent checker.
	Checker *Checker
	// OnSearchAnswered is told each search's outcome, for measurements.
	OnSearchAnswered func(SearchOutcome)
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

// schedule runs something later.
func (w *World) schedule(delay time.Duration, run func()) {
	w.lastEventNumber++
	heap.Push(&w.events, event{at: w.now + max(delay, 0), number: w.lastEventNumber, run: run})
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

// record adds to the trace.
func (w *World) record(kind string, values ...any) {
	_, _ = fmt.Fprintf(w.trace, "%d %s %v\n", w.now, kind, values)
}

// Trace is a hash of everything that happened.
func (w *World) Trace() uint64 { return w.trace.Sum64() }

func (w *World) chance(probability float64) bool {
	return probability > 0 && w.random.Float64() < probability
}
