package simulation

import (
	"fmt"
	"time"

	"stiletrail/internal/engine"
	"stiletrail/internal/query"
	"stiletrail/internal/standin"
)

// Kind of fault that a schedule may draw.
type Kind uint8

// The kinds of fault.
const (
	KillNode Kind = iota
	ReplaceNode
	FreezeNode
	LeaveNode
	KillBackEnd
	HangBackEnd
	DrainBackEnd
	LieBackEnd
	StraggleBackEnd
	CorruptBackEnd
	ReviveBackEnd
	IsolateZone
	PartRegions
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

// String names the kind.
func (k Kind) String() string { return kindNames[k] }

// Kinds returns all kinds.
func Kinds() []Kind {
	all := make([]Kind, kinds)
	for i := range all {
		all[i] = Kind(i)
	}
	return all
}

// Fault is one entry of a schedule.
type Fault struct {
	At   time.Duration
	Kind Kind
	// Pick chooses among what the fault can strike; Length is how long it lasts.
	Pick   int
	Length time.Duration
}

// String shows the fault in a failing schedule.
func (f Fault) String() string {
	return fmt.Sprintf("%s %s pick=%d for %s", f.At, f.Kind, f.Pick, f.Length)
}

// Schedule is what happens in a run.
type Schedule struct {
	Seed    uint64
	Faults  []Fault
	Chances Chances
	// Searches per second.
	Searches float64
	Length   time.Duration
}

// settleTime is given after the last fault is mended, before what must hold in the end is checked.
const settleTime = 25 * time.Second

// SmallOptions is the world of random schedules: two regions, three zones, six nodes, three services.
func SmallOptions(seed uint64) Options {
	latency := standin.Latency{Median: 4 * time.Millisecond, Sigma: 0.4, PerShard: 0.15, StragglerFactor: 20}
	settings := engine.DefaultSettings()
	return Options{
		Seed:         seed,
		Zones:        []Zone{{"zone-a", "north"}, {"zone-b", "north"}, {"zone-c", "south"}},
		NodesPerZone: 2, Distances: DefaultDistances(), Engine: settings, MachineListLag: 2 * time.Second,
		Services: []Service{
			{Name: "lookup", BackEnds: 4, Slots: 5, Connections: 75, Latency: latency, MinimumCoverage: 0.25, Deadline: 300 * time.Millisecond, TailBudget: 150 * time.Millisecond},
			{Name: "archive", BackEnds: 8, Slots: 3, Connections: 110, Latency: latency, MinimumCoverage: 0.5, Deadline: 400 * time.Millisecond, CoverageFirst: true},
		},
	}
}

// DrawSchedule draws a schedule from a seed.
func DrawSchedule(seed uint64) Schedule {
	w := New(Options{Seed: seed ^ 0x9e3779b97f4a7c15})
	schedule := Schedule{Seed: seed, Length: 25 * time.Second, Searches: 20}
	if w.random.IntN(2) == 0 {
		schedule.Chances = Chances{
			Lost: 0.01, Doubled: 0.02, Late: 0.02, LateBy: 400 * time.Millisecond,
			StoreAnswerLost: 0.3, StoreLate: 0.2, EventLost: 0.5,
		}
	}
	for range 5 + w.random.IntN(25) {
		schedule.Faults = append(schedule.Faults, Fault{
			At:     5*time.Second + time.Duration(w.random.Int64N(int64(schedule.Length-5*time.Second))),
			Kind:   Kind(w.random.IntN(int(kinds))),
			Pick:   w.random.IntN(1000),
			Length: time.Duration(w.random.Int64N(int64(8*time.Second))) + 100*time.Millisecond,
		})
	}
	return schedule
}

// Result of a run.
type Result struct {
	Seed    uint64
	Trace   uint64
	Steps   int
	Faults  int
	Checker *Checker
}

// RunSchedule runs a schedule in the small world and checks it.
func RunSchedule(schedule Schedule) Result {
	w := New(SmallOptions(schedule.Seed))
	w.configureAll()
	w.Chances = schedule.Chances
	for _, fault := range schedule.Faults {
		w.after(fault.At-w.now, func() { w.strike(fault) })
	}
	w.startSearches(schedule.Searches, schedule.Length+settleTime)
	w.Run(schedule.Length - w.now)
	w.mend()
	w.Run(settleTime)
	w.Check.InForce()
	w.Check.Unanswered(6 * time.Second)
	return Result{Seed: schedule.Seed, Trace: w.Trace(), Steps: w.Steps, Faults: w.Faults, Checker: w.Check}
}

// configureAll lets the nodes meet and puts an intent for each service into force.
func (w *World) configureAll() {
	w.Run(3 * time.Second)
	for _, service := range w.options.Services {
		w.Change(w.liveNode(), w.IntentFor(w.services[service.Name]), "create-"+service.Name)
		w.Run(200 * time.Millisecond)
	}
	w.Run(time.Second)
}

// startSearches sends searches at a rate until a time, to random nodes and services.
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
		w.after(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
}

// strike puts a fault in.
func (w *World) strike(f Fault) {
	w.note("fault", f.Kind, f.Pick, f.Length)
	w.Faults++
	switch f.Kind {
	case KillNode, ReplaceNode, FreezeNode, LeaveNode:
		w.strikeNode(f)
	case KillBackEnd, HangBackEnd, DrainBackEnd, LieBackEnd, StraggleBackEnd, CorruptBackEnd, ReviveBackEnd:
		w.strikeBackEnd(f)
	case IsolateZone:
		zone := w.options.Zones[f.Pick%len(w.options.Zones)].Name
		w.isolated[zone] = true
		w.after(f.Length, func() { delete(w.isolated, zone) })
	case PartRegions:
		w.apart = true
		w.after(f.Length, func() { w.apart = false })
	case StoreDown:
		w.storeDown = true
		w.after(f.Length, func() { w.storeDown = false })
	case StoreSlow:
		w.storeSlow = f.Length / 4
		w.after(f.Length, func() { w.storeSlow = 0 })
	case PublishVersion, Repartition, RaceOperators, Execute:
		w.strikeService(f)
	}
}

// minimumNodes keeps some nodes running, so that there is something to check.
const minimumNodes = 3

func (w *World) strikeNode(f Fault) {
	if len(w.live) == 0 {
		return
	}
	n := w.nodes[w.live[f.Pick%len(w.live)]]
	switch f.Kind {
	case FreezeNode:
		w.freeze(n, f.Length)
	case LeaveNode:
		if len(w.live) > minimumNodes {
			w.leave(n)
		}
	case KillNode:
		if len(w.live) > minimumNodes {
			w.kill(n)
		}
	case ReplaceNode:
		w.kill(n)
		w.after(f.Length/20, func() {
			if f.Pick%2 == 0 && w.nodes[n.address].dead {
				w.startNodeAt(n.zone, n.address)
			} else {
				w.startNode(n.zone)
			}
			w.publishMachines()
		})
	}
}

func (w *World) strikeBackEnd(f Fault) {
	service := w.services[w.options.Services[f.Pick%len(w.options.Services)].Name]
	b := service.backEnds[f.Pick/7%len(service.backEnds)]
	switch f.Kind {
	case KillBackEnd:
		if !b.dead {
			w.killBackEnd(b)
		}
	case HangBackEnd:
		b.hung = true
		w.after(f.Length, func() { b.hung = false })
	case DrainBackEnd, LieBackEnd:
		if b.model.State == query.StateServing {
			w.drain(b, f.Kind == LieBackEnd)
		}
	case StraggleBackEnd:
		b.straggles = func([]byte) bool { return true }
		w.after(f.Length, func() { b.straggles = nil })
	case CorruptBackEnd:
		b.model.Corrupt = 0.3
		w.after(f.Length, func() { b.model.Corrupt = 0 })
	case ReviveBackEnd:
		if b.dead {
			w.reviveBackEnd(b)
		}
	}
}

func (w *World) strikeService(f Fault) {
	service := w.services[w.options.Services[f.Pick%len(w.options.Services)].Name]
	switch f.Kind {
	case PublishVersion:
		for i := range 1 + f.Pick%5 {
			w.after(time.Duration(i)*f.Length/10, func() { w.publishVersion(service, f.Length/10) })
		}
	case Repartition:
		w.repartition(service, uint32(len(service.backEnds)+f.Pick%4), f.Length/4)
	case RaceOperators:
		for i := range 2 + f.Pick%2 {
			wanted := w.IntentFor(service)
			wanted.MinimumCoverage = service.MinimumCoverage
			wanted.DeadlineMilliseconds += i
			operation := fmt.Sprintf("race-%d-%d-%d", w.now, f.Pick, i)
			w.after(time.Duration(w.random.Int64N(int64(10*time.Millisecond))), func() { w.Change(w.liveNode(), wanted, operation) })
		}
	case Execute:
		for i := range 5 {
			number := w.Steps*10 + i
			w.after(time.Duration(i)*f.Length/10, func() { w.startExecution(service.Name, number) })
		}
	}
}

// mend ends all faults.
func (w *World) mend() {
	w.note("mend")
	w.Chances = Chances{}
	clear(w.isolated)
	w.apart = false
	w.storeDown = false
	w.storeSlow = 0
	for _, service := range w.options.Services {
		for _, b := range w.services[service.Name].backEnds {
			b.hung = false
			b.straggles = nil
			b.model.Corrupt = 0
		}
	}
}
