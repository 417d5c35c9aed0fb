package gateway

import (
	"slices"

	"stiletrail/internal/replica"
	"stiletrail/internal/routing"
)

// usableSlackFraction is the part of the retry slack that the known nodes divide. The rest is left for nodes that others
// do not know yet.
const usableSlackFraction = 0.9

// divideAmongNodes divides shared limits among the known nodes: the calls to the store, the load on cold back ends, and
// the connections of each back end. A node without peers has the whole load on cold back ends for itself.
func (g *Gateway) divideAmongNodes() {
	table := g.table.Load()
	if table == nil {
		return
	}
	if g.fleet.members == nil {
		node := g.settings.Load().Topology.Node
		g.replicas.SetNodes(node, []string{node})
		return
	}
	g.assignWatching()
	g.divideColdBackEnds()
	g.divideConnections(table)
}

// assignWatching decides again which nodes watch the store, and makes the watchers poll it one after the other. A change
// that the watches of all of them have missed is then found soon by a poll, and announced.
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

// divideColdBackEnds divides the load on cold back ends among the known nodes. A node that has not joined the others gets
// no part of it.
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

// divideConnections divides the connections of each back end. A node that has not joined the others yet divides by the
// nodes that it has heard of so far, and uses no more connections than its settings say. While many nodes have just
// started, only a part of the connections is divided.
func (g *Gateway) divideConnections(table *routing.Table) {
	settings := g.settings.Load()
	members := g.fleet.members.Members()
	nodes, maximum := g.fleet.nodeCount, settings.Fleet.MaximumConnections
	if nodes == 0 {
		nodes, maximum = len(members), settings.Replica.Connections
	}
	sameRegion := 0
	for _, member := range members {
		if member.Region == g.fleet.members.Self().Region {
			sameRegion++
		}
	}
	manyStarting := g.fleet.manyNodesStarting(g.now())
	g.replicas.SetManyNodesStarting(manyStarting)
	divisor := 1
	if manyStarting {
		divisor = settings.Fleet.StartupConnectionDivisor
	}
	if !settings.Fleet.ShareConnections {
		return
	}
	shares := map[string]replica.ConnectionShare{}
	for _, service := range table.Services() {
		if service.MaximumConnections > 0 {
			shares[service.Name] = replica.NewConnectionShare(service.MaximumConnections/divisor, nodes, sameRegion, maximum)
		}
	}
	g.replicas.SetConnectionShares(shares)
}

// retrySlack returns this node's part of the extra attempts that are allowed beyond the share. It is 0 in the first window
// after a start, since the previous process may have spent its part within the same window.
func (g *Gateway) retrySlack() float64 {
	settings := g.settings.Load().Retries
	if g.fleet.nodeCount == 0 || g.now() < settings.Window {
		return 0
	}
	return usableSlackFraction * settings.FleetSlack / float64(g.fleet.nodeCount)
}
