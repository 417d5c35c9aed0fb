package gateway

import (
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/quota"
)

// The retry slack is the number of extra attempts of a service that all nodes together may send in a window beyond their
// share of the requests. A part of it is divided evenly among the known nodes and needs nobody. The rest is lent: nodes
// use it unevenly, so a node whose own budget is used up borrows extra attempts as tokens of a limit over all nodes
// (package quota). A token that was lent counts against the limit, and not against the budget of the node.
//
// Both parts together are no more than the slack in any window, whichever nodes can reach each other.
const (
	// usableSlackFraction is the part of the retry slack that is used. The rest is left for nodes that others do not know
	// yet.
	usableSlackFraction = 0.9
	// lentSlackFraction is the part of the usable slack that is lent. Without accountants, as after a restart of all nodes,
	// the other part is left.
	lentSlackFraction = 0.55
)

// spendExtra takes an extra attempt out of the budget of a service, or one that other nodes have lent. The part reserved
// stays in the budget.
func (g *Gateway) spendExtra(now time.Duration, service string, reserved float64) bool {
	if g.retryBudget(service).Spend(now, reserved, g.ownRetrySlack(now)) {
		return true
	}
	if !g.mayBorrow(now) {
		return false
	}
	verdict := g.quotas.holder.Take(clock.FromDuration(now), lentSlackKey(service), g.lentSlack(), 1)
	g.sendQuotas()
	g.quotas.signalUse()
	_, granted := verdict.(quota.Granted)
	return granted
}

// extrasLeft returns how many extra attempts of a service this node may send. While they are few, those count that it has
// borrowed or can expect to borrow.
func (g *Gateway) extrasLeft(now time.Duration, service string) float64 {
	left := g.retryBudget(service).Remaining(now, g.ownRetrySlack(now))
	if few := left < float64(1+g.settings.Load().Forward.LastExtras); few && g.mayBorrow(now) {
		left += float64(g.quotas.holder.Free(clock.FromDuration(now), lentSlackKey(service), g.lentSlack()))
	}
	return left
}

// askForExtra asks other nodes for an extra attempt of a service, if this node has none. It reports whether there is one or
// an answer is expected.
func (g *Gateway) askForExtra(now time.Duration, service string) bool {
	if !g.mayBorrow(now) {
		return false
	}
	expected := g.quotas.holder.Ask(clock.FromDuration(now), lentSlackKey(service), g.lentSlack())
	g.sendQuotas()
	g.quotas.signalUse()
	return expected
}

// earliestExtra returns when this node can have an extra attempt of a service at the earliest, unless it gets more requests
// than lately.
func (g *Gateway) earliestExtra(now time.Duration, service string) time.Duration {
	at := g.retryBudget(service).NextAt(now, g.ownRetrySlack(now))
	if window := g.settings.Load().Retries.Window; now < window {
		// The slack comes with the end of the first window.
		at = min(at, window)
	}
	if g.mayBorrow(now) {
		at = min(at, g.quotas.holder.RoomAt(clock.FromDuration(now), lentSlackKey(service), g.lentSlack()).Duration())
	}
	return at
}

// ownRetrySlack returns this node's part of the slack. It is 0 in the first window after a start, since the previous
// process may have spent its part within the same window.
func (g *Gateway) ownRetrySlack(now time.Duration) float64 {
	settings := &g.settings.Load().Retries
	if g.fleet.nodeCount == 0 || now < settings.Window {
		return 0
	}
	return (usableSlackFraction*settings.FleetSlack - g.lentSlack().Allowed) / float64(g.fleet.nodeCount)
}

// mayBorrow reports whether this node may borrow extra attempts. In the first window after a start it has none, like its
// own part of the slack.
func (g *Gateway) mayBorrow(now time.Duration) bool {
	return g.lentSlack().Allowed > 0 && g.fleet.nodeCount > 0 && now >= g.settings.Load().Retries.Window
}

// lentSlack returns the limit of the slack of a service that nodes lend each other. It allows nothing if they lend none.
func (g *Gateway) lentSlack() quota.Limit {
	settings := &g.settings.Load().Retries
	lent := 0.0
	if settings.LendSlack && g.fleet.members != nil {
		lent = lentSlackFraction * usableSlackFraction * settings.FleetSlack
	}
	return quota.Limit{Window: clock.FromDuration(settings.Window), Allowed: lent, Bound: lent}
}

func lentSlackKey(service string) quota.Key { return quota.KeyOf("budget", service) }
