package admit

import (
	"math"
	"slices"

	"stiletrail/internal/clock"
)

// Groups: where requests differ in rank or tenant, the share of requests to be turned away is taken from the least urgent
// rank first. What maximumTurnedAwayShare leaves of a rank is not turned away; the rest is taken from the next rank. So
// no rank is turned away entirely, and no rank more than a less urgent one.
//
// A rank is never turned away more than its own samples call for, unless it is the least urgent one: if the more urgent
// requests are answered in time, all of them are admitted, whatever less urgent ones miss.
//
// Within a rank it is taken from the tenants that send most, so that all tenants that are turned away keep the same
// number of requests. Again maximumTurnedAwayShare bounds what is taken from one of them.
const (
	// demandDecay is the time in which an arrival loses two thirds of its weight. It is longer than sampleDecay, since a
	// node gets few requests of one tenant.
	demandDecay = 4 * clock.Second
	// minimumDemand is the weight below which a group is forgotten.
	minimumDemand = 0.01
)

// shareOf returns the share of a group's requests that is turned away if overall that share of all requests is.
func (c *Controller) shareOf(now clock.Ms, group Group, overall float64) float64 {
	share := c.demand.turnedAwayShare(group, overall)
	if !c.demand.hasLessUrgent(group.Rank) {
		return share
	}
	samples := c.ofRank[group.Rank]
	if samples == nil {
		return 0
	}
	return min(share, samples.level(now).TurnedAwayShare)
}

// Group is a set of requests with the same rank and tenant.
type Group struct {
	// Rank is the priority; 0 is the highest.
	Rank int
	// Tenant is the name of the tenant, empty without tenants.
	Tenant string
}

// demand holds the recent arrivals, weighted by their age. The zero value has none.
type demand struct {
	arrivals  map[Group]float64
	decayedAt clock.Ms
}

// record counts an arrival.
func (d *demand) record(now clock.Ms, group Group) {
	if d.arrivals == nil {
		d.arrivals = map[Group]float64{}
	}
	kept := math.Exp(-float64(now-d.decayedAt) / float64(demandDecay))
	for known, weight := range d.arrivals {
		if weight*kept < minimumDemand {
			delete(d.arrivals, known)
			continue
		}
		d.arrivals[known] = weight * kept
	}
	d.decayedAt = now
	d.arrivals[group]++
}

// hasLessUrgent reports whether requests of a less urgent rank have arrived recently.
func (d *demand) hasLessUrgent(rank int) bool {
	for known := range d.arrivals {
		if known.Rank > rank {
			return true
		}
	}
	return false
}

// turnedAwayShare returns the share of a group's requests that is turned away if overall that share of all requests is.
func (d *demand) turnedAwayShare(group Group, overall float64) float64 {
	if overall <= 0 {
		return 0
	}
	var all, lessUrgent, equal float64
	for known, weight := range d.arrivals {
		all += weight
		switch {
		case known.Rank > group.Rank:
			lessUrgent += weight
		case known.Rank == group.Rank:
			equal += weight
		}
	}
	// Less urgent ranks are turned away up to the maximum before this one is.
	remaining := overall*all - maximumTurnedAwayShare*lessUrgent
	ofRank := min(max(remaining/equal, 0), maximumTurnedAwayShare)
	return d.ofTenant(group, ofRank)
}

// ofTenant returns the share of a group's requests that is turned away if that share of its rank is.
func (d *demand) ofTenant(group Group, ofRank float64) float64 {
	var weights []float64
	total := 0.0
	for known, weight := range d.arrivals {
		if known.Rank == group.Rank {
			weights = append(weights, weight)
			total += weight
		}
	}
	if len(weights) == 1 {
		return ofRank
	}
	return turnedAwayAbove(keptByEach(weights, ofRank*total), d.arrivals[group])
}

// keptByEach returns how many requests a tenant keeps at most, so that in all the given number is turned away.
func keptByEach(weights []float64, turnedAway float64) float64 {
	low, high := 0.0, slices.Max(weights)
	const steps = 30
	for range steps {
		middle := (low + high) / 2
		if turnedAwayInAll(weights, middle) > turnedAway {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

func turnedAwayInAll(weights []float64, kept float64) (sum float64) {
	for _, weight := range weights {
		sum += weight * turnedAwayAbove(kept, weight)
	}
	return sum
}

// turnedAwayAbove returns the share of a tenant's requests that is turned away if it keeps the given number.
func turnedAwayAbove(kept, weight float64) float64 {
	return min(max(1-kept/weight, 0), maximumTurnedAwayShare)
}
