package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"stiletrail/internal/clock"
)

// drawnCases is the number of drawn fleets.
const drawnCases = 60

// TestDrawnFleetsHoldTheBound: whatever happens to messages and nodes, no window has more than the bound. The load is
// that of a few tenants with skewed callers, one of which sends several times its limit. Nodes start at different times
// of their own clocks. Messages are lost and late, regions and nodes are cut off, nodes are restarted alone and together,
// and limits are lowered far below the use.
func TestDrawnFleetsHoldTheBound(t *testing.T) {
	for seed := range uint64(drawnCases) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 77))
			f := newFleet(t, seed, 3+random.IntN(60), 1+random.IntN(4))
			f.loss, f.jitter = 0.1*random.Float64(), 1+random.IntN(60)
			d := drawnDay{fleet: f, random: random, begin: f.now, end: f.now + 40*clock.Second}
			d.drawTenants()
			d.drawFaults()
			f.run(d.end)
			d.check()
		})
	}
}

// drawnDay is a load and a schedule of faults.
type drawnDay struct {
	*fleet
	random     *rand.Rand
	begin, end clock.Ms
	// loweredAt is when the limit of a tenant was lowered, before that its limit was another one.
	loweredAt map[LimitID]clock.Ms
	before    map[LimitID]Limit
}

func (d *drawnDay) moment() clock.Ms { return d.begin + clock.Ms(d.random.IntN(int(d.end-d.begin))) }

func (d *drawnDay) drawTenants() {
	d.loweredAt, d.before = map[LimitID]clock.Ms{}, map[LimitID]Limit{}
	for i := range 3 {
		key := LimitIDOf("tenant", fmt.Sprint(i))
		rate := 0.2 + 40*d.random.Float64()*d.random.Float64()
		d.limits[key] = limitFor(rate, float64(d.random.IntN(20)))
		from := d.random.IntN(len(d.nodes))
		d.load(key, rate*0.6, d.nodes[from:], d.end, 60)
		if i == 0 {
			d.at(d.moment(), func() { d.load(key, rate*7, d.nodes[from:], d.now+6*clock.Second, 60) })
		}
		if d.random.IntN(3) == 0 {
			d.at(d.moment(), func() {
				d.before[key], d.loweredAt[key] = d.limits[key], d.now
				d.limits[key] = limitFor(rate/10, 0)
			})
		}
	}
}

func (d *drawnDay) drawFaults() {
	switch d.random.IntN(6) {
	case 0:
		d.at(d.moment(), func() {
			for _, n := range d.nodes {
				if n.up {
					d.restart(n, clock.Ms(900+d.random.IntN(600)), clock.Ms(300+d.random.IntN(400)))
				}
			}
		})
	case 1:
		for i, n := range d.nodes {
			d.at(d.begin+clock.Ms(i*int(d.end-d.begin)/len(d.nodes)), func() { d.restart(n, 1200, 400) })
		}
	case 2:
		d.at(d.moment(), func() {
			region := d.nodes[0].region
			d.cut = func(a, b *node) bool { return (a.region == region) != (b.region == region) }
			d.noticeAll(6 * clock.Second)
			d.at(d.now+15*clock.Second, func() {
				d.cut = func(*node, *node) bool { return false }
				d.noticeAll(clock.Second)
			})
		})
	case 3:
		for range 1 + len(d.nodes)/4 {
			n := d.nodes[d.random.IntN(len(d.nodes))]
			d.at(d.moment(), func() { d.stop(n) })
		}
		d.at(d.end-8*clock.Second, func() { d.noticeAll(0) })
	case 4:
		d.at(d.moment(), func() {
			alone := d.nodes[d.random.IntN(len(d.nodes))]
			d.cut = func(a, b *node) bool { return a == alone || b == alone }
		})
	}
}

func (d *drawnDay) check() {
	d.t.Helper()
	for key, limit := range d.limits {
		if lowered, was := d.loweredAt[key]; was {
			// A lower limit holds from a window after all nodes know it. What was sent before is within the earlier one.
			d.checkBound(key, limit, lowered+limit.Window)
			limit = d.before[key]
		}
		d.checkBound(key, limit, 0)
	}
}

