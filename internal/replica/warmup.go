package replica

import (
	"slices"
	"time"

	"stiletrail/internal/clock"
)

// Warmup says how the back ends of a service come into service.
type Warmup struct {
	// Duration is how long a back end is cold.
	Duration clock.Ms
	// Rate is the number of requests a second that a cold one bears from all nodes together; 0 where that is not bounded.
	Rate float64
}

// coldWindow is the time in which a node counts its attempts at a cold back end. The bound is on arrivals within a
// second; attempts of a little more than that may arrive within one, since the ways of the nodes differ by up to 100 ms
// where connections are opened to another region.
const coldWindow = 1100 * time.Millisecond

// coldPhase is the time after its start, or after its zone was taken back, in which a replica is cold.
type coldPhase struct {
	until time.Duration
	// recentStarts are the moments at which this node has begun attempts within the last window, oldest first.
	recentStarts []time.Duration
	// quota is how many this node may begin in a window, as worked out for a version of the list of nodes.
	quota        int
	quotaVersion uint64
}

func (c *coldPhase) active(now time.Duration) bool { return now < c.until }

func (c *coldPhase) recordStart(now time.Duration) {
	c.dropOldStarts(now)
	c.recentStarts = append(c.recentStarts, now)
}

func (c *coldPhase) dropOldStarts(now time.Duration) {
	recent := slices.IndexFunc(c.recentStarts, func(at time.Duration) bool { return now-at < coldWindow })
	if recent < 0 {
		c.recentStarts = c.recentStarts[:0]
		return
	}
	c.recentStarts = slices.Delete(c.recentStarts, 0, recent)
}

// nodeList is the nodes that divide what cold back ends bear.
type nodeList struct {
	self  string
	names []string
	// version counts the changes, from 1.
	version uint64
}

// SetWarmups sets how the back ends of each service come into service.
func (s *Set) SetWarmups(warmups map[string]Warmup) {
	s.warmups = warmups
	s.nodes.version++
}

// SetNodes sets which nodes, this one among them, divide what cold back ends bear. Nodes that may be back are to be
// among them: with one left out that still sends, the shares add up to more than the back ends bear. With none known,
// cold back ends with a bound get nothing from this node.
func (s *Set) SetNodes(self string, nodes []string) {
	if s.nodes.self == self && slices.Equal(s.nodes.names, nodes) {
		return
	}
	s.nodes = nodeList{self: self, names: slices.Clone(nodes), version: s.nodes.version + 1}
}

// withinColdQuota reports whether an attempt at a replica may begin now as far as its being cold goes. The nodes divide
// what a cold back end bears without an exchange: each has the whole part, and the rest of the division goes to those
// whose hash with the back end is greatest, so that 20 requests a second are 20 nodes' with one each and not 65 nodes'
// with a third. Nodes whose lists differ by a few give a few more or less.
func (s *Set) withinColdQuota(now time.Duration, r *Replica) bool {
	warmup := s.warmups[r.Service]
	if !r.Cold(now) || warmup.Rate == 0 {
		return true
	}
	if now < coldWindow {
		// An earlier life of this node may just have had its part.
		return false
	}
	if r.cold.quotaVersion != s.nodes.version {
		r.cold.quota, r.cold.quotaVersion = s.nodes.quota(r.ID, warmup.Rate), s.nodes.version
	}
	r.cold.dropOldStarts(now)
	return len(r.cold.recentStarts) < r.cold.quota
}

// quota is this node's part of a rate at a back end, in whole requests.
func (l *nodeList) quota(id string, rate float64) int {
	if len(l.names) == 0 {
		return 0
	}
	each := int(rate) / len(l.names)
	rest := int(rate) - each*len(l.names)
	own, before := affinity(l.self, id), 0
	for _, node := range l.names {
		if node != l.self && affinity(node, id) > own {
			before++
		}
		if before >= rest {
			return each
		}
	}
	return each + 1
}
