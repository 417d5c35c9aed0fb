package replica

// Settings of the choice of replicas. Prices are shares of the request's target latency.
type Settings struct {
	// Connections is the largest number of attempts this node has under way at one back end.
	Connections int
	// OtherRegionPenalty is what a replica of another region is expected to cost beyond its latency, so that requests stay near
	// unless the near replicas are worse by that much.
	OtherRegionPenalty float64
	// FaultPenalty is what an attempt that fails costs.
	FaultPenalty float64
	// UseSlowdown multiplies the latency that is expected by the slowdown that the replica, or another node, tells.
	UseSlowdown bool
	// SubsetSize is how many near replicas of a service are preferred where its share of their connections is not
	// ample; 0 prefers none.
	SubsetSize int
	// LimitIdle lets only one connection be idle there.
	LimitIdle bool
	// Ejection makes failing replicas a last choice for a while.
	Ejection bool
	// CancelledFactor times its age is taken for the latency of an attempt that was withdrawn without an answer.
	CancelledFactor float64
	// VerifyConnections has new connections prove themselves to a replica that may be at its limit of connections.
	VerifyConnections bool
}

// Topology tells how far a back end is.
type Topology struct {
	// Node is the name of this node.
	Node string
	Zone string
	// Regions gives the region of each zone.
	Regions map[string]string
}

// KnowsRegion reports whether a zone of a region is known.
func (p Topology) KnowsRegion(name string) bool {
	for _, region := range p.Regions {
		if region == name {
			return true
		}
	}
	return false
}
