package simulation

import (
	"fmt"
	"time"

	"stiletrail/internal/query"
)

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
		b.model.CorruptionChance = 0.3
		w.after(f.Length, func() { b.model.CorruptionChance = 0 })
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
			b.model.CorruptionChance = 0
		}
	}
}
