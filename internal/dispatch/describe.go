package dispatch

import (
	"time"

	"stiletrail/internal/query"
)

// DescribeDone takes in the answer to a Describe; ok is false where there was none. Health alone never takes out a
// back end that answers its attempts.
func (c *Core) DescribeDone(now time.Duration, service, address string, holding query.Holding, ok bool) []Action {
	for _, g := range c.orderedGroups() {
		if g.Service != service {
			continue
		}
		for _, b := range g.backEnds {
			if b.address == address {
				c.described(now, g, b, holding, ok)
			}
		}
	}
	return c.take()
}

func (c *Core) described(now time.Duration, g *group, b *backEnd, holding query.Holding, ok bool) {
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
	c.pump(now, g, b)
}

// A group without a sub-query for quietAfter has its back ends described quietFactor times as rarely.
const (
	quietAfter  = 10 * time.Second
	quietFactor = 4
)

func (c *Core) describeInterval(now time.Duration, g *group) time.Duration {
	if now-g.lastUsed > quietAfter {
		return quietFactor * c.settings.DescribeInterval
	}
	return c.settings.DescribeInterval
}

// TickBackEnds asks the back ends whose turn has come what they hold; call it a few times per describe interval.
func (c *Core) TickBackEnds(now time.Duration) []Action {
	c.forgetRoots(now)
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
	return c.take()
}

// ForgetHoldings forgets what back ends said before the process was frozen, and asks them again at once.
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
