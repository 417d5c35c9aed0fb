package gateway

import (
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/history"
	"stiletrail/internal/replica"
)

// States of back ends in a Status.
const (
	BackEndReady    = "ready"
	BackEndDraining = "draining"
	BackEndEjected  = "ejected"
	BackEndDoubtful = "doubtful"
	// BackEndEvacuated gets nothing, since its zone is evacuated; BackEndCold has just started or come back.
	BackEndEvacuated = "evacuated"
	BackEndCold      = "cold"
)

// Status is what a gateway knows at a moment, for metrics.
type Status struct {
	StoreRevision history.Revision
	// StoreContactAge is the time since the store last answered, negative if it never did.
	StoreContactAge time.Duration
	// CopyAge is how long ago the copy of the store was last known to be complete, by the store itself or another node; negative
	// if it never was.
	CopyAge clock.Ms
	// Nodes known, 0 while this one has not joined the others.
	Nodes int
	// BackEnds counts back ends by state.
	BackEnds map[string]int
	// EvacuatedZones get nothing.
	EvacuatedZones int
	// Quarantined is the number of requests that are sent to nobody, since they end the back ends that run them.
	Quarantined int
}

// Status returns what the gateway knows now.
func (g *Gateway) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	status := Status{
		StoreRevision: g.storeCopy.records.Revision(), StoreContactAge: g.storeCopy.reader.ContactAge(now),
		CopyAge: g.storeCopy.age(now), Nodes: g.fleet.nodeCount, BackEnds: map[string]int{},
		Quarantined: g.quarantine.QuarantinedCount(clock.FromDuration(now)), EvacuatedZones: g.replicas.EvacuatedZones(),
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
