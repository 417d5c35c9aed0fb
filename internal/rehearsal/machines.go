package rehearsal

import (
	"context"
	"time"

	"connectrpc.com/connect"

	stiletrailv1 "stiletrail/api/stiletrail/v1"
	"stiletrail/internal/platform"
)

type machineListAt struct {
	at       time.Time
	machines []platform.Machine
}

// SetMachines changes the machine list. Readers see the change after MachineListLag.
func (p *Platform) SetMachines(machines []platform.Machine) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lists = append(p.lists, machineListAt{at: time.Now(), machines: machines})
}

// ListMachines implements the machine list service. It returns the newest list that is at least MachineListLag old.
func (p *Platform) ListMachines(
	ctx context.Context, _ *connect.Request[stiletrailv1.ListMachinesRequest],
) (*connect.Response[stiletrailv1.ListMachinesResponse], error) {
	if err := p.applyFaults(ctx); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	response := &stiletrailv1.ListMachinesResponse{}
	var shown []platform.Machine
	for _, list := range p.lists {
		if time.Since(list.at) >= p.options.MachineListLag {
			shown = list.machines
		}
	}
	for _, machine := range shown {
		response.Machines = append(response.Machines, &stiletrailv1.Machine{
			Address: machine.Address, Zone: machine.Zone, Leaving: machine.Leaving, Role: stiletrailv1.MachineRole(machine.Role),
		})
	}
	return connect.NewResponse(response), nil
}
