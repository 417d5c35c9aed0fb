package replica

import (
	"slices"
	"time"

	"stiletrail/internal/clock"
)

// Warmup describes how the back ends of a service take up work after their start.
type Warmup struct {
	// Duration is how long a back end stays cold, in milliseconds.
	Duration clock.Ms
	// Rate is the number of requests per second that all nodes together may send to a cold back end; 0 means no limit.
	Rate float64
}

// coldWindow is the time window in which a node counts its attempts at a cold back end. The limit applies to arrivals
// within one second. Attempts begun over a slightly longer time may arrive within one second, because the transit times
// of the nodes differ by up to 100 ms if connections to another region have to be opened.
const coldWindow = 1100 * time.Millisecond

// coldPhase is the time during which a replica is cold: after its start, or after the evacuation of its zone ended.
type coldPhase struct {
	until time.Duration
	// recentStarts are the times at which this node began attempts within the last window, oldest first.
	recentStarts []time.Duration
	// quota is the number of attempts that this node may begin in a window. It was computed for the version
	// quotaVersion of the node list.
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

// nodeList lists the nodes that share the request rate of cold back ends.
type nodeList struct {
	self  string
	names []string
	// version counts the changes of the list and of the warm-up rates, starting at 1.
	version uint64
}

// SetWarmups sets the warm-up parameters of the back ends, by service.
func (s *Set) SetWarmups(warmups map[string]Warmup) {
	s.warmups = warmups
	s.nodes.version++
}

// SetNodes sets the nodes that share the request rate of cold back ends, including this node. Nodes that may come back
// must be included: if a node that still sends requests is left out, the quotas add up to more than the allowed rate.
// If no node is known, this node sends nothing to cold back ends with a limit.
func (s *Set) SetNodes(self string, nodes []string) {
	if s.nodes.self == self && slices.Equal(s.nodes.names, nodes) {
		return
	}
	s.nodes = nodeList{self: self, names: slices.Clone(nodes), version: s.nodes.version + 1}
}

// withinColdQuota reports whether this node's quota allows an attempt at a replica now; a replica that is not cold is
// not limited. The nodes divide the request rate of a cold back end without communicating. Each node gets the integer
// part of the quotient, and the remainder goes to the nodes whose hash with the back end is greatest: a rate of 20
// requests per second gives 20 of 65 nodes one request each, instead of a third of a request for every node. If the
// lists of the nodes differ in a few entries, the total exceeds or falls short of the rate by a few requests.
func (s *Set) withinColdQuota(now time.Duration, r *Replica) bool {
	warmup := s.warmups[r.Service]
	if !r.Cold(now) || warmup.Rate == 0 {
		return true
	}
	if now < coldWindow {
		// A previous process of this node may just have used up the quota.
		return false
	}
	if r.cold.quotaVersion != s.nodes.version {
		r.cold.quota, r.cold.quotaVersion = s.nodes.quota(r.ID, warmup.Rate), s.nodes.version
	}
	r.cold.dropOldStarts(now)
	return len(r.cold.recentStarts) < r.cold.quota
}

// quota returns this node's share of a request rate at a back end, in whole requests.
func (l *nodeList) quota(id string, rate float64) int {
	if len(l.names) == 0 {
		return 0
	}
	each := int(rate) / len(l.names)
	remainder := int(rate) - each*len(l.names)
	own, before := affinity(l.self, id), 0
	for _, node := range l.names {
		if node != l.self && affinity(node, id) > own {
			before++
		}
		if before >= remainder {
			return each
		}
	}
	return each + 1
}
