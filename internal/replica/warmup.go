package replica

import (
	"slices"
	"time"

	"stiletrail/internal/clock"
)

// Warmup says how the back ends of a service come into service.
type Warmup struct {
	// For is how long a back end is cold.
	For clock.Ms
	// Rate is the number of requests a second that a cold one bears from all nodes together; 0 where that is not bounded.
	Rate float64
}

// coldWindow is the time in which a node counts its attempts at a cold back end. The bound is on arrivals within a second; attempts of a little more
// than that may arrive within one, since the ways of the nodes differ by up to 100 ms where connections are opened to another region.
const coldWindow = 1100 * time.Millisecond

// coldStarts are the moments at which a node has begun attempts at a cold back end within the last window, oldest first.
type coldStarts struct {
	at []time.Duration
	// grant is what the node may begin in a window, as worked out for a state of the fleet.
	grant   int
	granted uint64
}

func (c *coldStarts) note(now time.Duration) {
	c.forget(now)
	c.at = append(c.at, now)
}

func (c *coldStarts) forget(now time.Duration) {
	recent := slices.IndexFunc(c.at, func(at time.Duration) bool { return now-at < coldWindow })
	if recent < 0 {
		c.at = c.at[:0]
		return
	}
	c.at = slices.Delete(c.at, 0, recent)
}

// fleet is the nodes that share what cold back ends bear.
type fleet struct {
	self  string
	nodes []string
	// state counts the changes, from 1.
	state uint64
}

// SetWarmups sets how the back ends of each service come into service.
func (s *Set) SetWarmups(warmups map[string]Warmup) {
	s.warmups = warmups
	s.fleet.state++
}

// SetFleet sets by which nodes, this one among them, cold back ends are shared. Nodes that may be back are to be among them: with one left out
// that still sends, the shares add up to more than the back ends bear. With none known, cold back ends with a bound get nothing from this node.
func (s *Set) SetFleet(self string, nodes []string) {
	if s.fleet.self == self && slices.Equal(s.fleet.nodes, nodes) {
		return
	}
	s.fleet = fleet{self: self, nodes: slices.Clone(nodes), state: s.fleet.state + 1}
}

// mayStart reports whether an attempt at a replica may begin now as far as its being cold goes. The nodes divide what a cold back end bears without
// an exchange: each has the whole part, and the rest of the division goes to those whose hash with the back end is greatest, so that 20 requests a second
// are 20 nodes' with one each and not 65 nodes' with a third. Nodes whose lists differ by a few give a few more or less.
func (s *Set) mayStart(now time.Duration, r *Replica) bool {
	warmup := s.warmups[r.Service]
	if now >= r.coldUntil || warmup.Rate == 0 {
		return true
	}
	if now < coldWindow {
		// An earlier life of this node may just have had its part.
		return false
	}
	if r.cold.granted != s.fleet.state {
		r.cold.grant, r.cold.granted = s.fleet.grant(r.ID, warmup.Rate), s.fleet.state
	}
	r.cold.forget(now)
	return len(r.cold.at) < r.cold.grant
}

// grant is this node's part of a rate at a back end, in whole requests.
func (f *fleet) grant(id string, rate float64) int {
	if len(f.nodes) == 0 {
		return 0
	}
	each := int(rate) / len(f.nodes)
	rest := int(rate) - each*len(f.nodes)
	own, before := affinity(f.self, id), 0
	for _, node := range f.nodes {
		if node != f.self && affinity(node, id) > own {
			before++
		}
		if before >= rest {
			return each
		}
	}
	return each + 1
}
