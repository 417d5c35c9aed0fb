package replica

import "stiletrail/internal/clock"

// Share is what one node may have of the connections of each back end of a service.
type Share struct {
	// Near and Far bound the attempts under way at a back end in the own region and at one elsewhere.
	Near int
	Far  int
}

const (
	// ampleShare of a back end's connections for each node leaves some to keep anywhere for the next request.
	ampleShare = 2
	// farPart of a back end's connections is left to nodes of other regions where there is no ample share.
	farPart = 8
	// farRest is how long a connection to a far replica rests where the share is not ample.
	farRest = clock.Second
)

// NewShare divides the connections that a back end accepts among nodes, so many of them in its own region. Where that leaves hardly
// one for each, those of its own region, which send it nearly all its requests, get what the others need only now and then.
func NewShare(connections, nodes, nearNodes, most int) Share {
	each := min(max(connections/nodes, 1), most)
	if each >= ampleShare {
		return Share{Near: each, Far: each}
	}
	near := (connections - connections/farPart) / max(nearNodes, 1)
	return Share{Near: min(max(near, each), most), Far: each}
}

// SetShares sets what this node may have of the connections, by service.
func (s *Set) SetShares(shares map[string]Share) {
	s.shares = shares
	s.preferSubsets()
}

// share of a service; without one the settings bound all.
func (s *Set) share(service string) Share {
	if share, known := s.shares[service]; known {
		return share
	}
	return Share{Near: s.settings.Connections, Far: s.settings.Connections}
}

// connectionsTo bounds the attempts under way at a replica.
func (s *Set) connectionsTo(r *Replica) int {
	if s.near(r) {
		return s.share(r.Service).Near
	}
	return s.share(r.Service).Far
}

// Rest says which connections to a replica are worth keeping for later requests.
type Rest struct {
	// Most connections rest at a time.
	Most int
	// For is how long one rests at most; 0 leaves that to the back end.
	For clock.Ms
}

// Rest of connections to a replica. Where the share is not ample, one rests, and at a far replica only for a while: what rests takes the
// place of connections that other nodes need, and after a loss of power the back end counts it on for seconds. None at all would
// have each hedge open one, which under load takes the slots that the hedge is for.
func (s *Set) Rest(r *Replica) Rest {
	share := s.share(r.Service)
	switch {
	case share.Far >= ampleShare || !s.settings.FewRest:
		return Rest{Most: share.Near}
	case s.near(r):
		return Rest{Most: 1}
	}
	return Rest{Most: 1, For: farRest}
}
