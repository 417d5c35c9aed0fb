package quota

import (
	"testing"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

// tellLost tells a node the members of its fleet, of which one is lost.
func (f *fleet) tellLost(n, lost *node) {
	var members []Member
	for _, other := range f.nodes {
		members = append(members, Member{Address: other.address, Zone: other.zone, Region: other.region, Usable: other != lost, Lost: other == lost})
	}
	n.holder.SetMembers(n.clock(f.now), members, true)
}

// tellAlone tells a node that it reaches nobody and that the store does not list it.
func (f *fleet) tellAlone(n *node, standing Standing) {
	var members []Member
	for _, other := range f.nodes {
		members = append(members, Member{Address: other.address, Zone: other.zone, Region: other.region, Usable: other == n})
	}
	n.holder.SetMembers(n.clock(f.now), members, true)
	n.holder.SetStanding(n.clock(f.now), standing)
}

// capacityOf returns how many tokens of a pool a node may lend now.
func (f *fleet) capacityOf(n *node, key LimitID, pool uint8) int {
	a, now := &n.holder.accountant, n.clock(f.now)
	p := a.pool(now, poolID{key, pool}, f.limits[key])
	if !p.owned || a.untilReady(now, p) > 0 {
		return 0
	}
	return a.capacity(now, p, pool)
}

// TestLostAccountantAndItsSubstitute: what a lost accountant may still lend, and what is lent in its place, is no more than its
// pool at any time, and a part of it is lent soon.
func TestLostAccountantAndItsSubstitute(t *testing.T) {
	f := newFleet(t, 1, 9, 3)
	key := LimitIDOf("tenant", "lost")
	f.limits[key] = limitFor(100, 0)
	lost := f.accountantOf(key, 0)
	f.tellAlone(lost, Standing{Listed: true, MembersInDoubt: true})
	for _, n := range f.nodes {
		if n != lost {
			f.tellLost(n, lost)
		}
	}
	whole := poolShare(f.limits[key].working(), 0)
	for second := range clock.Ms(100) {
		f.now += clock.Second
		for _, n := range f.nodes {
			n.holder.Tick(n.clock(f.now))
		}
		instead := 0
		for _, n := range f.nodes {
			if n != lost {
				instead += f.capacityOf(n, key, 0)
			}
		}
		if own := f.capacityOf(lost, key, 0); own+instead > whole {
			t.Errorf("after %d s the lost node may lend %d and others %d of a pool of %d", second+1, own, instead, whole)
		}
		if soon := second >= 12; soon && instead < whole/5 {
			t.Errorf("after %d s others may lend %d of the pool of %d of a lost node", second+1, instead, whole)
		}
	}
}

// TestNodeThatWasAwayStartsAnew: a process that learns that others have counted its node as away may lend only the reserve of its
// pools until what others lent of them has left the window, and at once only the part of the members that it reaches.
func TestNodeThatWasAwayStartsAnew(t *testing.T) {
	f := newFleet(t, 1, 9, 3)
	key := LimitIDOf("tenant", "away")
	f.limits[key] = limitFor(100, 0)
	n := f.accountantOf(key, 0)
	n.holder.accountant.standing = nil
	f.tellAlone(n, Standing{Listed: true, Running: true, Away: true})
	working := poolShare(f.limits[key].working(), 0)
	reserve := poolShare(f.limits[key].total(), 0) - working
	if got := f.capacityOf(n, key, 0); got > reserve {
		t.Errorf("%d tokens may be lent at once, the reserve is %d", got, reserve)
	}
	f.now += rankingSpread + 6*clock.Second
	if got := f.capacityOf(n, key, 0); got == 0 || got > working/9+1 {
		t.Errorf("%d tokens may be lent by one of nine nodes, its part is %d", got, working/9)
	}
}

// TestRapidRestartLendsNoReserve: a process whose predecessor lent the reserve lends nothing until that has left the window, and
// says when it will. One that the store does not list yet lends nothing either, since its successor could not know of it.
func TestRapidRestartLendsNoReserve(t *testing.T) {
	p := newPair(t)
	pool := p.poolOf(p.lender)
	restart := func(standing Standing) *message.QuotaLease {
		p.now += 10 * clock.Second
		p.start(p.lender, 0)
		p.run(p.now + listingDelay/2)
		p.lender.holder.SetStanding(p.lender.clock(p.now), standing)
		p.now += settleTime + 10
		return &p.tell(p.report(pool, uint64(p.now), 0, 5)).Grants[0]
	}
	if lease := restart(Standing{Listed: true, Running: true}); lease.Tokens == 0 {
		t.Errorf("a process that the store lists lends %+v", lease)
	}
	if lease := restart(Standing{Listed: true, Running: true, RapidRestart: true}); lease.Tokens != 0 || lease.RoomMs < 4000 || lease.RoomMs > 6000 {
		t.Errorf("a rapid restart lends %+v", lease)
	}
	if lease := restart(Standing{}); lease.Tokens != 0 || lease.RoomMs > 1000 {
		t.Errorf("a process that the store does not list lends %+v", lease)
	}
}
