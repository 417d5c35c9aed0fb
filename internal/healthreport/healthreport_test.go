package healthreport_test

import (
	"math/rand/v2"
	"testing"

	"stiletrail/internal/clock"
	"stiletrail/internal/healthreport"
	"stiletrail/internal/message"
)

const slowBackEnd = 7

// slow returns a report about a slow back end.
func slow(observedAt clock.Ms) healthreport.Report {
	return healthreport.Report{BackEnd: slowBackEnd, Slowdown: 8.5, ObservedAt: observedAt}
}

// fleet simulates nodes that forward news to three others every 50 ms: the next two in a ring and a random one.
type fleet struct {
	nodes    []*healthreport.Core
	informed []bool
	sent     []int
	random   *rand.Rand
}

func newFleet(count int) *fleet {
	f := &fleet{informed: make([]bool, count), sent: make([]int, count), random: rand.New(rand.NewPCG(uint64(count), 1))}
	for range count {
		f.nodes = append(f.nodes, healthreport.New())
	}
	return f
}

// round makes all nodes send what is due, and returns how many nodes have received news so far.
func (f *fleet) round(now clock.Ms) (informed int) {
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
				f.informed[peer] = true
			}
		}
	}
	for _, has := range f.informed {
		if has {
			informed++
		}
	}
	return informed
}

// TestSlowBackEndIsKnownToAllNodes guards against a straggler, a back end that becomes slow, which without reports each
// node would have to notice by itself. An observation of one node reaches all others in a number of steps that grows
// with the logarithm of the number of nodes, and no node sends more than three messages about it.
func TestSlowBackEndIsKnownToAllNodes(t *testing.T) {
	for count, rounds := range map[int]int{22: 7, 65: 9, 300: 11, 2000: 14} {
		f := newFleet(count)
		f.informed[0] = f.nodes[0].Observe(0, slow(0))
		needed := 0
		for informed := 1; informed < count && needed < 100; needed++ {
			informed = f.round(clock.Ms(50 * needed))
		}
		if needed > rounds {
			t.Errorf("all of %d nodes are informed after %d rounds, want at most %d", count, needed, rounds)
		}
		for i, sent := range f.sent {
			if sent > 3 {
				t.Errorf("node %d of %d sent %d messages about one change, want at most 3", i, count, sent)
			}
		}
	}
}

// TestOnlyChangesAreReported checks when an observation is reported: never for a healthy back end, every second for one
// that stays slow, at once if the severity changes, and once when the back end has recovered.
func TestOnlyChangesAreReported(t *testing.T) {
	c := healthreport.New()
	steps := []struct {
		at          clock.Ms
		report      healthreport.Report
		reported    bool
		description string
	}{
		{0, healthreport.Report{BackEnd: 1, Slowdown: 1}, false, "healthy"},
		{10, healthreport.Report{BackEnd: 1, Slowdown: 1.2, FaultRate: 0.3}, false, "a little slower, one failure"},
		{20, healthreport.Report{BackEnd: 1, Slowdown: 4}, true, "slow"},
		{500, healthreport.Report{BackEnd: 1, Slowdown: 4.2}, false, "still slow"},
		{1100, healthreport.Report{BackEnd: 1, Slowdown: 4.2}, true, "slow for a second"},
		{1200, healthreport.Report{BackEnd: 1, Slowdown: 8.5}, true, "slower"},
		{1300, healthreport.Report{BackEnd: 1, Slowdown: 1}, true, "recovered"},
		{1400, healthreport.Report{BackEnd: 1, Slowdown: 1}, false, "still healthy"},
		{1500, healthreport.Report{BackEnd: 1, Slowdown: 1, FaultRate: 0.5}, true, "faulty"},
	}
	for _, step := range steps {
		step.report.ObservedAt = step.at
		if got := c.Observe(step.at, step.report); got != step.reported {
			t.Errorf("at %d ms, %s: reported %v, want the opposite", step.at, step.description, got)
		}
		c.NextMessage(step.at)
	}
}

// TestInvalidReportsAreIgnored checks that reports that are too old, outdated or out of range are neither used nor
// forwarded, and that a newer valid report is.
func TestInvalidReportsAreIgnored(t *testing.T) {
	c := healthreport.New()
	now := 10 * clock.Second
	receive := func(r message.BackEndReport) bool {
		return len(c.Receive(now, &message.BackEndReports{Reports: []message.BackEndReport{r}})) > 0
	}
	good := message.BackEndReport{BackEnd: 1, SlowdownSixteenths: 136, AgeMs: 100}
	if !receive(good) || receive(good) {
		t.Error("want a report to be news the first time only")
	}
	for name, invalid := range map[string]message.BackEndReport{
		"older than the last":         {BackEnd: 1, SlowdownSixteenths: 16, AgeMs: 500},
		"too old":                     {BackEnd: 2, SlowdownSixteenths: 136, AgeMs: 2500},
		"above a fault rate of 1":     {BackEnd: 3, SlowdownSixteenths: 136, FaultPercent: 200},
		"above the greatest slowdown": {BackEnd: 4, SlowdownSixteenths: 60000},
	} {
		if receive(invalid) {
			t.Errorf("a report that is %s is taken for news", name)
		}
	}
	if !receive(message.BackEndReport{BackEnd: 1, SlowdownSixteenths: 16, AgeMs: 20}) {
		t.Error("a newer report with another severity is not taken for news")
	}
}

// TestMessageSizeIsLimited checks that a message has at most 32 reports and that the others follow in the next
// messages. It also checks that a slow back end is news again once its report was forgotten.
func TestMessageSizeIsLimited(t *testing.T) {
	c := healthreport.New()
	for i := range 100 {
		c.Observe(0, healthreport.Report{BackEnd: uint64(i), Slowdown: 8})
	}
	seen := map[uint64]bool{}
	for range 4 {
		m := c.NextMessage(0)
		if len(m.Reports) > 32 {
			t.Fatalf("a message has %d reports, want at most 32", len(m.Reports))
		}
		for _, r := range m.Reports {
			seen[r.BackEnd] = true
		}
	}
	if len(seen) != 100 || c.Pending() || c.NextMessage(0) != nil {
		t.Errorf("%d of 100 reports were sent, more pending: %v; want all, false", len(seen), c.Pending())
	}
	c.Forget(10 * clock.Second)
	if !c.Observe(10*clock.Second, healthreport.Report{BackEnd: 1, Slowdown: 8, ObservedAt: 10 * clock.Second}) {
		t.Error("a slow back end is not reported again after its report was forgotten")
	}
}
