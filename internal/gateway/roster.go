package gateway

import (
	"context"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/failure"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
	"stiletrail/internal/quota"
	"stiletrail/internal/roster"
)

const (
	// rosterInterval is the pause between two checks of this node's record in the roster.
	rosterInterval = 250 * time.Millisecond
	// rosterLease is how long the store keeps the record of a registrar that does not renew it. rosterRenewInterval is the pause
	// between two renewals. A registrar that is gone has been replaced within the rest.
	rosterLease         = 8 * clock.Second
	rosterRenewInterval = 2500 * clock.Ms(1)
	// rosterCallTimeout is the longest time that a call may take, and rosterRetryDelay the pause after one that has failed.
	rosterCallTimeout = 700 * time.Millisecond
	rosterRetryDelay  = clock.Second
	// meetTime is how long a node that has just started waits for others before it goes by the roster alone.
	meetTime = 3 * time.Second
	// settleWindows is for how many windows of limits a process must have been running until nothing counts any more of what
	// its predecessor has lent: a window, a lease, and some slots.
	settleWindows = 1.2
)

// rosterState is this node's part in the roster of running nodes, which limits over all nodes go by. Gateway.mu guards it.
type rosterState struct {
	// core is nil on a node without peers.
	core *roster.Core
	// lease is that of this node's record, 0 if it has none. renewAt is when it is renewed next.
	lease   LeaseID
	renewAt clock.Ms
	// pending is a change of the record that was not written yet, nil if there is none.
	pending *roster.Write
	// retryAt is from when the store may be called again after a call that has failed.
	retryAt clock.Ms
	// told is what the holder of tokens was last told.
	told fleetView
}

// fleetView is by what the holder of tokens was told of the fleet. It is told again when one of these changes.
type fleetView struct {
	membersVersion, rosterVersion uint64
	joined, copyStale             bool
	standing                      quota.Standing
}

// keepsRoster reports whether this node takes part in the roster: if the configuration in force limits what tenants may send.
func (g *Gateway) keepsRoster() bool { return g.roster.core != nil && len(g.quotas.limits) > 0 }

// applyRoster applies a record of the roster, and reports whether the store's record was one.
func (g *Gateway) applyRoster(record message.StoreRecord) bool {
	if !roster.IsKey(record.Key) {
		return false
	}
	switch {
	case g.roster.core == nil:
	case record.Deleted:
		g.roster.core.Delete(record.Key)
	default:
		if err := g.roster.core.Put(record.Key, record.Value); err != nil {
			g.log.ItemRejected(&Item{Key: record.Key, Revision: record.Revision, Err: err})
		}
	}
	return true
}

// updateQuotaMembers tells the holder of tokens which nodes there are, if that has changed. While the roster is kept, nodes
// that this one does not reach are known from it.
func (g *Gateway) updateQuotaMembers(now time.Duration) {
	f := &g.fleet
	view := fleetView{membersVersion: f.members.Version(), joined: g.knowsFleet(now), copyStale: g.storeCopy.stale(now)}
	if g.keepsRoster() {
		view.rosterVersion = g.roster.core.Version()
		view.standing = g.quotaStanding(view.copyStale)
	}
	if view == g.roster.told {
		return
	}
	g.roster.told = view
	nowMs := clock.FromDuration(now)
	g.quotas.holder.SetMembers(nowMs, g.quotaMembers(view.copyStale), view.joined)
	if g.keepsRoster() && view.joined {
		g.quotas.holder.SetStanding(nowMs, view.standing)
	}
}

// knowsFleet reports whether this node knows the members of the fleet, so that it may lend tokens. A node that has heard of no
// other one may be the only one. Only the roster can tell it; without it, others may have all tokens.
func (g *Gateway) knowsFleet(now time.Duration) bool {
	switch {
	case g.table.Load() == nil:
		return false
	case g.keepsRoster():
		return g.firstListing.read.Load() && (g.fleet.joined || now >= meetTime)
	}
	return g.fleet.joined && !g.cutOffFromStart()
}

// quotaMembers returns the members among which limits are divided: the known ones and, while the roster is kept, those that it
// lists. One that is not reached and that a fresh copy of the store does not list as running is lost.
func (g *Gateway) quotaMembers(copyStale bool) []quota.Member {
	known := g.fleet.members.Members()
	members := make([]quota.Member, 0, len(known))
	for _, m := range known {
		members = append(members, quota.Member{Address: m.Address, Zone: m.Zone, Region: m.Region, Usable: m.Usable()})
	}
	if !g.keepsRoster() {
		return members
	}
	running := map[string]bool{}
	for _, e := range g.roster.core.Nodes() {
		running[e.Address] = !e.Away
		if _, found := g.fleet.members.Lookup(e.Address); !found {
			members = append(members, quota.Member{Address: e.Address, Zone: e.Zone, Region: e.Region})
		}
	}
	for i := range members {
		members[i].Lost = !members[i].Usable && !copyStale && !running[members[i].Address]
	}
	return members
}

