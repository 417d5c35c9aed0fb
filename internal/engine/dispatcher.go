package engine

import (
	"slices"
	"time"

	"stiletrail/internal/dispatch"
	"stiletrail/internal/membership"
	"stiletrail/internal/query"
)

// suspectFor is how long a dispatcher is avoided after it did not answer.
const suspectFor = time.Second

// dispatcherLoad is what this node, as a root, knows of the load and health of a dispatcher.
type dispatcherLoad struct {
	// inFlight counts the sub-queries of searches at the dispatcher.
	inFlight     int
	suspectUntil time.Duration
}

// loadOf returns the entry of a dispatcher, which is created if needed.
func (e *Engine) loadOf(address string) *dispatcherLoad {
	found := e.loads[address]
	if found == nil {
		found = &dispatcherLoad{}
		e.loads[address] = found
	}
	return found
}

// PickDispatcher implements scatter.Environment. It picks the less loaded of two random nodes from the first of these
// sets that is not empty, without the nodes excluded:
//   - the dispatchers of the group that are not suspected;
//   - with includeStandbys, its standbys that are not suspected;
//   - the suspected dispatchers and, with includeStandbys, the suspected standbys;
//   - with includeStandbys, the previous owners of the group.
func (e *Engine) PickDispatcher(service string, group uint32, excluded []string, includeStandbys bool) (string, bool) {
	dispatchers, standbys := e.table.Owners(service, group)
	candidates, silent := e.splitSilent(dispatchers, excluded)
	if len(candidates) == 0 && includeStandbys {
		var silentStandbys []string
		candidates, silentStandbys = e.splitSilent(standbys, excluded)
		silent = append(silent, silentStandbys...)
	}
	if len(candidates) > 0 {
		return e.lessLoaded(candidates), true
	}
	if len(silent) == 0 && includeStandbys {
		silent = e.previousOwners(service, group, excluded)
	}
	if len(silent) == 0 {
		return "", false
	}
	return e.lessLoaded(silent), true
}

// splitSilent splits the owners into candidates and those that are suspected because they were silent lately. It leaves
// out those excluded.
func (e *Engine) splitSilent(owners, excluded []string) (candidates, silent []string) {
	for _, owner := range owners {
		switch {
		case slices.Contains(excluded, owner):
		case e.now < e.loadOf(owner).suspectUntil:
			silent = append(silent, owner)
		default:
			candidates = append(candidates, owner)
		}
	}
	return candidates, silent
}

// lessLoaded picks two random candidates and returns the one with fewer sub-queries in flight.
func (e *Engine) lessLoaded(candidates []string) string {
	if len(candidates) == 1 {
		return candidates[0]
	}
	first, second := dispatch.TwoDistinct(e.random, len(candidates))
	if e.loadOf(candidates[second]).inFlight < e.loadOf(candidates[first]).inFlight {
		return candidates[second]
	}
	return candidates[first]
}

// previousOwners returns the nodes that owned a group before its owners changed and are not known to be dead. They are
// worth asking, because a new owner refuses sub-queries until it has learned of the change, and a node that is stopping
// goes on serving for Settings.LeaveGrace.
func (e *Engine) previousOwners(service string, group uint32, excluded []string) []string {
	var result []string
	for _, owner := range e.table.PreviousOwners(service, group) {
		member, known := e.members.Lookup(owner)
		if known && member.State != membership.Dead && !slices.Contains(excluded, owner) {
			result = append(result, owner)
		}
	}
	return result
}

// NextID implements scatter.Environment.
func (e *Engine) NextID() query.ID {
	return query.ID{Generation: e.members.Self().Generation, Sequence: e.nextNumber()}
}

// Region implements scatter.Environment.
func (e *Engine) Region() string { return e.members.Self().Region }

// SubQueryLatency implements scatter.Environment.
func (e *Engine) SubQueryLatency() time.Duration {
	const quantile, minimumSamples = 0.95, 20
	return e.subQueryLatencies.Quantile(quantile, minimumSamples, 0)
}

// SpendReissue implements scatter.Environment.
func (e *Engine) SpendReissue(shards int) bool {
	return e.reissues.Spend(shards)
}

// MarkSuspect implements scatter.Environment.
func (e *Engine) MarkSuspect(address string) {
	e.loadOf(address).suspectUntil = e.now + suspectFor
}
