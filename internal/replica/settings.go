package replica

// Settings configures how replicas are picked. Penalties are fractions of the request's target latency.
type Settings struct {
	// Connections is the maximum number of attempts that this node has in flight at one back end, for services without
	// a connection share.
	Connections int
	// OtherRegionPenalty is added to the expected latency of a replica in another region. Requests stay in the own
	// region unless its replicas are slower by that much.
	OtherRegionPenalty float64
	// FaultPenalty is the cost of an attempt that fails.
	FaultPenalty float64
	// UseSlowdown multiplies the expected latency by the slowdown that the replica, or another node, reports.
	UseSlowdown bool
	// SubsetSize is the number of replicas in the own region that a node prefers for a service whose share of
	// connections is not ample; 0 prefers none.
	SubsetSize int
	// LimitIdle keeps at most one idle connection to a replica whose share of connections is not ample.
	LimitIdle bool
	// Ejection makes a failing replica a last resort for a limited time.
	Ejection bool
	// CancelledFactor estimates the latency of an attempt that was cancelled before an answer came: its age times this
	// factor.
	CancelledFactor float64
	// VerifyConnections makes the node verify new connections to a replica that may be at its connection limit.
	VerifyConnections bool
}

// Topology locates this node and the zones of the back ends. It tells whether a back end is in the node's zone, in its
// region or in another region.
type Topology struct {
	// Node is the name of this node.
	Node string
	Zone string
	// Regions gives the region of each zone.
	Regions map[string]string
}

// KnowsRegion reports whether any known zone belongs to the region.
func (t Topology) KnowsRegion(name string) bool {
	for _, region := range t.Regions {
		if region == name {
			return true
		}
	}
	return false
}
