package healthreport_test

import (
	"math/rand/v2"
	"testing"

	"stiletrail/internal/clock"
	"stiletrail/internal/healthreport"
	"stiletrail/internal/message"
)

const slowBackEnd = 7

func slow(seenAt clock.Ms) healthreport.Report {
	return healthreport.Report{BackEnd: slowBackEnd, Slowdown: 8.5, ObservedAt: seenAt}
}

// fleet is some nodes that each tell three others each 50 ms what is news to them: the next two in a ring and a random one.
type fleet struct {
	nodes  []*healthreport.Core
	heard  []bool
	sent   []int
	random *rand.Rand
}

func newFleet(count int) *fleet {
	f := &fleet{heard: make([]bool, count), sent: make([]int, count), random: rand.New(rand.NewPCG(uint64(count), 1))}
	for range count {
		f.nodes = append(f.nodes, healthreport.New())
	}
	return f
}

// round has all nodes send what is due, and returns how many have heard of something.
func (f *fleet) round(now clock.Ms) (heard int) {
	due := make([]*message.BackEndReports, len(f.nodes))
	for i, node := range f.nodes {
		due[i] = node.NextMessage(now)
	}
	for i, m := range due {
		if m == nil {
			continue
		}
		for _, peer := range []int{i + 1, i + 2, f.random.IntN(len(f.nodes))} {
			peer %= len(f.nodes)
			f.sent[i]++
			if len(f.nodes[peer].Receive(now, m)) > 0 {
				f.heard[peer] = true
			}
		}
	}
	for _, has := range f.heard {
		if has {
			heard++
		}
	}
	return heard
}

// TestStragglerIsKnownToAll: the pattern is a straggler, a back end that turns slow, which each node would find alone. What one
// node met reaches all others in steps that grow with the logarithm of their number, and each node sends the same few messages
// however many there are.
func TestStragglerIsKnownToAll(t *testing.T) {
	for count, rounds := range map[int]int{22: 7, 65: 9, 300: 11, 2000: 14} {
		f := newFleet(count)
		f.heard[0] = f.nodes[0].Observe(0, slow(0))
		needed := 0
		for heard := 1; heard < count && needed < 100; needed++ {
			heard = f.round(clock.Ms(50 * needed))
		}
		if needed > rounds {
			t.Errorf("%d nodes know after %d rounds, %d were expected at most", count, needed, rounds)
		}
		for i, sent := range f.sent {
			if sent > 3 {
				t.Errorf("node %d of %d sent %d messages about one change", i, count, sent)
			}
		}
	}
}

// TestOnlyChangesAreTold: a sound back end is no news, a slow one is told again each second while it is met, and so is that it
// is well again, once.
func TestOnlyChangesAreTold(t *testing.T) {
	c := healthreport.New()
	steps := []struct {
		at     clock.Ms
		report healthreport.Report
		told   bool
		why    string
	}{
		{0, healthreport.Report{BackEnd: 1, Slowdown: 1}, false, "sound"},
		{10, healthreport.Report{BackEnd: 1, Slowdown: 1.2, FaultRate: 0.3}, false, "a little slower, one failure"},
		{20, healthreport.Report{BackEnd: 1, Slowdown: 4}, true, "slow"},
		{500, healthreport.Report{BackEnd: 1, Slowdown: 4.2}, false, "still slow"},
		{1100, healthreport.Report{BackEnd: 1, Slowdown: 4.2}, true, "slow for a second"},
		{1200, healthreport.Report{BackEnd: 1, Slowdown: 8.5}, true, "slower"},
		{1300, healthreport.Report{BackEnd: 1, Slowdown: 1}, true, "well again"},
		{1400, healthreport.Report{BackEnd: 1, Slowdown: 1}, false, "well"},
		{1500, healthreport.Report{BackEnd: 1, Slowdown: 1, FaultRate: 0.5}, true, "faulty"},
	}
	for _, step := range steps {
		step.report.ObservedAt = step.at
		if got := c.Observe(step.at, step.report); got != step.told {
			t.Errorf("at %d, %s: told %v", step.at, step.why, got)
		}
		c.NextMessage(step.at)
	}
}

// TestBadReportsAreDropped: what is old, known already or out of its range is neither believed nor passed on; what is newer is.
func TestBadReportsAreDropped(t *testing.T) {
	c := healthreport.New()
	now := 10 * clock.Second
	hear := func(r message.BackEndReport) bool {
		return len(c.Receive(now, &message.BackEndReports{Reports: []message.BackEndReport{r}})) > 0
	}
	good := message.BackEndReport{BackEnd: 1, SlowdownSixteenths: 136, AgeMs: 100}
	if !hear(good) || hear(good) {
		t.Error("a report is news once")
	}
	for why, bad := range map[string]message.BackEndReport{
		"older":      {BackEnd: 1, SlowdownSixteenths: 16, AgeMs: 500},
		"very old":   {BackEnd: 2, SlowdownSixteenths: 136, AgeMs: 2500},
		"impossible": {BackEnd: 3, SlowdownSixteenths: 136, FailurePercent: 200},
		"too slow":   {BackEnd: 4, SlowdownSixteenths: 60000},
	} {
		if hear(bad) {
			t.Errorf("a report that is %s is believed", why)
		}
	}
	if !hear(message.BackEndReport{BackEnd: 1, SlowdownSixteenths: 16, AgeMs: 20}) {
		t.Error("a newer report that says otherwise is not believed")
	}
}

// TestManyReports: a message is bounded, and what does not fit comes with the next ones.
func TestManyReports(t *testing.T) {
	c := healthreport.New()
	for i := range 100 {
		c.Observe(0, healthreport.Report{BackEnd: uint64(i), Slowdown: 8})
	}
	seen := map[uint64]bool{}
	for range 4 {
		m := c.NextMessage(0)
		if len(m.Reports) > 32 {
			t.Fatalf("a message has %d reports", len(m.Reports))
		}
		for _, r := range m.Reports {
			seen[r.BackEnd] = true
		}
	}
	if len(seen) != 100 || c.Pending() || c.NextMessage(0) != nil {
		t.Errorf("%d of 100 were told, more is due: %v", len(seen), c.Pending())
	}
	c.Forget(10 * clock.Second)
	if !c.Observe(10*clock.Second, healthreport.Report{BackEnd: 1, Slowdown: 8, ObservedAt: 10 * clock.Second}) {
		t.Error("a slow back end is no news after all was forgotten")
	}
}
