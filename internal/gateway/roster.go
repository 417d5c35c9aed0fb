package gateway

import (
	"context"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/failure"
	"stiletrail/internal/message"
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
