package gateway

import (
	"context"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/forward"
	"stiletrail/internal/hearsay"
	"stiletrail/internal/message"
	"stiletrail/internal/replica"
)

// reportPause lets reports pile up, so that a node sends few messages however much it meets.
const reportPause = 50 * clock.Ms(1)

// noteMet has others told of a back end that turned slow or faulty, or well again; the lock is held.
func (g *Gateway) noteMet(now time.Duration, r *replica.Replica, outcome forward.Outcome) {
	if g.members == nil || !g.settings.Load().Reports || outcome.Kind == 0 {
		return
	}
	pace, faults := r.Met(now)
	if g.reports.Note(clock.Of(now), hearsay.Report{BackEnd: r.Key(), Pace: pace, Faults: faults, SeenAt: clock.Of(now)}) {
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
		pause(ctx, reportPause.Duration())
		g.mutex.Lock()
		if m := g.reports.Take(clock.Of(g.now())); m != nil {
			for _, peer := range g.evidencePeers() {
				g.peers.Send(peer, m)
			}
		}
		if g.reports.Pending() {
			g.reportsDue()
		}
		g.mutex.Unlock()
	}
}

// receiveReports takes in what another node tells of back ends; the lock is held.
func (g *Gateway) receiveReports(now time.Duration, m *message.BackEndReports) {
	news := g.reports.Hear(clock.Of(now), m)
	for _, r := range news {
		g.replicas.Hear(now, r.BackEnd, r.Pace, r.Faults, r.SeenAt.Duration())
	}
	if len(news) > 0 {
		g.reportsDue()
	}
}
