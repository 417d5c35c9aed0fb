package forward

import (
	"time"

	"stiletrail/internal/routing"
)

// Parameters describe one request.
type Parameters struct {
	Route *routing.Route
	// Service is the one that a request to a single back end goes to.
	Service string
	// ArrivedAt is when the request arrived; target latency and timeout count from then. Zero stands for the time of
	// Start.
	ArrivedAt time.Duration
	// Deadline is when the caller stops waiting; zero if the caller did not say.
	Deadline time.Duration
	// Versions are the software versions of the back ends that may get the request. Empty allows every version.
	Versions []string
	// FirstTrialShard is the index of the shard at which the search for a held shard to try begins. It differs
	// between requests: if the trials of all requests began at the same shard, the back ends that they crash would
	// all belong to that shard. A request over ten shards may do without one of them.
	FirstTrialShard int
	// Priority is the rank of the request among those that compete for the same back ends; 0 is the highest.
	Priority int
	// Prioritized is set if the node decides whose turn it is when back ends have capacity again. Otherwise each request
	// that waits for capacity polls for it.
	Prioritized bool
	// Retrial marks a request under quarantine that may be sent to one back end.
	Retrial bool
}

// Services returns the services that the request asks, one for each shard.
func (p Parameters) Services() []string {
	if p.Route.FansOut() {
		return p.Route.Shards
	}
	return []string{p.Service}
}
