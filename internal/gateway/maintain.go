package gateway

import (
	"context"
	"time"

	"stiletrail/internal/replica"
)

const (
	// maintenanceInterval is how often what is over is looked through, and pruneEvery so many times idle connections.
	maintenanceInterval = 200 * time.Millisecond
	pruneEveryRounds    = 5
)

// maintain ends doubts and idle connections that are over, and notices suspensions of the machine, until the context ends.
func (g *Gateway) maintain(ctx context.Context) {
	for round := 1; ctx.Err() == nil; round++ {
		pause(ctx, maintenanceInterval)
		if length := g.suspensions.notice(g.clock.Suspended()); length > 0 {
			g.log.MachineSuspended(length)
		}
		g.expireDoubtful()
		if round%pruneEveryRounds == 0 {
			g.prune()
		}
	}
}

// expireDoubtful ends doubts whose time is over: vanished back ends go, those that a restored store named again and zones of which it
// says nothing come back.
func (g *Gateway) expireDoubtful() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.storeCopy.logStaleness(g.now())
	for _, id := range g.replicas.ExpireDoubtful(g.now()) {
		g.log.BackEndVanished(id, true)
	}
	for _, entry := range g.replicas.ReadmitDeparted(g.now()) {
		g.log.BackEndUpdated(entry, g.storeCopy.records.Revision())
	}
	g.endEvacuationsDue(g.now())
}

// prune closes idle connections that have rested long enough or that nobody will use.
func (g *Gateway) prune() {
	endpoints := map[replica.Endpoint]bool{}
	g.mu.Lock()
	g.replicas.ForEach(func(known *replica.Replica) { endpoints[known.Endpoint()] = !known.Draining })
	g.mu.Unlock()
	g.backEnds.Prune(func(e replica.Endpoint) bool { return endpoints[e] })
}
