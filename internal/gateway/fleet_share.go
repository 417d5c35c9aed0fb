package gateway

import (
	"slices"

	"stiletrail/internal/replica"
	"stiletrail/internal/routing"
)

// usableSlackFraction of the retry slack is used; the rest is left for nodes that others do not know yet.
const usableSlackFraction = 0.9

// divideAmongNodes divides what the nodes have in common among those known: the calls to the store, what cold back ends bear,
// and the connections of each back end.
func (g *Gateway) divideAmongNodes() {
	table := g.table.Load()
	if g.fleet.members == nil || table == nil {
		return
	}
	g.assignWatching()
	g.divideColdBackEnds()
	g.divideConnections(table)
}

// assignWatching decides anew who watches the store, and has the watchers do so one after the other: a change that the watches of
// all have missed is found soon, and told.
func (g *Gateway) assignWatching() {
	if g.fleet.nodeCount == 0 {
		g.fleet.watch = watchAssignment{}
		return
	}
	settings := g.settings.Load().Fleet
	g.fleet.watch = assignWatch(&g.fleet, settings.Watchers)
	if !settings.WatchersTakeTurns || !settings.PeerCopies {
		g.storeCopy.reader.SetPollSchedule(0, 0)
		return
	}
	g.storeCopy.reader.SetPollSchedule(g.fleet.watch.phase(g.storeCopy.propagation.AnnounceInterval))
}

// divideColdBackEnds has the nodes known divide what cold back ends bear. While this node has not joined the others it has no
// part.
func (g *Gateway) divideColdBackEnds() {
	var nodes []string
	if g.fleet.nodeCount > 0 {
		for _, member := range g.fleet.members.Members() {
			nodes = append(nodes, member.Address)
		}
	}
	slices.Sort(nodes)
	g.replicas.SetNodes(g.fleet.members.Self().Address, nodes)
}

// divideConnections divides the connections of each back end. A node that has not joined the others yet goes by those it has
// heard of so far, and by the settings. Where many nodes have just started a part of the connections is shared.
func (g *Gateway) divideConnections(table *routing.Table) {
	settings := g.settings.Load()
	members := g.fleet.members.Members()
	nodes, most := g.fleet.nodeCount, settings.Fleet.MaximumConnections
	if nodes == 0 {
		nodes, most = len(members), settings.Replica.Connections
	}
	near := 0
	for _, member := range members {
		if member.Region == g.fleet.members.Self().Region {
			near++
		}
	}
	manyStarting := g.fleet.manyNodesStarting(g.now())
	g.replicas.SetManyNodesStarting(manyStarting)
	part := 1
	if manyStarting {
		part = settings.Fleet.StartupConnectionDivisor
	}
	if !settings.Fleet.ShareConnections {
		return
	}
	shares := map[string]replica.ConnectionShare{}
	for _, service := range table.Services() {
		if service.MaximumConnections > 0 {
			shares[service.Name] = replica.NewConnectionShare(service.MaximumConnections/part, nodes, near, most)
		}
	}
	g.replicas.SetConnectionShares(shares)
}

// retrySlack is this node's part of the extra attempts allowed beyond the share. In the first window of a life it has none: an
// earlier life may have spent its part within the same window.
func (g *Gateway) retrySlack() float64 {
	settings := g.settings.Load().Retries
	if g.fleet.nodeCount == 0 || g.now() < settings.Window {
		return 0
	}
	return usableSlackFraction * settings.FleetSlack / float64(g.fleet.nodeCount)
}
