package replica

import (
	"slices"
	"time"

	"stiletrail/internal/region"
)

// How the choice weighs what is known.
const (
	// unknownLatency stands for the latency of a replica without a sample.
	unknownLatency = 10 * time.Millisecond
	// jitter spreads the choice among replicas that are about as good.
	jitter = 0.1
	// coldFactor is the slowdown expected of a back end that has just started.
	coldFactor = 1.6
	// forgetAfter is the time in which the latency of an unused replica halves, so that it is tried again.
	forgetAfter = 2 * time.Second
	// unstatedTarget stands for the target of a route that states none.
	unstatedTarget = 250 * time.Millisecond
	// otherZonePart of the price of another region is that of another zone of the own one: 10 ms stood beside 130, and bytes cost a third.
	otherZonePart = 0.08
	// latencyGain is the weight of a new sample in the moving average.
	latencyGain = 0.3
)

// candidate reports whether a replica may be picked at all: it is not draining, its address does not answer for another, and its zone is not
// evacuated.
func (r *Replica) candidate() bool {
	return !r.Draining && !r.misdirected && !r.evacuated
}

// Known reports whether a service has a back end in some regions that may be picked.
func (s *Set) Known(service string, regions region.Set) bool {
	choice := Choice{Regions: regions}
	return slices.ContainsFunc(s.byService[service], func(r *Replica) bool { return r.candidate() && choice.allows(r) })
}

// Versions are those of the software of a service's back ends in some regions that may be picked.
func (s *Set) Versions(service string, regions region.Set) (versions []string) {
	choice := Choice{Regions: regions}
	for _, member := range s.byService[service] {
		if member.candidate() && choice.allows(member) && !slices.Contains(versions, member.Version) {
			versions = append(versions, member.Version)
		}
	}
	return versions
}

// Choice says which replicas of a service may be picked: of those in Only, if there are any, all but those excluded.
type Choice struct {
	Excluded []*Replica
	Only     []*Replica
	// Versions of software that may be picked, if any are named.
	Versions []string
	// Regions whose back ends may be picked.
	Regions region.Set
	// Target is the time within which the request is to be answered; prices of a replica are shares of it.
	Target time.Duration
}

func (c Choice) allows(r *Replica) bool {
	if !c.Regions.Allows(r.region) {
		return false
	}
	if len(c.Versions) > 0 && !slices.Contains(c.Versions, r.Version) {
		return false
	}
	return !slices.Contains(c.Excluded, r) && (len(c.Only) == 0 || slices.Contains(c.Only, r))
}

// Recovers returns the first moment at which one of the replicas that may be picked is not ejected; false if there is none.
func (s *Set) Recovers(service string, choice Choice) (at time.Duration, known bool) {
	for _, member := range s.byService[service] {
		if !member.candidate() || !choice.allows(member) {
			continue
		}
		if !known || member.ejectedUntil < at {
			at = member.ejectedUntil
		}
		if !s.settings.Ejection {
			at = 0
		}
		known = true
	}
	return at, known
}

// Draw returns a random number from 0 to 1, of the set's own source.
func (s *Set) Draw() float64 { return s.random.Float64() }

// Pick returns the best replica of a service that the choice allows, or nil. Busy is set where there are replicas but each
// has all the attempts under way that it may have.
func (s *Set) Pick(now time.Duration, service string, choice Choice) (best *Replica, busy bool) {
	target := choice.Target
	if target == 0 {
		target = unstatedTarget
	}
	var bestScore float64
	bestRank := rankNever
	for _, member := range s.byService[service] {
		if !member.candidate() || !choice.allows(member) {
			continue
		}
		if len(member.inFlight) >= s.connectionsTo(member) || !s.mayStart(now, member) {
			busy = true
			continue
		}
		rank := member.rank(now)
		if rank == rankEjected && !s.settings.Ejection {
			rank = rankGood
		}
		score := s.score(now, member, target)
		if best == nil || rank < bestRank || (rank == bestRank && score < bestScore) {
			best, bestRank, bestScore = member, rank, score
		}
	}
	return best, best == nil && busy
}

// rank orders replicas before their scores are compared.
type rank int

const (
	rankGood rank = iota
	rankDoubtful
	rankEjected
	rankNever
)

func (r *Replica) rank(now time.Duration) rank {
	if r.Ejected(now) {
		return rankEjected
	}
	if r.doubtful {
		return rankDoubtful
	}
	return rankGood
}

// score is the latency expected of one more attempt, in nanoseconds, with the prices of distance and of faults.
func (s *Set) score(now time.Duration, r *Replica, target time.Duration) float64 {
	expected := float64(r.Expected(now)) * float64(1+len(r.inFlight))
	if s.settings.GoByPace {
		expected *= r.paceNow(now)
	}
	if now < r.coldUntil {
		expected *= coldFactor
	}
	expected *= 1 + jitter*(2*s.random.Float64()-1)
	if r.outside {
		expected += outsidePenalty
	}
	faults := r.faultOdds(now) * s.settings.FaultPrice * float64(target)
	return expected + faults + float64(s.distance(r, target))
}

// distance is the price of a replica that is farther than the own zone.
func (s *Set) distance(r *Replica, target time.Duration) time.Duration {
	if r.Zone == s.places.Zone {
		return 0
	}
	price := s.settings.FarPrice * float64(target)
	if s.near(r) {
		price *= otherZonePart
	}
	return time.Duration(price)
}

// near reports whether a replica is in the region of the node.
func (s *Set) near(r *Replica) bool {
	return r.Zone == s.places.Zone || r.region == s.places.Regions[s.places.Zone]
}

// Expected is the latency expected of an attempt: the average, decayed while the replica is unused, and no less than the age
// of the oldest attempt without an answer.
func (r *Replica) Expected(now time.Duration) time.Duration {
	expected := r.decayed(now)
	if len(r.inFlight) > 0 {
		expected = max(expected, now-r.inFlight[0])
	}
	return expected
}

func (r *Replica) decayed(now time.Duration) time.Duration {
	if r.latency == 0 {
		return unknownLatency
	}
	expected := r.latency
	for unused := now - r.sampledAt; unused >= forgetAfter && expected > unknownLatency; unused -= forgetAfter {
		expected /= 2
	}
	return max(expected, unknownLatency)
}
