// Package admit decides which requests a node refuses on arrival, as not run, while back ends cannot answer all
// requests by the target latency. A request is always admitted if it was refused before or has waited elsewhere.
//
// The decision uses what the node's own recent requests over many shards were missing: how many shards had not
// answered at the target latency, and how many attempts full back ends refused. A node with one or two requests per
// second knows little about a single back end, but its requests to all back ends together show an overload within a
// second.
//
// The package owns a Controller. It relies on samples of requests and on random numbers from its caller. It does no
// I/O, takes no lock and reads no clock. All times are readings of the caller's clock.
package admit

import "stiletrail/internal/clock"

const (
	// sampleDecay is the time in which a sample loses two thirds of its weight. A node with two requests per second
	// then decides by its last few requests.
	sampleDecay = clock.Second
	// priorWeight is the weight, in requests, of an assumed history in which nothing was missing. It stands in for
	// requests before the first one.
	priorWeight = 0.5
	// minimumShedShare is the share of recent attempts that full back ends must have refused before requests are
	// turned away. Below it, shards are missing for other reasons, such as slow back ends, and fewer requests would
	// not help.
	minimumShedShare = 0.04
	// targetMissingShare is the mean share of the allowed missing shards that may be missing at the target latency.
	// At a share of 1, half of the requests are late.
	targetMissingShare = 0.5
	// maximumTurnedAwayShare is the largest share of requests that is turned away. The others show when back ends
	// have capacity again.
	maximumTurnedAwayShare = 0.7
	// waitedMargin is how much less time than other requests of its route a request must have left to count as one
	// that has waited elsewhere.
	waitedMargin = 200 * clock.Ms(1)
	// minimumRetryAfterShare and maximumRetryAfterShare bound the retry-after time, as a share of the caller's
	// timeout. Callers ignore retry-after times of more than a third of it. The time is drawn at random between the
	// two, so that requests turned away together do not return together.
	minimumRetryAfterShare = 0.15
	maximumRetryAfterShare = 0.32
)

// Sample is what one request over many shards was missing at its target latency, or when it was answered earlier.
type Sample struct {
	// Rank is the priority of the request; 0 is the highest.
	Rank int
	// Missing is the number of shards without an answer. AllowedMissing is how many shards the route lets an answer
	// lack.
	Missing, AllowedMissing int
	// ShedAttempts is the number of attempts that full back ends refused, out of Attempts.
	ShedAttempts, Attempts int
}

// Controller holds recent samples, weighted by their age. The zero value has none. It is not safe for concurrent use.
type Controller struct {
	samples history
	// ofRank has the samples of each rank, and demand is how many requests have arrived recently, by rank and tenant.
	ofRank map[int]*history
	demand demand
	// longestTimeout is the longest timeout that a caller gave, by route.
	longestTimeout map[string]clock.Ms
}

// Record adds a sample.
func (c *Controller) Record(now clock.Ms, sample Sample) {
	c.samples.record(now, sample)
	if c.ofRank == nil {
		c.ofRank = map[int]*history{}
	}
	if c.ofRank[sample.Rank] == nil {
		c.ofRank[sample.Rank] = &history{}
	}
	c.ofRank[sample.Rank].record(now, sample)
}

// OverloadLevel is what recent requests were missing, and the share of requests that is turned away because of it.
type OverloadLevel struct {
	// MissingShare is the number of shards missing at the target latency, as a share of those allowed to be missing;
	// it may exceed 1. ShedShare is the share of attempts that full back ends refused.
	MissingShare, ShedShare float64
	// TurnedAwayShare is the share of new requests that is turned away. In a Decision on a request with a Group it is the
	// share of the requests of its group.
	TurnedAwayShare float64
}

// OverloadLevel returns the present level over the samples of all ranks.
func (c *Controller) OverloadLevel(now clock.Ms) OverloadLevel { return c.samples.level(now) }

// Decision says whether a request is admitted.
type Decision struct {
	Admitted bool
	// RetryAfter is the time after which the caller of a refused request may retry.
	RetryAfter clock.Ms
	// Overload is the level that the decision was based on.
	Overload OverloadLevel
}

// Request is a request that has arrived.
type Request struct {
	// Route is the name of its route. CallerTimeout is how long its caller waits.
	Route         string
	CallerTimeout clock.Ms
	// Group says how urgent it is, and for whom it is sent. It is nil if all requests are equal.
	Group *Group
}

// Admit decides on a request. draw returns random numbers from 0 to 1. A request with much less time left than others of
// its route has been turned away or has waited before, and is always admitted.
func (c *Controller) Admit(now clock.Ms, request Request, draw func() float64) Decision {
	route, callerTimeout := request.Route, request.CallerTimeout
	if c.longestTimeout == nil {
		c.longestTimeout = map[string]clock.Ms{}
	}
	c.longestTimeout[route] = max(c.longestTimeout[route], callerTimeout)
	level := c.OverloadLevel(now)
	if request.Group != nil {
		c.demand.record(now, *request.Group)
		level.TurnedAwayShare = c.shareOf(now, *request.Group, level.TurnedAwayShare)
	}
	if callerTimeout < c.longestTimeout[route]-waitedMargin || draw() >= level.TurnedAwayShare {
		return Decision{Admitted: true, Overload: level}
	}
	share := minimumRetryAfterShare + (maximumRetryAfterShare-minimumRetryAfterShare)*draw()
	return Decision{RetryAfter: clock.Ms(share * float64(callerTimeout)), Overload: level}
}

// Retain drops the state of routes that are no longer served.
func (c *Controller) Retain(served func(route string) bool) {
	for route := range c.longestTimeout {
		if !served(route) {
			delete(c.longestTimeout, route)
		}
	}
}
