// Package admit decides which requests a node turns away at once, as not run, while back ends cannot answer all that they
// are asked by the target. Who has been turned away, or has waited elsewhere, is admitted.
//
// It goes by what the node's own requests over many shards lacked of late: how many parts at their target, and how many
// of their attempts were shed by full back ends. Of one back end a node with a request or two a second knows little; of
// all of them together its requests tell within a second.
//
// It owns a Gate, and relies on samples of requests and on random numbers, which its caller gives. It does no I/O, takes
// no lock and reads no clock; moments are on the caller's clock.
package admit

import (
	"math"

	"stiletrail/internal/clock"
)

const (
	// memory is the time in which a sample loses two thirds of its weight: a few requests of a node that gets two a second.
	memory = clock.Second
	// calmWeight stands for requests before the first, which lacked nothing.
	calmWeight = 0.5
	// shedShare of the attempts of late must have been refused by full back ends; below it parts lack for other reasons,
	// such as back ends that are slow, which fewer requests would not mend.
	shedShare = 0.04
	// wantedLack is which part of the shards that may lack shall lack at the target in the mean. At one part half of the
	// requests are late.
	wantedLack = 0.5
	// mostTurnedAway is the largest share of requests that is turned away: the others show when there is room again.
	mostTurnedAway = 0.7
	// returning: a request that has so much less time than others of its route has waited elsewhere before.
	returning = 200 * clock.Ms(1)
	// retryAfterFrom and retryAfterTo bound the share of the caller's time after which it may come back: callers heed no
	// more than a third, and those turned away together shall not come back together.
	retryAfterFrom = 0.15
	retryAfterTo   = 0.32
)

// Sample is what one request over many shards lacked at its target, or when it was answered before.
type Sample struct {
	// Missing shards at the target, of those that the route lets lack.
	Missing, AllowedMissing int
	// ShedAttempts attempts, refused by full back ends, of all attempts.
	ShedAttempts, Attempts int
}

// Controller holds the samples of late, weighted by their age. The zero value has none. It is not safe for concurrent use.
type Controller struct {
	lack, shed, weight float64
	at                 clock.Ms
	// longest time that callers of a route gave, by route.
	longest map[string]clock.Ms
}

// Record takes in a sample.
func (g *Controller) Record(now clock.Ms, sample Sample) {
	g.age(now)
	g.lack += float64(sample.Missing) / float64(max(sample.AllowedMissing, 1))
	g.shed += float64(sample.ShedAttempts) / float64(max(sample.Attempts, 1))
	g.weight++
}

// OverloadLevel is what requests lacked of late, and what follows from it.
type OverloadLevel struct {
	// MissingShare shards at the target, as a share of those that may lack, and ShedShare attempts, as a share of all.
	MissingShare, ShedShare float64
	// TurnedAwayShare is the share of fresh requests that is turned away.
	TurnedAwayShare float64
}

// OverloadLevel returns what it is now.
func (g *Controller) OverloadLevel(now clock.Ms) OverloadLevel {
	g.age(now)
	weight := g.weight + calmWeight
	level := OverloadLevel{MissingShare: g.lack / weight, ShedShare: g.shed / weight}
	if level.ShedShare >= shedShare && level.MissingShare > wantedLack {
		level.TurnedAwayShare = min(1-wantedLack/level.MissingShare, mostTurnedAway)
	}
	return level
}

// Decision on a request.
type Decision struct {
	Admitted bool
	// RetryAfter is after what time a request that is not admitted may come back.
	RetryAfter clock.Ms
	// Overload by which it was decided.
	Overload OverloadLevel
}

// Admit decides on a request of a route whose caller waits for so long. Draw returns random numbers from 0 to 1. One that
// has been turned away or has waited before is always admitted.
func (g *Controller) Admit(now clock.Ms, route string, patience clock.Ms, draw func() float64) Decision {
	if g.longest == nil {
		g.longest = map[string]clock.Ms{}
	}
	g.longest[route] = max(g.longest[route], patience)
	level := g.OverloadLevel(now)
	if patience < g.longest[route]-returning || draw() >= level.TurnedAwayShare {
		return Decision{Admitted: true, Overload: level}
	}
	share := retryAfterFrom + (retryAfterTo-retryAfterFrom)*draw()
	return Decision{RetryAfter: clock.Ms(share * float64(patience)), Overload: level}
}

// Retain forgets routes that are not served any more.
func (g *Controller) Retain(served func(route string) bool) {
	for route := range g.longest {
		if !served(route) {
			delete(g.longest, route)
		}
	}
}

// age weighs the samples down by the time since it was done last.
func (g *Controller) age(now clock.Ms) {
	kept := math.Exp(-float64(now-g.at) / float64(memory))
	g.lack *= kept
	g.shed *= kept
	g.weight *= kept
	g.at = now
}
