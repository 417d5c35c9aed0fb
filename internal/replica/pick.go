package replica

import (
	"slices"
	"time"

	"stiletrail/internal/region"
)

// The rule by which Pick chooses the back end of an attempt:
//
//  1. Candidates are the back ends of the service that are not draining, whose address does not answer for another, and
//     whose zone is not evacuated (candidate). The request may bar some by region, software version, or what it has
//     tried (Choice).
//  2. A candidate is passed over that has as many attempts of this node under way as its share of the connections
//     allows, or that is cold and has got this node's part of what it bears (hasRoom: connections.go, warmup.go).
//  3. The best rank goes first: good, then doubtful (doubt.go), then ejected (ejection.go).
//  4. Of the same rank the lowest score wins. It is a latency, in nanoseconds:
//
//     expected x (1 + attempts under way) x slowdown x coldFactor x (1 +- jitter) + outsidePenalty + faults + distance
//
// with
//
//	expected        the moving average of latencies, or the age of the oldest attempt under way where that is more      latency.go
//	slowdown        how many times longer than usual work takes there, as the back end or another node told; else 1     slowdown.go
//	coldFactor      while the back end is cold; else 1                                                                  warmup.go
//	outsidePenalty  for a near back end outside the subset that this node prefers; else 0                               subset.go
//	faults          attempts expected to fail for one that does not, times FaultPrice, times the target latency         faults.go
//	distance        0 in the own zone; FarPrice times the target latency in another region, otherZonePart of that
//	                in another zone of the own one

const (
	// jitter spreads the choice among replicas that are about as good.
	jitter = 0.1
	// coldFactor is the slowdown expected of a back end that has just started.
	coldFactor = 1.6
	// defaultTargetLatency stands for the target latency of a route that states none.
	defaultTargetLatency = 250 * time.Millisecond
	// otherZoneFraction of the price of another region is that of another zone of the own one, which takes less time, and
	// whose traffic costs less.
	otherZoneFraction = 0.08
)

// PickOptions says which replicas of a service may be picked: of those in Only, if there are any, all but those excluded.
type PickOptions struct {
	Excluded []*Replica
	Only     []*Replica
	// Versions of software that may be picked, if any are named.
	Versions []string
	// Regions whose back ends may be picked.
	Regions region.Set
	// TargetLatency latency of the request, of which prices are shares; 0 where it has none.
	TargetLatency time.Duration
}

func (c PickOptions) allows(r *Replica) bool {
	if !c.Regions.Allows(r.region) {
		return false
	}
	if len(c.Versions) > 0 && !slices.Contains(c.Versions, r.Version) {
		return false
	}
	return !slices.Contains(c.Excluded, r) && (len(c.Only) == 0 || slices.Contains(c.Only, r))
}

// Pick returns the best replica of a service that the choice allows, or nil. Busy is set where there are replicas but
// none has room for another attempt.
func (s *Set) Pick(now time.Duration, service string, choice PickOptions) (best *Replica, busy bool) {
	target := choice.TargetLatency
	if target == 0 {
		target = defaultTargetLatency
	}
	var bestScore float64
	var bestRank rank
	for _, member := range s.byService[service] {
		if !member.candidate() || !choice.allows(member) {
			continue
		}
		if !s.hasCapacity(now, member) {
			busy = true
			continue
		}
		rank, score := s.rank(now, member), s.score(now, member, target)
		if best == nil || rank < bestRank || (rank == bestRank && score < bestScore) {
			best, bestRank, bestScore = member, rank, score
		}
	}
	return best, best == nil && busy
}

// candidate reports whether a replica may be picked at all.
func (r *Replica) candidate() bool {
	return !r.Draining && !r.misdirected && !r.evacuated
}

// hasCapacity reports whether this node may begin another attempt at a replica.
func (s *Set) hasCapacity(now time.Duration, r *Replica) bool {
	return len(r.inFlight) < s.connectionLimit(r) && s.withinColdQuota(now, r)
}

// rank orders replicas before their scores are compared.
type rank int

const (
	rankGood rank = iota
	rankDoubtful
	rankEjected
)

func (s *Set) rank(now time.Duration, r *Replica) rank {
	switch {
	case r.Ejected(now) && s.settings.Ejection:
		return rankEjected
	case r.Ejected(now):
		return rankGood
	case r.Doubtful():
		return rankDoubtful
	}
	return rankGood
}

// score is the latency expected of one more attempt with the prices of distance and of faults, in nanoseconds. It draws
// one random number.
func (s *Set) score(now time.Duration, r *Replica, target time.Duration) float64 {
	expected := float64(r.ExpectedLatency(now)) * float64(1+len(r.inFlight))
	if s.settings.UseSlowdown {
		expected *= r.slowdown.current(now, r.affinity)
	}
	if r.Cold(now) {
		expected *= coldFactor
	}
	expected *= 1 + jitter*(2*s.random.Float64()-1)
	if r.outsideSubset {
		expected += float64(outsideSubsetPenalty)
	}
	faults := r.faults.odds(now) * s.settings.FaultPenalty * float64(target)
	return expected + faults + float64(s.distancePenalty(r, target))
}

// distancePenalty is the price of a replica that is farther than the own zone.
func (s *Set) distancePenalty(r *Replica, target time.Duration) time.Duration {
	if r.Zone == s.places.Zone {
		return 0
	}
	price := s.settings.OtherRegionPenalty * float64(target)
	if s.inOwnRegion(r) {
		price *= otherZoneFraction
	}
	return time.Duration(price)
}

// inOwnRegion reports whether a replica is in the region of the node.
func (s *Set) inOwnRegion(r *Replica) bool {
	return r.Zone == s.places.Zone || r.region == s.places.Regions[s.places.Zone]
}

// HasCandidate reports whether a service has a back end in some regions that may be picked.
func (s *Set) HasCandidate(service string, regions region.Set) bool {
	choice := PickOptions{Regions: regions}
	return slices.ContainsFunc(s.byService[service], func(r *Replica) bool { return r.candidate() && choice.allows(r) })
}

// Versions are those of the software of a service's back ends in some regions that may be picked.
func (s *Set) Versions(service string, regions region.Set) (versions []string) {
	choice := PickOptions{Regions: regions}
	for _, member := range s.byService[service] {
		if member.candidate() && choice.allows(member) && !slices.Contains(versions, member.Version) {
			versions = append(versions, member.Version)
		}
	}
	return versions
}

// EarliestRecovery returns the first moment at which one of the replicas that may be picked is not ejected; false if there is none.
func (s *Set) EarliestRecovery(service string, choice PickOptions) (at time.Duration, known bool) {
	for _, member := range s.byService[service] {
		if !member.candidate() || !choice.allows(member) {
			continue
		}
		if !known || member.ejection.until < at {
			at = member.ejection.until
		}
		if !s.settings.Ejection {
			at = 0
		}
		known = true
	}
	return at, known
}
