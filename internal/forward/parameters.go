package forward

import (
	"time"

	"stiletrail/internal/routing"
)

// Parameters of a request.
type Parameters struct {
	Route *routing.Route
	// Service a request to a single back end goes to.
	Service string
	// ArrivedAt is when the request came, zero if it starts as it comes. Target and timeout count from then.
	ArrivedAt time.Duration
	// Deadline is when the caller stops waiting, zero if it did not say.
	Deadline time.Duration
	// Versions of software that may get the request, if any are named.
	Versions []string
	// FirstTrialShard is the shard from which on one is looked for that a trial goes to. It differs among requests, so that trials
	// that end back ends do not end all of one shard: a request over ten shards may lack one.
	FirstTrialShard int
	// Retrial: the request is under quarantine, and one back end may get it.
	Retrial bool
}

// Services are those that a request asks, one a shard.
func (p Parameters) Services() []string {
	if p.Route.FansOut() {
		return p.Route.Shards
	}
	return []string{p.Service}
}
