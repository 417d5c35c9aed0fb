package gateway

import (
	"context"
	"time"

	"stiletrail/internal/routing"
)

// Limits on how long a request is held that arrives before the node knows enough to serve it.
const (
	// maximumHoldFraction is the largest part of the caller's time for which a request is held. The rest is left for
	// serving it, or for the caller's next try at another node.
	maximumHoldFraction = 0.4
	// maximumStartTime is how long after its start a node expects the first answer of the store. A store that is silent
	// for longer is down. A caller that is then refused and retries early may reach a node that learned the state of
	// the store from its peers.
	maximumStartTime = 3 * time.Second
	// holdPollInterval is the pause between two checks for known back ends.
	holdPollInterval = 20 * time.Millisecond
)

// holdUntil returns the moment until which a request that arrived at the given moment may be held.
func (g *Gateway) holdUntil(call *Call, arrived time.Duration) time.Duration {
	hold := g.settings.Load().StartingHold
	if !call.Deadline.IsZero() {
		remaining := call.Deadline.Sub(g.wallTime(arrived))
		hold = min(hold, time.Duration(maximumHoldFraction*float64(remaining)))
	}
	return arrived + hold
}

// awaitFirstListing holds a request that arrived while the node starts, until the node has read the configuration and the
// back ends from the store.
func (g *Gateway) awaitFirstListing(ctx context.Context, until time.Duration) {
	timer := time.NewTimer(min(until, maximumStartTime) - g.now())
	defer timer.Stop()
	select {
	case <-g.firstListing.complete:
	case <-timer.C:
	case <-g.finishNow:
	case <-ctx.Done():
	}
}

// awaitBackEnds holds a request until back ends of its shards are known. After an outage of the store or a power failure,
// the entries of many back ends have expired together and return one by one. A node that starts then has not known these
// back ends before, unlike the nodes that were running.
func (g *Gateway) awaitBackEnds(ctx context.Context, route *routing.Route, until time.Duration) {
	ticker := time.NewTicker(holdPollInterval)
	defer ticker.Stop()
	for g.backEndsMayReturn() && g.now() < until && !g.enoughBackEndsKnown(route) {
		g.requestStoreRead()
		select {
		case <-ticker.C:
		case <-g.finishNow:
			return
		case <-ctx.Done():
			return
		}
	}
}

// backEndsMayReturn reports whether the first listing is so recent that it may lack back ends that are running.
func (g *Gateway) backEndsMayReturn() bool {
	listedAt := time.Duration(g.firstListing.readAt.Load())
	return listedAt > 0 && g.now() < listedAt+g.settings.Load().StartingHold
}

// enoughBackEndsKnown reports whether enough shards of a route have a back end for the route to be answered.
func (g *Gateway) enoughBackEndsKnown(route *routing.Route) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !route.FansOut() {
		for _, target := range route.Targets {
			if g.replicas.HasCandidate(target.Service, route.Regions) {
				return true
			}
		}
		return false
	}
	known := 0
	for _, service := range route.Shards {
		if g.replicas.HasCandidate(service, route.Regions) {
			known++
		}
	}
	return known >= route.RequiredShards()
}

// requestStoreRead makes the next reading of the store start early.
func (g *Gateway) requestStoreRead() {
	select {
	case g.storeReadWanted <- struct{}{}:
	default:
	}
}
