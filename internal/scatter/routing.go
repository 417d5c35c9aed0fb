package scatter

import (
	"slices"
	"sort"

	"stiletrail/internal/query"
)

// GroupHoldings states what the back ends of one group hold.
type GroupHoldings struct {
	Number   uint32
	Region   string
	Holdings []query.Holding
}

// Routing is what a root knows of a service: its groups of back ends, and the shards and versions that these hold.
type Routing struct {
	Groups []GroupHoldings
}

// Plan is a snapshot at which a query can run.
type Plan struct {
	Snapshot query.Snapshot
	// Total is the number of shards in the snapshot's epoch.
	Total uint32
	// Covered counts the shards that some group can answer at the snapshot.
	Covered uint32
}

// ChoosePlan returns the snapshot that covers the largest share of its shards, and of several such ones the newest. Its
// version is at least minimumVersion, and it is not excluded. ChoosePlan returns false if no shard is covered.
func (r Routing) ChoosePlan(minimumVersion uint64, excluded []query.Snapshot) (Plan, bool) {
	var best Plan
	found := false
	for _, epoch := range r.epochs() {
		total := r.total(epoch)
		for _, version := range r.versions(epoch) {
			snapshot := query.Snapshot{Version: version, Epoch: epoch}
			if version < minimumVersion || slices.Contains(excluded, snapshot) {
				continue
			}
			plan := Plan{Snapshot: snapshot, Total: total, Covered: r.covered(snapshot, total)}
			if !found || plan.betterThan(best) {
				best, found = plan, true
			}
		}
	}
	return best, found && best.Covered > 0
}

// betterThan reports whether the plan is preferred to another one: it covers a larger share of its shards, or else has
// the newer version, or else the newer epoch.
func (p Plan) betterThan(other Plan) bool {
	mine := uint64(p.Covered) * uint64(other.Total)
	theirs := uint64(other.Covered) * uint64(p.Total)
	if mine != theirs {
		return mine > theirs
	}
	if p.Snapshot.Version != other.Snapshot.Version {
		return p.Snapshot.Version > other.Snapshot.Version
	}
	return p.Snapshot.Epoch > other.Snapshot.Epoch
}

// forEachHolding calls visit for the holding of each back end.
func (r Routing) forEachHolding(visit func(query.Holding)) {
	for _, group := range r.Groups {
		for _, holding := range group.Holdings {
			visit(holding)
		}
	}
}

// epochs returns the epochs of all holdings, without duplicates.
func (r Routing) epochs() []uint64 {
	var epochs []uint64
	r.forEachHolding(func(h query.Holding) {
		if !slices.Contains(epochs, h.Epoch) {
			epochs = append(epochs, h.Epoch)
		}
	})
	return epochs
}

// total returns the number of shards in an epoch. Every back end in the epoch states it, whichever shards the back end
// holds.
func (r Routing) total(epoch uint64) uint32 {
	var total uint32
	r.forEachHolding(func(h query.Holding) {
		if h.Epoch == epoch {
			total = max(total, h.ShardsTotal)
		}
	})
	return total
}

// versions returns the newest versions of all holdings in an epoch, in descending order. The newest version that all
// shards hold is one of them.
func (r Routing) versions(epoch uint64) []uint64 {
	var versions []uint64
	r.forEachHolding(func(h query.Holding) {
		if h.Epoch == epoch && !slices.Contains(versions, h.NewestVersion) {
			versions = append(versions, h.NewestVersion)
		}
	})
	sort.Slice(versions, func(i, j int) bool { return versions[i] > versions[j] })
	return versions
}

// covered counts the shards that some back end holds at a snapshot.
func (r Routing) covered(at query.Snapshot, total uint32) uint32 {
	held := make([]bool, total)
	var count uint32
	r.forEachHolding(func(h query.Holding) {
		if !h.HasSnapshot(at) {
			return
		}
		for _, shard := range h.Shards {
			if shard < total && !held[shard] {
				held[shard] = true
				count++
			}
		}
	})
	return count
}

// noCoverage returns the coverage of an answer with no shard answered.
func (r Routing) noCoverage() query.Coverage {
	_, total, known := r.NewestEpoch()
	if !known {
		return query.Coverage{}
	}
	coverage := query.Coverage{Total: total, TotalKnown: true}
	for number := range total {
		coverage.Missing = append(coverage.Missing, query.Missing{Shard: number, Reason: query.ReasonNoReplica})
	}
	return coverage
}

// holders returns for each shard the numbers of the groups that can answer at the snapshot. Groups of the given region
// come first.
func (r Routing) holders(at query.Snapshot, total uint32, region string) [][]uint32 {
	holders := make([][]uint32, total)
	for _, local := range []bool{true, false} {
		for _, group := range r.Groups {
			if (group.Region == region) != local {
				continue
			}
			for _, holding := range group.Holdings {
				if !holding.HasSnapshot(at) {
					continue
				}
				for _, shard := range holding.Shards {
					if shard < total && !slices.Contains(holders[shard], group.Number) {
						holders[shard] = append(holders[shard], group.Number)
					}
				}
			}
		}
	}
	return holders
}

// NewestEpoch returns the newest epoch of any holding and the number of its shards. It is used for requests that go to
// the one shard of their key.
func (r Routing) NewestEpoch() (epoch uint64, total uint32, known bool) {
	for _, candidate := range r.epochs() {
		if !known || candidate > epoch {
			epoch, known = candidate, true
		}
	}
	return epoch, r.total(epoch), known && r.total(epoch) > 0
}

// GroupOf returns the number of a group that holds a shard in an epoch, preferably in the given region, and false if
// there is none.
func (r Routing) GroupOf(shard uint32, epoch uint64, region string) (uint32, bool) {
	fallback, found := uint32(0), false
	for _, group := range r.Groups {
		holds := slices.ContainsFunc(group.Holdings, func(h query.Holding) bool {
			return h.Epoch == epoch && h.HasShard(shard)
		})
		if !holds {
			continue
		}
		if group.Region == region {
			return group.Number, true
		}
		if !found {
			fallback, found = group.Number, true
		}
	}
	return fallback, found
}