// quotaStanding returns what the store says of this process.
func (g *Gateway) quotaStanding(copyStale bool) quota.Standing {
	listed := g.roster.core.Standing()
	s := quota.Standing{
		Listed: listed.Running && g.copiedSinceStart(), Running: listed.Running && !copyStale, Away: listed.Away, RapidRestart: listed.RapidRestart,
		LateStart: time.Duration(g.firstListing.readAt.Load()) >= meetTime,
	}
	if !s.Running {
		s.MembersInDoubt = g.membersInDoubt()
	}
	return s
}

// copiedSinceStart reports whether the copy of the store was complete at a moment after the start of this process, so that it has
// what the process before it has left.
func (g *Gateway) copiedSinceStart() bool {
	age := g.storeCopy.age(g.now())
	return age != neverConfirmed && age <= g.nowMs()
}

// membersInDoubt reports whether a known member may be out of reach.
func (g *Gateway) membersInDoubt() bool {
	for _, m := range g.fleet.members.Members() {
		if m.State != membership.Alive {
			return true
		}
	}
	for _, e := range g.roster.core.Nodes() {
		if _, found := g.fleet.members.Lookup(e.Address); !found {
			return true
		}
	}
	return false
}

// keepRoster writes this node's record of the roster and renews its lease, until the context ends.
func (g *Gateway) keepRoster(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, rosterInterval)
		call := g.nextRosterCall()
		if call == nil {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, rosterCallTimeout)
		end := call.run(bounded, g.store)
		cancel()
		if ctx.Err() == nil {
			g.endRosterCall(end)
		}
	}
}

// rosterCall is a call to the store for the roster.
type rosterCall struct {
	key   string
	lease LeaseID
	write *roster.Write
}

// rosterCallEnd is how such a call ended.
type rosterCallEnd struct {
	// lease is that of the record after the call, 0 if it is over.
	lease LeaseID
	// written is set if the change was written.
	written bool
	err     error
}

// nextRosterCall returns the call that is due, or nil.
func (g *Gateway) nextRosterCall() *rosterCall {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	nowMs := clock.FromDuration(now)
	r := &g.roster
	if !g.keepsRoster() || g.storeCopy.stale(now) || nowMs < r.retryAt {
		return nil
	}
	// A registrar that has just started keeps the record of its predecessor.
	if !g.knowsFleet(now) && !(g.firstListing.read.Load() && r.core.HasRecord()) {
		return nil
	}
	if planned := r.core.Plan(nowMs, g.rosterView(now)); planned != nil {
		r.pending = planned
	}
	if r.pending == nil && (r.lease == 0 || nowMs < r.renewAt) {
		return nil
	}
	return &rosterCall{key: r.core.Key(), lease: r.lease, write: r.pending}
}

func (g *Gateway) rosterView(now time.Duration) roster.View {
	return roster.View{
		Wall: g.wallTime(now).UnixMilli(), Members: g.fleet.members.Members(),
		SettleAfter: clock.Ms(settleWindows * float64(g.settings.Load().Quotas.Window)),
	}
}

// run makes the call: it writes or removes the record, or renews its lease.
func (c *rosterCall) run(ctx context.Context, store Store) rosterCallEnd {
	if c.write != nil && c.write.Value == nil {
		err := store.Remove(ctx, c.key)
		return rosterCallEnd{written: err == nil, err: err}
	}
	if c.write == nil {
		held, err := store.RenewLease(ctx, c.lease)
		return rosterCallEnd{lease: leaseAfter(c.lease, held, err), err: err}
	}
	lease := c.lease
	if lease == 0 {
		granted, err := store.GrantLease(ctx, rosterLease)
		if err != nil {
			return rosterCallEnd{err: err}
		}
		lease = granted
	}
	held, err := store.WriteLeased(ctx, c.key, c.write.Value, lease)
	return rosterCallEnd{lease: leaseAfter(lease, held, err), written: held && err == nil, err: err}
}

// leaseAfter returns the lease that holds after a call. A call that failed tells nothing of it.
func leaseAfter(lease LeaseID, held bool, err error) LeaseID {
	if err == nil && !held {
		return 0
	}
	return lease
}

// endRosterCall records how a call ended. A change that was not written stays pending. A record whose lease is over is written
// again under a new one as soon as the copy of the store lacks it.
func (g *Gateway) endRosterCall(end rosterCallEnd) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, now := &g.roster, g.nowMs()
	r.lease = end.lease
	if end.written {
		r.pending = nil
	}
	if end.err != nil {
		r.retryAt = now + rosterRetryDelay
		g.log.RosterNotWritten(failure.From(end.err))
		return
	}
	r.renewAt = now + rosterRenewInterval
}
