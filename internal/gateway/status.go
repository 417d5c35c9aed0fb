package gateway

import (
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/history"
	"stiletrail/internal/quota"
	"stiletrail/internal/replica"
)

// States of back ends in Status.BackEnds.
const (
	BackEndReady    = "ready"
	BackEndDraining = "draining"
	BackEndEjected  = "ejected"
	BackEndDoubtful = "doubtful"
	// BackEndEvacuated is the state of a back end that gets no requests because its zone is evacuated. BackEndCold is the
	// state of one that has just started or returned and is still warming up.
	BackEndEvacuated = "evacuated"
	BackEndCold      = "cold"
)

// Status is the state of a gateway at one moment, for metrics.
type Status struct {
	StoreRevision history.Revision
	// StoreContactAge is the time since the last answer of the store. It is negative if there was none.
	StoreContactAge time.Duration
	// CopyAge is the time since the copy of the store was last confirmed to be complete, by the store itself or by another
	// node. It is negative if it never was.
	CopyAge clock.Ms
	// CopyBehind is for how long the node has known that its copy lacks changes, or 0 if it knows of none.
	CopyBehind clock.Ms
	// Nodes is the number of known nodes, or 0 while this node has not joined the others.
	Nodes int
	// BackEnds is the number of back ends in each state.
	BackEnds map[string]int
	// BackEndsAtFault is the number of back ends that refuse more than their siblings, or cannot be reached, as the nodes of
	// this node's group have found together.
	BackEndsAtFault int
	// EvacuatedZones is the number of zones that get no requests because they are evacuated.
	EvacuatedZones int
	// Quarantined is the number of requests that are not sent to any back end because they crash those that run them.
	Quarantined int
	// Quotas is the state of the tokens of limits over all nodes: those of tenants and the lent retry slack.
	Quotas quota.State
	// Waiting is the number of shards of requests that wait for capacity of their back ends. It is counted only while
	// priorities are in force.
	Waiting int
}

// Status returns the present state of the gateway.
func (g *Gateway) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	status := Status{
		StoreRevision: g.storeCopy.records.Revision(), StoreContactAge: g.storeCopy.reader.ContactAge(now),
		CopyAge: g.storeCopy.age(now), CopyBehind: g.storeCopy.records.Copy(now).Behind, Nodes: g.fleet.nodeCount, BackEnds: map[string]int{},
		Quotas:      g.quotas.holder.State(clock.FromDuration(now)),
		Quarantined: g.quarantine.QuarantinedCount(clock.FromDuration(now)), EvacuatedZones: g.replicas.EvacuatedZones(),
		BackEndsAtFault: g.replicas.AtFault(now),
		Waiting:         len(g.turns.runs),
	}
	g.replicas.ForEach(func(known *replica.Replica) { status.BackEnds[backEndState(now, known)]++ })
	return status
}

func backEndState(now time.Duration, known *replica.Replica) string {
	switch {
	case known.Draining:
		return BackEndDraining
	case known.Evacuated():
		return BackEndEvacuated
	case known.Doubtful():
		return BackEndDoubtful
	case known.Ejected(now):
		return BackEndEjected
	case known.Cold(now):
		return BackEndCold
	}
	return BackEndReady
}
