package gateway

import (
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/membership"
	"stiletrail/internal/quota"
)

// meetOthersTime is how long a node that has just started waits for others before it goes by the roster alone.
const meetOthersTime = 3 * time.Second

// fleetView is by what the holder of tokens was told of the fleet. It is told again when one of these changes.
type fleetView struct {
	membersVersion, rosterVersion uint64
	joined, copyStale             bool
	standing                      quota.Standing
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
		return g.firstListing.read.Load() && (g.fleet.joined || now >= meetOthersTime)
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
		LateStart: time.Duration(g.firstListing.readAt.Load()) >= meetOthersTime,
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
