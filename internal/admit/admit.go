// Package admit decides which requests a node turns away at once, while back ends cannot answer all that they are asked by the target.
//
// It goes by what the node's own requests over many shards met of late: how many parts they lacked at their target, and how many of their
// attempts were shed by full back ends. Of one back end a node with a request or two a second knows little; of all of them together its requests
// tell within a second. The package does no I/O and reads no clock; times are of the caller's monotonic clock.
package admit

import (
	"math"
	"time"

	"stiletrail/internal/clock"
)

const (
	// memory is the time in which what was met loses two thirds of its weight: a few requests of a node that gets two a second.
	memory = clock.Second
	// calmWeight stands for requests before the first, which met no trouble.
	calmWeight = 0.5
	// shedShare of the attempts of late must have been refused by full back ends; below it parts lack for other reasons, such as back ends that
	// are slow, which fewer requests would not mend. Measured: about 0.01 with slow back ends, 0.15 in a burst beyond the slots.
	shedShare = 0.04
	// wantedLack is which part of the shards that may lack shall lack at the target in the mean. At one part half of the requests are late.
	wantedLack = 0.5
	// mostTurnedAway leaves enough requests to see when there is room again.
	mostTurnedAway = 0.7
	// returning: a request that has so much less time than others of its route has waited elsewhere before.
	returning = 200 * clock.Ms(1)
	// comeBackFrom and comeBackTo bound the part of its time after which a caller may come back. Callers heed no more than a third, and those turned
	// away together shall not come back together.
	comeBackFrom = 0.15
	comeBackTo   = 0.32
)

// Sample is what one request over many shards met by its target.
type Sample struct {
	// Lacking shards at the target, of those that the route lets lack.
	Lacking, MayLack int
	// Shed attempts, refused by full back ends, of all attempts.
	Shed, Attempts int
}

// Gate holds what requests met of late. The zero value has met nothing. It is not safe for concurrent use.
type Gate struct {
	lack, shed, weight float64
	at                 time.Duration
	// longest time that callers of a route gave, by route.
	longest map[string]clock.Ms
}

// Note takes in what a request met.
func (g *Gate) Note(now time.Duration, sample Sample) {
	g.age(now)
	g.lack += float64(sample.Lacking) / float64(max(sample.MayLack, 1))
	g.shed += float64(sample.Shed) / float64(max(sample.Attempts, 1))
	g.weight++
}

// Level is what requests met of late, and what follows from it.
type Level struct {
	// Lacking shards at the target, as a share of those that may lack, and Shed attempts, as a share of all.
	Lacking, Shed float64
	// TurnedAway is the share of fresh requests that is turned away.
	TurnedAway float64
}

// Level returns what it is now.
func (g *Gate) Level(now time.Duration) Level {
	g.age(now)
	weight := g.weight + calmWeight
	level := Level{Lacking: g.lack / weight, Shed: g.shed / weight}
	if level.Shed >= shedShare && level.Lacking > wantedLack {
		level.TurnedAway = min(1-wantedLack/level.Lacking, mostTurnedAway)
	}
	return level
}

// Decision on a request.
type Decision struct {
	Admitted bool
	// ComeBack is after what time a request that is not admitted may come back.
	ComeBack clock.Ms
	// Level by which it was decided.
	Level Level
}

// Admit decides on a request of a route whose caller waits for so long. Draw returns random numbers from 0 to 1. One that has been turned away or
// has waited before is always admitted.
func (g *Gate) Admit(now time.Duration, route string, patience clock.Ms, draw func() float64) Decision {
	if g.longest == nil {
		g.longest = map[string]clock.Ms{}
	}
	g.longest[route] = max(g.longest[route], patience)
	level := g.Level(now)
	if patience < g.longest[route]-returning || draw() >= level.TurnedAway {
		return Decision{Admitted: true, Level: level}
	}
	share := comeBackFrom + (comeBackTo-comeBackFrom)*draw()
	return Decision{ComeBack: clock.Ms(share * float64(patience)), Level: level}
}

// Retain forgets routes that are not served any more.
func (g *Gate) Retain(served func(route string) bool) {
	for route := range g.longest {
		if !served(route) {
			delete(g.longest, route)
		}
	}
}

func (g *Gate) age(now time.Duration) {
	kept := math.Exp(-float64(now-g.at) / float64(memory.Duration()))
	g.lack *= kept
	g.shed *= kept
	g.weight *= kept
	g.at = now
}
