package gateway

import (
	"context"
	"time"

	"stiletrail/internal/routing"
)

// How a request is held that comes before the node knows enough to serve it.
const (
	// maximumHoldFraction of the time that the caller has is waited at most, so that enough is left for serving it, or for another try
	// elsewhere.
	maximumHoldFraction = 0.4
	// maximumStartTime is how long after its start a node expects the store to answer at any moment. A store that is silent for
	// longer is down, and a caller that is told to come back early may find a node that learned its state from others.
	maximumStartTime = 3 * time.Second
	// holdPollInterval is the pause between looks at the back ends known.
	holdPollInterval = 20 * time.Millisecond
)

// holdUntil is the moment until which a request that came at another may wait for what the node does not know yet.
func (g *Gateway) holdUntil(call *Call, arrived time.Duration) time.Duration {
	hold := g.settings.Load().StartingHold
	if !call.Deadline.IsZero() {
		left := call.Deadline.Sub(g.wallTime(arrived))
		hold = min(hold, time.Duration(maximumHoldFraction*float64(left)))
	}
	return arrived + hold
}

// awaitFirstListing has a request that came while the node starts wait until it knows the configuration and what back
// ends the store knows.
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

// awaitBackEnds has a request wait for back ends of its shards to appear. Entries that lapsed together, with the store's
// outage or a loss of power, come back one by one; a node that starts then is the only one that has not known them
// before.
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

// backEndsMayReturn reports whether the first listing is so young that it may lack back ends that live.
func (g *Gateway) backEndsMayReturn() bool {
	listedAt := time.Duration(g.firstListing.readAt.Load())
	return listedAt > 0 && g.now() < listedAt+g.settings.Load().StartingHold
}

// enoughBackEndsKnown reports whether so many shards of a route have a back end that it can be answered.
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

// requestStoreRead has the next reading of the store come early.
func (g *Gateway) requestStoreRead() {
	select {
	case g.storeReadWanted <- struct{}{}:
	default:
	}
}
