package replica

import (
	"time"

	"stiletrail/internal/clock"
)

const (
	// ampleConnections is the share from which on a node has enough connections to a back end: it can keep idle ones at
	// any back end for the next request.
	ampleConnections = 2
	// otherRegionsDivisor sets the reserve for nodes of other regions if the share of each node is not ample: a back
	// end's connections divided by this number.
	otherRegionsDivisor = 8
	// otherRegionIdleTimeout is how long a connection to a back end in another region may stay idle if the share of
	// connections is not ample.
	otherRegionIdleTimeout = clock.Second
	// verifyConnectionsFor is how long this node verifies new connections to a back end that has rejected one. For some
	// seconds, a back end still counts the connections of node processes that have ended.
	verifyConnectionsFor = 4 * time.Second
)

// ConnectionShare is the number of connections that one node may use at each back end of a service.
type ConnectionShare struct {
	// SameRegion limits the attempts in flight at a back end in the node's own region. OtherRegions limits those at a
	// back end in any other region.
	SameRegion   int
	OtherRegions int
}

// NewConnectionShare divides the connections that a back end accepts among all nodes. nodesInRegion of them are in the
// back end's region, and no node gets more than maximum. If the division leaves each node hardly one connection, the
// nodes in the back end's region get more than an equal share: they send it nearly all of its requests, whereas nodes
// of other regions need it only occasionally.
func NewConnectionShare(connections, nodes, nodesInRegion, maximum int) ConnectionShare {
	each := min(max(connections/nodes, 1), maximum)
	if each >= ampleConnections {
		return ConnectionShare{SameRegion: each, OtherRegions: each}
	}
	inRegion := (connections - connections/otherRegionsDivisor) / max(nodesInRegion, 1)
	return ConnectionShare{SameRegion: min(max(inRegion, each), maximum), OtherRegions: each}
}

// SetConnectionShares sets, by service, the number of connections that this node may use at each back end.
func (s *Set) SetConnectionShares(shares map[string]ConnectionShare) {
	s.shares = shares
	s.selectSubsets()
}

// connectionShare returns the share of connections for a service. A service without a share of its own is limited by
// the settings.
func (s *Set) connectionShare(service string) ConnectionShare {
	if share, known := s.shares[service]; known {
		return share
	}
	return ConnectionShare{SameRegion: s.settings.Connections, OtherRegions: s.settings.Connections}
}

// connectionLimit returns the maximum number of attempts that this node may have in flight at a replica.
func (s *Set) connectionLimit(r *Replica) int {
	if s.inOwnRegion(r) {
		return s.connectionShare(r.Service).SameRegion
	}
	return s.connectionShare(r.Service).OtherRegions
}

// IdleLimit states which connections to a replica are kept for later requests.
type IdleLimit struct {
	// MaximumIdle is the number of connections that may be idle at the same time.
	MaximumIdle int
	// IdleTimeout is how long a connection may stay idle, in milliseconds; 0 leaves closing idle connections to the
	// back end.
	IdleTimeout clock.Ms
}

// IdleLimit returns the limit for idle connections to a replica. If the share of connections is not ample, one is kept,
// and at a replica in another region only for a short time: an idle connection takes the place of connections that
// other nodes need, and if this machine loses power the back end still counts it for seconds. Keeping none would make
// every hedge open a connection, which under load takes the slots that the hedge is meant to use.
func (s *Set) IdleLimit(r *Replica) IdleLimit {
	share := s.connectionShare(r.Service)
	switch {
	case share.OtherRegions >= ampleConnections || !s.settings.LimitIdle:
		return IdleLimit{MaximumIdle: share.SameRegion}
	case s.inOwnRegion(r):
		return IdleLimit{MaximumIdle: 1}
	}
	return IdleLimit{MaximumIdle: 1, IdleTimeout: otherRegionIdleTimeout}
}

// MustVerify reports whether a new connection to the replica must be verified before it carries a request, because the
// replica may be at its connection limit.
func (s *Set) MustVerify(now time.Duration, r *Replica) bool {
	return s.settings.VerifyConnections && (s.manyNodesStarting || now < r.verifyConnectionsUntil)
}

// SetManyNodesStarting sets whether many nodes have started recently. Back ends may then still count connections of the
// nodes' previous processes.
func (s *Set) SetManyNodesStarting(many bool) { s.manyNodesStarting = many }
