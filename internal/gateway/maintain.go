package gateway

import (
	"context"
	"time"

	"stiletrail/internal/replica"
)

const (
	// maintenanceInterval is the pause between two rounds of maintenance. Idle connections are pruned every pruneEveryRounds
	// rounds.
	maintenanceInterval = 200 * time.Millisecond
	pruneEveryRounds    = 5
)

// maintain ends doubtful states that are over, prunes idle connections and detects suspensions of the machine, until the
// context ends.
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

// expireDoubtful ends the doubtful states whose time has passed. Doubtful back ends are removed. Back ends that a
// restored store lists again are used again, and so are zones whose evacuation a restored store does not list.
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

// prune closes connections that have been idle for long enough, and those that no request will use any more.
func (g *Gateway) prune() {
	endpoints := map[replica.Endpoint]bool{}
	g.mu.Lock()
	g.replicas.ForEach(func(known *replica.Replica) { endpoints[known.Endpoint()] = !known.Draining })
	g.mu.Unlock()
	g.backEnds.Prune(func(e replica.Endpoint) bool { return endpoints[e] })
}
