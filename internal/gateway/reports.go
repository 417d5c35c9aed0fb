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

// reportPause is the least time between two messages of a node to another: what comes first goes at once, and where more comes it piles up to be one
// message. At 300 nodes, where some back end changes its speed every 10 ms, it is what bounds the telling.
const reportPause = 150 * clock.Ms(1)

// Nodes that are told of back ends: reportNext in the order of the region, reportSteady others of it, and reportFar of other regions.
const (
	reportNext   = 1
	reportSteady = 2
	reportFar    = 1
)

// noteMet has others told of a back end that turned slow or faulty, or well again; the lock is held. An attempt that was withdrawn tells nothing of that: its
// back end may stand still for a moment.
func (g *Gateway) noteMet(now time.Duration, r *replica.Replica) {
	if g.members == nil || !g.settings.Load().Reports {
		return
	}
	slowdown, faults := r.Health(now)
	if g.reports.Observe(clock.Of(now), healthreport.Report{BackEnd: r.Key(), Slowdown: slowdown, Faults: faults, SeenAt: clock.Of(now)}) {
		g.reportsDue()
	}
}

func (g *Gateway) reportsDue() {
	select {
	case g.reporting <- struct{}{}:
	default:
	}
}

// sendReports sends what other nodes are to be told of back ends until the context ends.
func (g *Gateway) sendReports(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-g.reporting:
		}
		g.mu.Lock()
		if m := g.reports.NextMessage(clock.Of(g.now())); m != nil {
			for _, peer := range g.reportPeers() {
				g.peers.Send(peer, m)
			}
		}
		if g.reports.Pending() {
			g.reportsDue()
		}
		g.mu.Unlock()
		pause(ctx, reportPause.Duration())
	}
}

// reportPeers are those that are told of back ends: the next one in the order of the region, so that nobody there is left out, steady ones that differ from
// node to node, so that it takes few steps, and one of another region. They stay the same while the members do: each connection to another node takes
// memory at both ends. The lock is held.
func (g *Gateway) reportPeers() []string {
	if version := g.members.Version(); g.reportsTo == nil || g.reportsVersion != version {
		g.reportsTo, g.reportsVersion = g.chooseReportPeers(), version
	}
	return g.reportsTo
}

func (g *Gateway) chooseReportPeers() []string {
	self := g.members.Self()
	var region, others []string
	for _, m := range g.members.Members() {
		switch {
		case !m.Usable() || m.Address == self.Address:
		case m.Region == self.Region:
			region = append(region, m.Address)
		default:
			others = append(others, m.Address)
		}
	}
	chosen := nextOf(slices.Concat(region, []string{self.Address}), self.Address, reportNext)
	rank := func(address string) uint64 { return xxhash.Sum64String(self.Address + "/" + address) }
	for _, candidates := range [][]string{region, others} {
		slices.SortFunc(candidates, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	}
	for _, address := range region[:min(len(region), reportSteady)] {
		if !slices.Contains(chosen, address) {
			chosen = append(chosen, address)
		}
	}
	return append(chosen, others[:min(len(others), reportFar)]...)
}

// receiveReports takes in what another node tells of back ends; the lock is held.
func (g *Gateway) receiveReports(now time.Duration, m *message.BackEndReports) {
	news := g.reports.Receive(clock.Of(now), m)
	for _, r := range news {
		g.replicas.TakeReport(now, r.BackEnd, r.Slowdown, r.Faults, r.SeenAt.Duration())
	}
	if len(news) > 0 {
		g.reportsDue()
	}
}
