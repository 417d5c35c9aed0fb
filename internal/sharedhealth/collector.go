package sharedhealth

import (
	"maps"
	"slices"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

// groupReport is the last message of sums of another group.
type groupReport struct {
	at   clock.Ms
	sums map[uint64]counts
}

// Change is a change of what a collector holds against a back end, with the counts that led to it. Numbers of attempts
// are weighted by their age.
type Change struct {
	BackEnd uint64
	Verdict Verdict
	// Attempts is the number of attempts at the back end, and RefusedShare the share that it refused.
	Attempts     float64
	RefusedShare float64
	// SiblingsRefusedShare is the share of attempts that its siblings refused.
	SiblingsRefusedShare float64
	// Nodes is the number of nodes of the group whose attempts were refused or found no connection.
	Nodes int
}

// heldVerdict is a verdict that is in force.
type heldVerdict struct {
	Verdict
	// attemptedAt is when there were attempts at the back end last, and supportedAt when they spoke for the verdict.
	attemptedAt, supportedAt clock.Ms
	told                     Verdict
}

// expired reports whether a verdict has not been supported for too long.
func (h *heldVerdict) expired(now clock.Ms) bool {
	lifetime := verdictLifetime
	if h.attemptedAt == now {
		lifetime = unsupportedLifetime
	}
	return now-h.supportedAt > lifetime
}

// Collector adds up the counts of a group and judges its back ends. It is not safe for concurrent use.
type Collector struct {
	own groupSums
	// sums has the sums of the own group by back end, as they were judged last.
	sums   map[uint64]counts
	others map[string]groupReport
	held   map[uint64]*heldVerdict
	// watched has the services at which something was refused or unreachable, and since when.
	watched map[uint64]clock.Ms
	// groupSize is the number of nodes of the group, and groupShare the share of the nodes of the region that are in it.
	groupSize  int
	groupShare float64
	// toldAt is the time of the last message of verdicts, toldWatched the number of services in it, and nextTellingAt the
	// earliest time of the next one. sumsAt is the time of the last message of sums.
	toldAt, nextTellingAt, sumsAt clock.Ms
	toldWatched                   int
	changes                       []Change
}

// NewCollector returns a Collector that knows nothing.
func NewCollector() *Collector {
	return &Collector{own: groupSums{}, others: map[string]groupReport{}, held: map[uint64]*heldVerdict{}, watched: map[uint64]clock.Ms{}, groupShare: 1}
}

// ReceiveCounts adds the counts of a node of the group.
func (c *Collector) ReceiveCounts(now clock.Ms, from string, m *message.AttemptCounts) {
	if clock.Ms(m.AgeMs) > maximumAge {
		return
	}
	for _, received := range m.Counts[:min(len(m.Counts), maximumCounts)] {
		if received.Refused > received.Sent || received.Unreachable > received.Sent-received.Refused {
			continue
		}
		c.own.add(now, now-clock.Ms(m.AgeMs), received.BackEnd, from, counts{
			sent: float64(received.Sent), refused: float64(received.Refused), unreachable: float64(received.Unreachable),
			busy: float64(received.BusyMs),
		})
	}
}

// ReceiveSums stores the sums of another group.
func (c *Collector) ReceiveSums(now clock.Ms, from string, m *message.AttemptSums) {
	if clock.Ms(m.AgeMs) > maximumAge {
		return
	}
	report := groupReport{at: now - clock.Ms(m.AgeMs), sums: map[uint64]counts{}}
	for _, s := range m.Sums[:min(len(m.Sums), maximumSums)] {
		report.sums[s.BackEnd] = counts{
			sent: float64(s.SentTenths) / sumScale, refused: float64(s.RefusedTenths) / sumScale,
			unreachable: float64(s.UnreachableTenths) / sumScale, busy: float64(s.BusyMs),
		}
	}
	c.others[from] = report
}

// Idle reports whether the collector knows of no attempts and holds nothing against any back end.
func (c *Collector) Idle() bool { return len(c.own) == 0 && len(c.others) == 0 && len(c.held) == 0 }

// Adopt takes over the verdicts that two collectors have agreed on, because this node follows one that is lost. What is
// known of the back ends by then rests on too few attempts to reach them anew.
func (c *Collector) Adopt(now clock.Ms, verdicts map[uint64]Verdict) {
	for backEnd, v := range verdicts {
		if c.held[backEnd] == nil {
			c.held[backEnd] = &heldVerdict{Verdict: v, supportedAt: now}
		}
	}
}

// Judge judges all back ends again.
func (c *Collector) Judge(now clock.Ms, directory Directory) {
	c.forget(now)
	c.sums = map[uint64]counts{}
	services := c.services(directory)
	maps.DeleteFunc(c.watched, func(service uint64, _ clock.Ms) bool { return services[service] == nil })
	for _, service := range sortedKeys(services) {
		c.judgeService(now, service, services[service])
	}
	for _, key := range sortedKeys(c.held) {
		h := c.held[key]
		if !h.none() && h.expired(now) {
			h.Verdict = Verdict{}
			c.changes = append(c.changes, Change{BackEnd: key})
		}
		if h.none() && h.told.none() {
			delete(c.held, key)
		}
	}
}

// services returns the back ends of the services of which anything is known. It forgets the group's counts of back ends that
// the directory does not know.
func (c *Collector) services(directory Directory) map[uint64][]BackEnd {
	found := map[uint64][]BackEnd{}
	seen := map[uint64]bool{}
	visit := func(backEnd uint64) (known bool) {
		if seen[backEnd] {
			return true
		}
		service, members := directory.Siblings(backEnd)
		for _, member := range members {
			seen[member.Key] = true
		}
		if len(members) > 0 {
			found[service] = members
		}
		return len(members) > 0
	}
	for backEnd := range c.own {
		if !visit(backEnd) {
			delete(c.own, backEnd)
		}
	}
	for _, report := range c.others {
		for backEnd := range report.sums {
			visit(backEnd)
		}
	}
	return found
}

func (c *Collector) judgeService(now clock.Ms, service uint64, members []BackEnd) {
	all := make([]counts, len(members))
	blame := 0.0
	for i, member := range members {
		all[i] = c.total(now, member.Key)
		blame += all[i].blame()
	}
	since, watched := c.watched[service]
	switch {
	case blame < negligibleWeight:
		delete(c.watched, service)
	case !watched:
		since = now
		c.watched[service] = now
	}
	for i, member := range members {
		c.judgeBackEnd(now, member, all[i], slices.Concat(all[:i], all[i+1:]), now-since)
	}
}

func (c *Collector) judgeBackEnd(now clock.Ms, b BackEnd, own counts, siblings []counts, collectedFor clock.Ms) {
	h := c.held[b.Key]
	if h == nil {
		h = &heldVerdict{}
	}
	before := h.Verdict
	told := c.own.reachability(now, b.Key)
	h.Verdict = Verdict{
		RefusedShare: judgeRefusals(b, own, siblings, collectedFor, before.RefusedShare),
		Unreachable:  judgeUnreachable(told, before.Unreachable),
	}
	if own.sent >= minimumWeight {
		h.attemptedAt = now
	}
	if told.unreachable > 0 || supportsVerdict(own, siblings) {
		h.supportedAt = now
	}
	if !h.none() || !h.told.none() {
		c.held[b.Key] = h
	}
	if !h.sameKind(before) {
		c.changes = append(c.changes, c.change(b.Key, h.Verdict, own, siblings))
	}
}

func (c *Collector) change(backEnd uint64, v Verdict, own counts, siblings []counts) Change {
	var all counts
	for _, sibling := range siblings {
		all = all.plus(sibling)
	}
	return Change{
		BackEnd: backEnd, Verdict: v, Attempts: own.sent, RefusedShare: own.refusedShare(),
		SiblingsRefusedShare: all.refusedShare(), Nodes: c.own.blamingNodes(backEnd),
	}
}

// TakeChanges returns the changes since the last call.
func (c *Collector) TakeChanges() []Change {
	changes := c.changes
	c.changes = nil
	return changes
}

// total returns the counts of a back end over all groups, and keeps the sum of the own one for NextSums. Whether it can be
// reached may differ from region to region, so other groups are not heard on that.
func (c *Collector) total(now clock.Ms, backEnd uint64) counts {
	total := c.ownSum(now, backEnd)
	c.sums[backEnd] = total
	for _, report := range c.others {
		other := report.sums[backEnd].times(decay(now - report.at))
		other.sent -= other.unreachable
		other.unreachable = 0
		total = total.plus(other)
	}
	return total
}

// ownSum returns the counts of a back end in the own group. Other groups of the region keep the back end as busy.
func (c *Collector) ownSum(now clock.Ms, backEnd uint64) counts {
	sum := c.own.sum(now, backEnd)
	sum.busy /= c.groupShare
	return sum
}

func (c *Collector) forget(now clock.Ms) {
	c.own.forget(now)
	for from, report := range c.others {
		if now-report.at > activeFor {
			delete(c.others, from)
		}
	}
}
