package simulation

import (
	"time"

	"stiletrail/internal/engine"
	"stiletrail/internal/platform"
)

type machineListVersion struct {
	at       time.Duration
	machines []platform.Machine
}

// publishMachines adds the current state of all machines to the machine list. Readers see it after MachineListLag.
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
	w.machines = append(w.machines, machineListVersion{at: w.now, machines: machines})
}

// machineList returns the newest published list that is at least MachineListLag old, or the first list if none is.
func (w *World) machineList() []platform.Machine {
	var shown []platform.Machine
	for _, list := range w.machines {
		if w.now-list.at >= w.options.MachineListLag || shown == nil {
			shown = list.machines
		}
	}
	return shown
}

func (w *World) readMachines(n *simNode) {
	if n.dead {
		return
	}
	w.schedule(machineListPeriod, func() { w.readMachines(n) })
	if !w.storeDown && w.reachable(n.zone.Name, "") {
		w.step(n, func() engine.Output {
			n.machinesAt = w.now
			return n.engine.SetMachines(w.now, w.machineList())
		})
	}
}
