package simulation

import (
	"fmt"
	"time"

	"stiletrail/internal/query"
)

// injectFault starts a fault and, where the fault has a duration, schedules its end.
func (w *World) injectFault(f Fault) {
	w.record("fault", f.Kind, f.Selector, f.Length)
	w.Faults++
	switch f.Kind {
	case KillNode, ReplaceNode, FreezeNode, LeaveNode:
		w.injectNodeFault(f)
	case KillBackEnd, HangBackEnd, DrainBackEnd, MisreportBackEnd, StraggleBackEnd, CorruptBackEnd, ReviveBackEnd:
		w.injectBackEndFault(f)
	case IsolateZone:
		zone := w.options.Zones[f.Selector%len(w.options.Zones)].Name
		w.isolated[zone] = true
		w.schedule(f.Length, func() { delete(w.isolated, zone) })
	case PartitionRegions:
		w.regionsPartitioned = true
		w.schedule(f.Length, func() { w.regionsPartitioned = false })
	case StoreDown:
		w.storeDown = true
		w.schedule(f.Length, func() { w.storeDown = false })
	case StoreSlow:
		w.storeSlow = f.Length / 4
		w.schedule(f.Length, func() { w.storeSlow = 0 })
	case PublishVersion, Repartition, RaceOperators, Execute:
		w.injectServiceFault(f)
	}
}

// minimumNodes is the number of nodes that faults leave running, so that requests are still served and can be checked.
const minimumNodes = 3

func (w *World) injectNodeFault(f Fault) {
	if len(w.live) == 0 {
		return
	}
	n := w.nodes[w.live[f.Selector%len(w.live)]]
	switch f.Kind {
	case FreezeNode:
		w.freezeNode(n, f.Length)
	case LeaveNode:
		if len(w.live) > minimumNodes {
			w.stopNode(n)
		}
	case KillNode:
		if len(w.live) > minimumNodes {
			w.killNode(n)
		}
	case ReplaceNode:
		w.killNode(n)
		w.schedule(f.Length/20, func() {
			if f.Selector%2 == 0 && w.nodes[n.address].dead {
				w.startNodeAt(n.zone, n.address)
			} else {
				w.startNode(n.zone)
			}
			w.publishMachines()
		})
	}
}

func (w *World) injectBackEndFault(f Fault) {
	service := w.services[w.options.Services[f.Selector%len(w.options.Services)].Name]
	b := service.backEnds[f.Selector/7%len(service.backEnds)]
	switch f.Kind {
	case KillBackEnd:
		if !b.dead {
			w.killBackEnd(b)
		}
	case HangBackEnd:
		b.hung = true
		w.schedule(f.Length, func() { b.hung = false })
	case DrainBackEnd, MisreportBackEnd:
		if b.model.State == query.StateServing {
			w.drain(b, f.Kind == MisreportBackEnd)
		}
	case StraggleBackEnd:
		b.isSlowFor = func([]byte) bool { return true }
		w.schedule(f.Length, func() { b.isSlowFor = nil })
	case CorruptBackEnd:
		b.model.CorruptionChance = 0.3
		w.schedule(f.Length, func() { b.model.CorruptionChance = 0 })
	case ReviveBackEnd:
		if b.dead {
			w.reviveBackEnd(b)
		}
	}
}

func (w *World) injectServiceFault(f Fault) {
	service := w.services[w.options.Services[f.Selector%len(w.options.Services)].Name]
	switch f.Kind {
	case PublishVersion:
		for i := range 1 + f.Selector%5 {
			w.schedule(time.Duration(i)*f.Length/10, func() { w.publishVersion(service, f.Length/10) })
		}
	case Repartition:
		w.repartition(service, uint32(len(service.backEnds)+f.Selector%4), f.Length/4)
	case RaceOperators:
		for i := range 2 + f.Selector%2 {
			wanted := w.IntentFor(service)
			wanted.MinimumCoverage = service.MinimumCoverage
			wanted.DeadlineMilliseconds += i
			operation := fmt.Sprintf("race-%d-%d-%d", w.now, f.Selector, i)
			w.schedule(time.Duration(w.random.Int64N(int64(10*time.Millisecond))), func() { w.Change(w.liveNode(), wanted, operation) })
		}
	case Execute:
		for i := range 5 {
			number := w.Steps*10 + i
			w.schedule(time.Duration(i)*f.Length/10, func() { w.startExecution(service.Name, number) })
		}
	}
}

// clearFaults ends all faults. Dead nodes and back ends stay dead.
func (w *World) clearFaults() {
	w.record("mend")
	w.FaultProbabilities = FaultProbabilities{}
	clear(w.isolated)
	w.regionsPartitioned = false
	w.storeDown = false
	w.storeSlow = 0
	for _, service := range w.options.Services {
		for _, b := range w.services[service.Name].backEnds {
			b.hung = false
			b.isSlowFor = nil
			b.model.CorruptionChance = 0
		}
	}
}
