package replica

import (
	"time"

	"stiletrail/internal/clock"
)

const (
	// ampleConnections of a back end's connections for each node leaves some to keep anywhere for the next request.
	ampleConnections = 2
	// otherRegionsDivisor of a back end's connections, one in so many, is left to nodes of other regions where there is no ample share.
	otherRegionsDivisor = 8
	// otherRegionIdleTimeout is how long a connection to a far replica is idle where the share is not ample.
	otherRegionIdleTimeout = clock.Second
	// verifyConnectionsFor is how long new connections must prove themselves after one was turned away: back ends
	// count those of lives that ended for some seconds.
	verifyConnectionsFor = 4 * time.Second
)

// ConnectionShare is what one node may have of the connections of each back end of a service.
type ConnectionShare struct {
	// SameRegion and Far bound the attempts under way at a back end in the own region and at one elsewhere.
	SameRegion   int
	OtherRegions int
}

// NewConnectionShare divides the connections that a back end accepts among nodes, so many of them in its own region; no
// node gets more than most. Where that leaves hardly one for each, those of its own region, which send it nearly all
// its requests, get what the others need only now and then.
func NewConnectionShare(connections, nodes, nearNodes, most int) ConnectionShare {
	each := min(max(connections/nodes, 1), most)
	if each >= ampleConnections {
		return ConnectionShare{SameRegion: each, OtherRegions: each}
	}
	near := (connections - connections/otherRegionsDivisor) / max(nearNodes, 1)
	return ConnectionShare{SameRegion: min(max(near, each), most), OtherRegions: each}
}

// SetConnectionShares sets what this node may have of the connections, by service.
func (s *Set) SetConnectionShares(shares map[string]ConnectionShare) {
	s.shares = shares
	s.selectSubsets()
}

// connectionShare of a service; without one the settings bound all.
func (s *Set) connectionShare(service string) ConnectionShare {
	if share, known := s.shares[service]; known {
		return share
	}
	return ConnectionShare{SameRegion: s.settings.Connections, OtherRegions: s.settings.Connections}
}

// connectionLimit bounds the attempts under way at a replica.
func (s *Set) connectionLimit(r *Replica) int {
	if s.inOwnRegion(r) {
		return s.connectionShare(r.Service).SameRegion
	}
	return s.connectionShare(r.Service).OtherRegions
}

// IdleLimit says which connections to a replica are worth keeping for later requests.
type IdleLimit struct {
	// MaximumIdle connections are idle at a time.
	MaximumIdle int
	// IdleTimeout is how long one is idle at most; 0 leaves that to the back end.
	IdleTimeout clock.Ms
}

// IdleLimit of connections to a replica. Where the share is not ample, one is kept, and at a far replica only for a
// while: an idle one takes the place of connections that other nodes need, and after a loss of power the back end
// counts it on for seconds. None at all would have each hedge open one, which under load takes the slots that the hedge
// is for.
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

// MustVerify reports whether a new connection to the replica must prove itself before it is used, since the replica may
// be at the limit of the connections that it takes.
func (s *Set) MustVerify(now time.Duration, r *Replica) bool {
	return s.settings.VerifyConnections && (s.manyNodesStarting || now < r.verifyConnectionsUntil)
}

// SetManyNodesStarting says whether back ends may still count connections of earlier lives of many nodes.
func (s *Set) SetManyNodesStarting(many bool) { s.manyNodesStarting = many }
