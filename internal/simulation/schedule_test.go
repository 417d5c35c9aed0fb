package simulation

import (
	"fmt"
	"time"
)

// Kind is a kind of fault. A random schedule draws from all kinds.
type Kind uint8

// Kinds of faults of nodes, back ends, the network, the store and of changes and requests during a run.
const (
	KillNode Kind = iota
	ReplaceNode
	FreezeNode
	LeaveNode
	KillBackEnd
	HangBackEnd
	DrainBackEnd
	MisreportBackEnd
	StraggleBackEnd
	CorruptBackEnd
	ReviveBackEnd
	IsolateZone
	PartitionRegions
	StoreDown
	StoreSlow
	PublishVersion
	Repartition
	RaceOperators
	Execute
	kinds
)

var kindNames = [...]string{
	"kill-node", "replace-node", "freeze-node", "leave-node", "kill-back-end", "hang-back-end", "drain-back-end",
	"lie-back-end", "straggle-back-end", "corrupt-back-end", "revive-back-end", "isolate-zone", "part-regions", "store-down",
	"store-slow", "publish-version", "repartition", "race-operators", "execute",
}

// String returns the name of the kind. The names are part of the trace hashes in testdata.
func (k Kind) String() string { return kindNames[k] }

// Kinds returns all kinds of fault.
func Kinds() []Kind {
	all := make([]Kind, kinds)
	for i := range all {
		all[i] = Kind(i)
	}
	return all
}

// Fault is one fault of a schedule.
type Fault struct {
	At   time.Duration
	Kind Kind
	// Selector chooses the node, back end, zone or service. Length is the duration of the fault.
	Selector int
	Length   time.Duration
}

// String describes the fault in the output of a failing schedule.
func (f Fault) String() string {
	return fmt.Sprintf("%s %s pick=%d for %s", f.At, f.Kind, f.Selector, f.Length)
}

// Schedule describes one simulation run: its faults and its load.
type Schedule struct {
	Seed               uint64
	Faults             []Fault
	FaultProbabilities FaultProbabilities
	// Searches is the rate of searches per second.
	Searches float64
	Length   time.Duration
}

// settleTime passes between the end of all faults and the final checks, so that the nodes can recover.
const settleTime = 25 * time.Second

// DrawSchedule returns the random schedule of a seed.
func DrawSchedule(seed uint64) Schedule {
	w := New(Options{Seed: seed ^ 0x9e3779b97f4a7c15})
	schedule := Schedule{Seed: seed, Length: 25 * time.Second, Searches: 20}
	if w.random.IntN(2) == 0 {
		schedule.FaultProbabilities = FaultProbabilities{
			MessageLost: 0.01, MessageDuplicated: 0.02, MessageDelayed: 0.02, MaximumDelay: 400 * time.Millisecond,
			StoreAnswerLost: 0.3, StoreWriteDelayed: 0.2, WatchEventLost: 0.5,
		}
	}
	for range 5 + w.random.IntN(25) {
		schedule.Faults = append(schedule.Faults, Fault{
			At:       5*time.Second + time.Duration(w.random.Int64N(int64(schedule.Length-5*time.Second))),
			Kind:     Kind(w.random.IntN(int(kinds))),
			Selector: w.random.IntN(1000),
			Length:   time.Duration(w.random.Int64N(int64(8*time.Second))) + 100*time.Millisecond,
		})
	}
	return schedule
}

// Result is the outcome of a simulation run.
type Result struct {
	Seed    uint64
	Trace   uint64
	Steps   int
	Faults  int
	Checker *Checker
}

// RunSchedule runs a schedule in the world of SmallOptions and makes the final checks.
func RunSchedule(schedule Schedule) Result {
	w := New(SmallOptions(schedule.Seed))
	w.configureAll()
	w.FaultProbabilities = schedule.FaultProbabilities
	for _, fault := range schedule.Faults {
		w.schedule(fault.At-w.now, func() { w.injectFault(fault) })
	}
	w.startSearches(schedule.Searches, schedule.Length+settleTime)
	w.Run(schedule.Length - w.now)
	w.clearFaults()
	w.Run(settleTime)
	w.Checker.InForce()
	w.Checker.Unanswered(6 * time.Second)
	return Result{Seed: schedule.Seed, Trace: w.Trace(), Steps: w.Steps, Faults: w.Faults, Checker: w.Checker}
}

// configureAll waits until the nodes have discovered each other and puts an intent for each service into force.
func (w *World) configureAll() {
	w.Run(3 * time.Second)
	for _, service := range w.options.Services {
		w.Change(w.liveNode(), w.IntentFor(w.services[service.Name]), "create-"+service.Name)
		w.Run(200 * time.Millisecond)
	}
	w.Run(time.Second)
}

// startSearches sends searches to random nodes and services at a rate (a second) until the given time.
func (w *World) startSearches(rate float64, until time.Duration) {
	number := 0
	var next func()
	next = func() {
		if w.now >= until {
			return
		}
		service := w.options.Services[w.random.IntN(len(w.options.Services))]
		if n := w.callerNode(); n != nil {
			w.Search(n, service.Name, fmt.Sprintf("search-%d", number))
		}
		number++
		w.schedule(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
}
