package replica

import (
	"slices"
	"time"

	"stiletrail/internal/region"
)

// Pick chooses the back end of an attempt by this rule:
//
//  1. Candidates are the back ends of the service that are not draining, whose address is not answered by another back
//     end, and whose zone is not evacuated (candidate). The caller may exclude some by region, by software version, or
//     because the request has already tried them (PickOptions).
//  2. A candidate is skipped if this node has as many attempts in flight there as its share of connections allows, or
//     if the candidate is cold and this node's quota is used up (hasCapacity: connections.go, warmup.go).
//  3. The best rank wins: good before doubtful (doubt.go) before ejected (ejection.go) before unreachable
//     (shared_verdict.go). A back end that nobody can reach is not picked while another one has no capacity only now.
//  4. Among candidates of the same rank the lowest score wins. The score is a latency in nanoseconds:
//
//     expected x (1 + attempts in flight) x slowdown x coldFactor x (1 +- jitter)
//     + outsideSubsetPenalty + faults + distance
//
// The terms are:
//
//	expected              the moving average of latencies, or the age of the oldest attempt in flight if greater  latency.go
//	slowdown              how many times longer than usual work takes, as the back end or a node reported; else 1 slowdown.go
//	coldFactor            while the back end is cold; else 1                                                      warmup.go
//	outsideSubsetPenalty  for a back end of the own region outside the node's preferred subset; else 0            subset.go
//	faults                expected failed attempts per successful one, times FaultPenalty, times target latency   faults.go, shared_verdict.go
//	distance              0 in the own zone; OtherRegionPenalty times the target latency in another region;
//	                      otherZoneFraction of that in another zone of the own region

const (
	// jitter is the largest random deviation of a score, as a fraction. It spreads load over replicas with similar
	// scores.
	jitter = 0.1
	// coldFactor is the expected slowdown of a back end that has just started.
	coldFactor = 1.6
	// defaultTargetLatency is used for routes that state no target latency.
	defaultTargetLatency = 250 * time.Millisecond
	// otherZoneFraction is the penalty of another zone in the own region, as a fraction of the penalty of another
	// region. Traffic between zones takes less time and costs less than traffic between regions.
	otherZoneFraction = 0.08
)

// PickOptions states which replicas of a service may be picked: those in Only, or all if it is empty, except those in
// Excluded.
type PickOptions struct {
	Excluded []*Replica
	Only     []*Replica
	// Versions lists the software versions that may be picked; if it is empty, all may.
	Versions []string
	// Regions is the set of regions whose back ends may be picked.
	Regions region.Set
	// TargetLatency is the target latency of the request, to which penalties are relative; 0 if it has none.
	TargetLatency time.Duration
}

func (o PickOptions) allows(r *Replica) bool {
	if !o.Regions.Allows(r.region) {
		return false
	}
	if len(o.Versions) > 0 && !slices.Contains(o.Versions, r.Version) {
		return false
	}
	return !slices.Contains(o.Excluded, r) && (len(o.Only) == 0 || slices.Contains(o.Only, r))
}

// Pick returns the best replica of a service that the options allow, or nil. Busy is set if there are such replicas but
// none has capacity for another attempt, except perhaps some that nobody can reach.
func (s *Set) Pick(now time.Duration, service string, options PickOptions) (best *Replica, busy bool) {
	target := options.TargetLatency
	if target == 0 {
		target = defaultTargetLatency
	}
	var bestScore float64
	var bestRank rank
	reachableBusy := false
	for _, member := range s.byService[service] {
		if !member.candidate() || !options.allows(member) {
			continue
		}
		if !s.hasCapacity(now, member) {
			busy = true
			reachableBusy = reachableBusy || !s.unreachable(now, member)
			continue
		}
		rank, score := s.rank(now, member), s.score(now, member, target)
		if best == nil || rank < bestRank || (rank == bestRank && score < bestScore) {
			best, bestRank, bestScore = member, rank, score
		}
	}
	if best != nil && bestRank == rankUnreachable && reachableBusy {
		return nil, true
	}
	return best, best == nil && busy
}

// unreachable reports whether a replica is ranked last because nobody can connect to it.
func (s *Set) unreachable(now time.Duration, r *Replica) bool {
	return s.settings.Ejection && r.shared.current(now, r.affinity).Unreachable
}

