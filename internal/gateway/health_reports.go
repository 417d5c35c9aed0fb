package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"stiletrail/internal/clock"
	"stiletrail/internal/healthreport"
	"stiletrail/internal/message"
	"stiletrail/internal/replica"
)

// reportInterval is the least time between two messages of a node. The first report is sent at once, and those that follow
// within the interval are collected into one message. In a large fleet this interval is what limits the traffic.
const reportInterval = 150 * clock.Ms(1)

// Receivers of a node's reports: successorReceivers is the number of nodes that follow it in the sorted order of its
// region, fixedReceivers of other nodes of its region, and otherRegionReceivers of nodes of other regions.
const (
	successorReceivers   = 1
	fixedReceivers       = 2
	otherRegionReceivers = 1
)

// healthReports holds the reports on back ends that this node sends to others. Gateway.mu guards it, except the channel.
type healthReports struct {
	core *healthreport.Core
	// pending is signalled when there is something to report.
	pending chan struct{}
	// receivers are the nodes that get the reports. They were chosen for the version receiversVersion of the member list.
	receivers        []string
	receiversVersion uint64
}

func newHealthReports() healthReports {
	return healthReports{core: healthreport.New(), pending: make(chan struct{}, 1)}
}

func (h *healthReports) signal() {
	select {
	case h.pending <- struct{}{}:
	default:
	}
}

// receiversIn returns the nodes that get the reports. They change only when the members do, because each connection
// to another node takes memory at both ends.
func (h *healthReports) receiversIn(f *fleet) []string {
	if version := f.members.Version(); h.receivers == nil || h.receiversVersion != version {
		h.receivers, h.receiversVersion = chooseReceivers(f), version
	}
	return h.receivers
}

// chooseReceivers returns the next node in the sorted order of the region, so that every node there gets reports, some
// other nodes of the region, which differ from node to node so that reports reach all in few hops, and one node of
// another region.
func chooseReceivers(f *fleet) []string {
	self := f.members.Self().Address
	sameRegion, otherRegions := f.usableAddresses()
	sameRegion = slices.DeleteFunc(sameRegion, func(address string) bool { return address == self })
	chosen := successors(slices.Concat(sameRegion, []string{self}), self, successorReceivers)
	rank := func(address string) uint64 { return xxhash.Sum64String(self + "/" + address) }
	for _, candidates := range [][]string{sameRegion, otherRegions} {
		slices.SortFunc(candidates, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	}
	for _, address := range sameRegion[:min(len(sameRegion), fixedReceivers)] {
		if !slices.Contains(chosen, address) {
			chosen = append(chosen, address)
		}
	}
	return append(chosen, otherRegions[:min(len(otherRegions), otherRegionReceivers)]...)
}

// reportHealth reports a back end that has become slow or faulty, or has recovered, to other nodes. A cancelled attempt is
// no reason for a report, since its back end may only have paused for a moment.
func (g *Gateway) reportHealth(now time.Duration, r *replica.Replica) {
	if g.fleet.members == nil || !g.settings.Load().Fleet.HealthReports {
		return
	}
	slowdown, faults := r.Health(now)
	report := healthreport.Report{BackEnd: r.Key(), Slowdown: slowdown, FaultRate: faults, ObservedAt: clock.FromDuration(now)}
	if g.reports.core.Observe(clock.FromDuration(now), report) {
		g.reports.signal()
	}
}

// sendReports sends the pending reports on back ends to other nodes, until the context ends.
func (g *Gateway) sendReports(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-g.reports.pending:
		}
		g.sendNextReports()
		pause(ctx, reportInterval.Duration())
	}
}

func (g *Gateway) sendNextReports() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.reports.core.NextMessage(clock.FromDuration(g.now())); m != nil {
		for _, peer := range g.reports.receiversIn(&g.fleet) {
			g.fleet.transport.Send(peer, m)
		}
	}
	if g.reports.core.Pending() {
		g.reports.signal()
	}
}

// receiveReports applies the reports of another node on back ends, and forwards those that are new to this node.
func (g *Gateway) receiveReports(now time.Duration, m *message.BackEndReports) {
	newReports := g.reports.core.Receive(clock.FromDuration(now), m)
	for _, r := range newReports {
		g.replicas.RecordReport(now, r.BackEnd, r.Slowdown, r.FaultRate, r.ObservedAt.Duration())
	}
	if len(newReports) > 0 {
		g.reports.signal()
	}
}
