package gateway

import (
	"strconv"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/history"
	"stiletrail/internal/replica"
)

// States of back ends in Belief.
const (
	BackEndReady    = "ready"
	BackEndDraining = "draining"
	BackEndEjected  = "ejected"
	BackEndDoubtful = "doubtful"
	// BackEndEvacuated gets nothing, since its zone is evacuated; BackEndCold has just started or come back.
	BackEndEvacuated = "evacuated"
	BackEndCold      = "cold"
)

// Belief is what a gateway believes at a moment, for metrics.
type Belief struct {
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

// Belief returns what the gateway believes now.
func (g *Gateway) Belief() Belief {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	belief := Belief{
		StoreRevision: g.storeCopy.records.Revision(), StoreContactAge: g.storeCopy.reader.ContactAge(now),
		CopyAge: g.storeCopy.age(now), Nodes: g.fleet.nodes, BackEnds: map[string]int{},
		Quarantined: g.quarantine.Count(clock.Of(now)), EvacuatedZones: g.replicas.EvacuatedZones(),
	}
	g.replicas.All(func(known *replica.Replica) { belief.BackEnds[stateOf(now, known)]++ })
	return belief
}

func stateOf(now time.Duration, known *replica.Replica) string {
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

// Outcomes of requests, beside the codes of failures and the statuses of single back ends.
const (
	OutcomeGone     = "caller_gone"
	OutcomePartial  = "partial"
	OutcomeComplete = "complete"
)

// Outcome names how a request ended.
func (r *Result) Outcome() string {
	switch {
	case r.CallerGone:
		return OutcomeGone
	case r.Failure != nil:
		return string(r.Failure.Code)
	case r.Missing > 0:
		return OutcomePartial
	case r.Passed != nil:
		return strconv.Itoa(r.Passed.Status)
	}
	return OutcomeComplete
}
