package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// outsideSubsetPenalty is added to the score of a replica of the own region that is outside the preferred subset.
const outsideSubsetPenalty = 40 * time.Millisecond

// affinity ranks the replicas of a service for one node by rendezvous hashing. Nodes spread over the replicas without
// communicating, and a replica that joins or leaves changes the preferences of few nodes.
func affinity(node, id string) uint64 { return xxhash.Sum64String(node + "/" + id) }

// selectSubset chooses the replicas of the own region that this node prefers for a service. With many replicas and few
// requests, a node would otherwise use each replica so rarely that connections are closed while idle, and nearly every
// request would open a new one.
func (s *Set) selectSubset(service string) {
	members := s.byService[service]
	var inRegion []*Replica
	for _, r := range members {
		r.outsideSubset = false
		if s.inOwnRegion(r) && r.candidate() {
			inRegion = append(inRegion, r)
		}
	}
	size := s.settings.SubsetSize
	if size == 0 || s.connectionShare(service).OtherRegions >= ampleConnections || len(inRegion) <= size {
		return
	}
	slices.SortFunc(inRegion, func(a, b *Replica) int {
		return cmp.Or(
			cmp.Compare(s.distancePenalty(a, defaultTargetLatency), s.distancePenalty(b, defaultTargetLatency)),
			cmp.Compare(b.affinity, a.affinity),
		)
	})
	for _, r := range inRegion[size:] {
		r.outsideSubset = true
	}
}

func (s *Set) selectSubsets() {
	for service := range s.byService {
		s.selectSubset(service)
	}
}
