package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// outsideSubsetPenalty is by how much a near replica outside the subset must be better.
const outsideSubsetPenalty = 40 * time.Millisecond

// affinity orders the replicas of a service for one node by rendezvous hashing: nodes spread over replicas without an
// exchange, and one that comes or goes changes little.
func affinity(node, id string) uint64 { return xxhash.Sum64String(node + "/" + id) }

// selectSubset chooses the near replicas of a service that this node prefers. With many replicas and few requests a
// node would else use each so rarely that connections are idle until they are closed, and nearly every request opens
// one.
func (s *Set) selectSubset(service string) {
	members := s.byService[service]
	var near []*Replica
	for _, r := range members {
		r.outsideSubset = false
		if s.inOwnRegion(r) && r.candidate() {
			near = append(near, r)
		}
	}
	size := s.settings.SubsetSize
	if size == 0 || s.connectionShare(service).OtherRegions >= ampleConnections || len(near) <= size {
		return
	}
	slices.SortFunc(near, func(a, b *Replica) int {
		return cmp.Or(cmp.Compare(s.distancePenalty(a, defaultTargetLatency), s.distancePenalty(b, defaultTargetLatency)), cmp.Compare(b.affinity, a.affinity))
	})
	for _, r := range near[size:] {
		r.outsideSubset = true
	}
}

func (s *Set) selectSubsets() {
	for service := range s.byService {
		s.selectSubset(service)
	}
}