// candidate reports whether a replica may be picked at all.
func (r *Replica) candidate() bool {
	return !r.Draining && !r.misdirected && !r.evacuated
}

// hasCapacity reports whether this node may begin another attempt at a replica.
func (s *Set) hasCapacity(now time.Duration, r *Replica) bool {
	return len(r.inFlight) < s.connectionLimit(r) && s.withinColdQuota(now, r)
}

// rank is the primary order of replicas. Scores are compared only within a rank.
type rank int

const (
	rankGood rank = iota
	rankDoubtful
	rankEjected
	// rankUnreachable is the rank of a back end that other nodes could not reach either.
	rankUnreachable
)

func (s *Set) rank(now time.Duration, r *Replica) rank {
	switch {
	case s.unreachable(now, r):
		return rankUnreachable
	case r.Ejected(now) && s.settings.Ejection:
		return rankEjected
	case r.Ejected(now):
		return rankGood
	case r.Doubtful():
		return rankDoubtful
	}
	return rankGood
}

// score returns the expected latency of one more attempt plus the penalties for distance and faults, in nanoseconds. It
// draws one random number.
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
	faults := max(r.faults.odds(now), odds(r.shared.current(now, r.affinity).RefusedShare)) * s.settings.FaultPenalty * float64(target)
	return expected + faults + float64(s.distancePenalty(r, target))
}

// distancePenalty returns the penalty for a replica outside the own zone.
func (s *Set) distancePenalty(r *Replica, target time.Duration) time.Duration {
	if r.Zone == s.topology.Zone {
		return 0
	}
	penalty := s.settings.OtherRegionPenalty * float64(target)
	if s.inOwnRegion(r) {
		penalty *= otherZoneFraction
	}
	return time.Duration(penalty)
}

// inOwnRegion reports whether a replica is in this node's region.
func (s *Set) inOwnRegion(r *Replica) bool {
	return r.Zone == s.topology.Zone || r.region == s.topology.Regions[s.topology.Zone]
}

// FastestAnswer returns the shortest time in which one of the replicas that the options allow is expected to answer; known
// is false if there are no such replicas.
func (s *Set) FastestAnswer(now time.Duration, service string, options PickOptions) (latency time.Duration, known bool) {
	for _, member := range s.byService[service] {
		if !member.candidate() || !options.allows(member) {
			continue
		}
		if expected := member.ExpectedMinimum(now); !known || expected < latency {
			latency = expected
		}
		known = true
	}
	return latency, known
}

// HasCapacity reports whether Pick would find a back end of a service for another attempt, if nothing excludes any. One
// that nobody can reach counts only if the service has no other one.
func (s *Set) HasCapacity(now time.Duration, service string) bool {
	unreachableHasCapacity, reachable := false, false
	for _, member := range s.byService[service] {
		if !member.candidate() {
			continue
		}
		unreachable, room := s.unreachable(now, member), s.hasCapacity(now, member)
		if room && !unreachable {
			return true
		}
		reachable = reachable || !unreachable
		unreachableHasCapacity = unreachableHasCapacity || room
	}
	return unreachableHasCapacity && !reachable
}

// HasCandidate reports whether a service has a back end in the given regions that may be picked.
func (s *Set) HasCandidate(service string, regions region.Set) bool {
	options := PickOptions{Regions: regions}
	return slices.ContainsFunc(s.byService[service], func(r *Replica) bool { return r.candidate() && options.allows(r) })
}

// Versions returns the distinct software versions of a service's back ends in the given regions that may be picked.
func (s *Set) Versions(service string, regions region.Set) (versions []string) {
	options := PickOptions{Regions: regions}
	for _, member := range s.byService[service] {
		if member.candidate() && options.allows(member) && !slices.Contains(versions, member.Version) {
			versions = append(versions, member.Version)
		}
	}
	return versions
}

// EarliestRecovery returns the earliest time at which one of the replicas that the options allow is not ejected; known
// is false if there are no such replicas.
func (s *Set) EarliestRecovery(service string, options PickOptions) (at time.Duration, known bool) {
	for _, member := range s.byService[service] {
		if !member.candidate() || !options.allows(member) {
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