// TestUsualLoadIsNotRefused: with all nodes well, tenants that send what they usually do, with skewed callers, get all of
// it, in fleets of 3 to 300 nodes. The large tenant sends six tenths of its limit.
func TestUsualLoadIsNotRefused(t *testing.T) {
	for _, nodes := range []int{3, 20, 67, 300} {
		for _, rate := range []float64{53, 3.4, 0.3} {
			t.Run(fmt.Sprintf("%d nodes, %.1f requests/s", nodes, rate), func(t *testing.T) {
				f := newFleet(t, 1, nodes, 3)
				key := LimitIDOf("tenant", "usual")
				f.limits[key] = limitFor(rate, 0)
				f.load(key, rate/1.6, f.nodes, f.now+30*clock.Second, 50)
				f.run(f.now + 31*clock.Second)
				f.checkBound(key, f.limits[key], 0)
				if r := f.record(key); r.belowShare() > 0.01 {
					t.Errorf("%d of %d were refused below the limit", r.refusedBelow, len(r.sent)+r.refused)
				}
			})
		}
	}
}

// TestHotTenantGetsItsLimit: a tenant sends several times its limit for some seconds. It gets what is allowed, but for a
// few in a hundred, and a tenant beside it at the same nodes is not refused.
func TestHotTenantGetsItsLimit(t *testing.T) {
	f := newFleet(t, 1, 67, 3)
	hot, other := LimitIDOf("tenant", "hot"), LimitIDOf("tenant", "other")
	f.limits[hot], f.limits[other] = limitFor(53, 0), limitFor(0.3, 0)
	end := f.now + 30*clock.Second
	f.load(hot, 33, f.nodes, end, 50)
	f.load(other, 0.18, f.nodes, end, 50)
	f.at(f.now+10*clock.Second, func() { f.load(hot, 167, f.nodes, f.now+6*clock.Second, 50) })
	f.run(end)
	f.checkBound(hot, f.limits[hot], 0)
	if r := f.record(hot); r.belowShare() > 0.03 || r.refused == 0 {
		t.Errorf("%d of %d refusals were below the limit, %d were sent", r.refusedBelow, r.refused, len(r.sent))
	}
	if r := f.record(other); r.refused > 0 {
		t.Errorf("%d requests of the small tenant were refused", r.refused)
	}
}

// TestBurstWithinTheLimitIsNotSmoothed: nearly all that is allowed in a window may be sent within a tenth of it.
func TestBurstWithinTheLimitIsNotSmoothed(t *testing.T) {
	f := newFleet(t, 1, 30, 3)
	key := LimitIDOf("tenant", "bursts")
	f.limits[key] = limitFor(20, 0)
	for i := range 95 {
		f.at(f.now+clock.Ms(5*i), func() { f.request(f.nodes[f.random.IntN(len(f.nodes))], key, 60) })
	}
	f.run(f.now + clock.Second)
	if r := f.record(key); r.refused > 2 {
		t.Errorf("%d were sent and %d refused", len(r.sent), r.refused)
	}
}

// TestDrawnRestartsHoldTheBound: however often all nodes, half of them or a few are restarted, also again before a window
// has passed, no window has more than the bound. One tenant sends several times its limit all the time. Beside it links
// are cut, nodes are lost and return, and limits are lowered.
func TestDrawnRestartsHoldTheBound(t *testing.T) {
	for seed := range uint64(drawnCases) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 78))
			f := newFleet(t, seed, 3+random.IntN(30), 1+random.IntN(4))
			f.loss, f.jitter = 0.1*random.Float64(), 1+random.IntN(30)
			d := drawnDay{fleet: f, random: random, begin: f.now, end: f.now + 40*clock.Second}
			d.drawTenants()
			key := LimitIDOf("tenant", "hot")
			d.limits[key] = limitFor(2+20*random.Float64(), float64(random.IntN(40)))
			d.load(key, 7*d.limits[key].Allowed/5, d.nodes, d.end, 60)
			for range 1 + random.IntN(3) {
				d.drawRestarts()
			}
			if random.IntN(2) == 0 {
				d.drawFaults()
			}
			f.run(d.end)
			d.check()
		})
	}
}

// drawRestarts draws some restarts of the same nodes, each soon after the one before.
func (d *drawnDay) drawRestarts() {
	share := []float64{1, 1, 0.5, 0.1}[d.random.IntN(4)]
	var nodes []*node
	for _, n := range d.nodes {
		if d.random.Float64() < share {
			nodes = append(nodes, n)
		}
	}
	at := d.moment()
	for range 1 + d.random.IntN(4) {
		d.at(at, func() {
			for _, n := range nodes {
				if n.up {
					d.restart(n, clock.Ms(100+d.random.IntN(400)), clock.Ms(100+d.random.IntN(400)))
				}
			}
		})
		at += clock.Ms(700 + d.random.IntN(4000))
	}
}
