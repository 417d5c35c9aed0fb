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

// reportInterval is the least time between two messages of a node: what comes first goes at once, and what comes meanwhile piles up
// to be one message. In a large fleet it is what bounds the reports.
const reportInterval = 150 * clock.Ms(1)

// Nodes that get reports: successorReceivers in the order of the region, fixedReceivers others of it, and otherRegionReceivers of other regions.
const (
	successorReceivers   = 1
	fixedReceivers       = 2
	otherRegionReceivers = 1
)

// healthReports is what this node reports of back ends to others. Guarded by Gateway.mu, but for the channel.
type healthReports struct {
	core *healthreport.Core
	// pending is signalled when there is something to report.
	pending chan struct{}
	// receivers are the nodes that get reports, chosen for a version of the members.
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

// receiversIn gives the nodes that get reports. They stay the same while the members do: each connection to another node takes
// memory at both ends.
func (h *healthReports) receiversIn(f *fleet) []string {
	if version := f.members.Version(); h.receivers == nil || h.receiversVersion != version {
		h.receivers, h.receiversVersion = chooseReceivers(f), version
	}
	return h.receivers
}

// chooseReceivers gives the next node in the order of the region, so that nobody there is left out, steady ones that differ from
// node to node, so that it takes few steps, and one of another region.
func chooseReceivers(f *fleet) []string {
	self := f.members.Self().Address
	near, far := f.usableAddresses()
	near = slices.DeleteFunc(near, func(address string) bool { return address == self })
	chosen := successors(slices.Concat(near, []string{self}), self, successorReceivers)
	rank := func(address string) uint64 { return xxhash.Sum64String(self + "/" + address) }
	for _, candidates := range [][]string{near, far} {
		slices.SortFunc(candidates, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	}
	for _, address := range near[:min(len(near), fixedReceivers)] {
		if !slices.Contains(chosen, address) {
			chosen = append(chosen, address)
		}
	}
	return append(chosen, far[:min(len(far), otherRegionReceivers)]...)
}

// reportHealth has others told of a back end that turned slow or faulty, or well again. An attempt that was withdrawn tells
// nothing of that: its back end may stand still for a moment.
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

// sendReports sends what other nodes are to be told of back ends until the context ends.
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

// receiveReports takes in what another node reports of back ends.
func (g *Gateway) receiveReports(now time.Duration, m *message.BackEndReports) {
	news := g.reports.core.Receive(clock.FromDuration(now), m)
	for _, r := range news {
		g.replicas.RecordReport(now, r.BackEnd, r.Slowdown, r.FaultRate, r.ObservedAt.Duration())
	}
	if len(news) > 0 {
		g.reports.signal()
	}
}
