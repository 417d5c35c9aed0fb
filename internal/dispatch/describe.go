package dispatch

import (
	"time"

	"stiletrail/internal/query"
)

// DescribeDone handles the answer to a Describe; ok is false if the back end did not answer. Missing answers alone
// never eject a back end that answers its attempts.
func (c *Core) DescribeDone(now time.Duration, service, address string, holding query.Holding, ok bool) []Action {
	for _, g := range c.orderedGroups() {
		if g.Service != service {
			continue
		}
		for _, b := range g.backEnds {
			if b.address == address {
				c.recordDescription(now, g, b, holding, ok)
			}
		}
	}
	return c.takeActions()
}

// recordDescription applies the answer of one back end, and counts a missing answer as a failure only if the back end
// has not answered any attempt lately either.
func (c *Core) recordDescription(now time.Duration, g *group, b *backEnd, holding query.Holding, ok bool) {
	b.describing = false
	b.nextDescribe = now + c.describeInterval(now, g)
	if !ok {
		if now-b.lastSuccess >= c.settings.DescribeInterval || !b.succeededOnce {
			b.failures++
			if b.failures >= c.settings.FailuresToEject {
				c.eject(now, g, b)
			}
		}
		return
	}
	b.observe(now, holding)
	if b.draining != 0 {
		c.requeue(now, g, b)
		return
	}
	c.startQueued(now, g, b)
}

// The back ends of a group that has received no sub-query for idleAfter are described at idleFactor times the usual
// interval.
const (
	idleAfter  = 10 * time.Second
	idleFactor = 4
)

// describeInterval is the time between two descriptions of a back end in a group.
func (c *Core) describeInterval(now time.Duration, g *group) time.Duration {
	if now-g.lastUsed > idleAfter {
		return idleFactor * c.settings.DescribeInterval
	}
	return c.settings.DescribeInterval
}

// TickBackEnds emits a Describe for each back end whose description is due. Call it several times per
// Settings.DescribeInterval.
func (c *Core) TickBackEnds(now time.Duration) []Action {
	c.expireRoots(now)
	for _, g := range c.orderedGroups() {
		interval := c.describeInterval(now, g)
		for _, b := range g.backEnds {
			if b.describing || now < b.nextDescribe || now-b.lastHeard < interval && b.described {
				continue
			}
			b.describing = true
			c.emit(Describe{Service: g.Service, BackEnd: b.address})
		}
	}
	return c.takeActions()
}

// ForgetHoldings discards the descriptions of all back ends and requests new ones at once. It is called after the
// process was frozen, because the descriptions may then be outdated.
func (c *Core) ForgetHoldings(now time.Duration) []Action {
	for _, g := range c.groups {
		g.changedAt = now
		for _, b := range g.backEnds {
			b.described = false
			b.describing = false
			b.nextDescribe = now
		}
	}
	return c.TickBackEnds(now)
}
