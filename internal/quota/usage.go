package quota

import (
	"math"
	"slices"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

const (
	// demandPeriods is the number of periods in a window by which demand is measured.
	demandPeriods = 5
	// stockPeriods is for how many of these periods a node holds tokens in advance, by the demand of the last one.
	stockPeriods = 0.05
	// regularUses is the number of uses within the last two periods from which a node holds one token in advance.
	regularUses = 2
)

// usage is what this node uses of one limit.
type usage struct {
	key     LimitID
	limit   Limit
	ledgers []*ledger
	// rankedBy is the version of the ranking by which the accountants were chosen.
	rankedBy uint64
	// unmet is the number of tokens that were asked for in vain since the last report that asks for tokens.
	unmet int
	// demand counts what was asked for in the current period and in the one before it.
	demand       [2]int
	demandPeriod int64
	lastAsked    clock.Ms
	// refusals is the number of refusals since the last grant. They are told different times to come back.
	refusals int
}

// assign makes the owners that a ranking names the accountants of the pools, and orders them: this node itself, the
// nodes of its region, the others. The order of the others differs between nodes.
func (u *usage) assign(r *ranking, self string, linkTo func(string) *link) {
	for _, l := range u.ledgers {
		l.current = false
	}
	for pool := range uint8(poolCount) {
		owner := r.owner(u.key, pool)
		u.ledgerOf(pool, owner, linkTo(owner)).current = true
	}
	order := mix(uint64(u.key) ^ hashOf(self))
	rank := func(l *ledger) int {
		switch {
		case l.owner == self:
			return 0
		case r.regions[l.owner] == r.regions[self]:
			return 1
		}
		return 2 + int((order+uint64(l.pool))%poolCount)
	}
	slices.SortStableFunc(u.ledgers, func(a, b *ledger) int { return rank(a) - rank(b) })
}

func (u *usage) ledgerOf(pool uint8, owner string, way *link) *ledger {
	for _, l := range u.ledgers {
		if l.pool == pool && l.owner == owner {
			return l
		}
	}
	l := newLedger(pool, owner, way)
	u.ledgers = append(u.ledgers, l)
	return l
}

// advance brings all ledgers up to date.
func (u *usage) advance(now clock.Ms) {
	for _, l := range u.ledgers {
		l.advance(now, u.limit.Window)
	}
	u.ledgers = slices.DeleteFunc(u.ledgers, func(l *ledger) bool { return !l.current && len(l.used) == 0 && len(l.leases) == 0 })
}

// setLimit puts another limit in force. Tokens that were lent under a higher limit or another window are not used any more.
func (u *usage) setLimit(limit Limit) {
	if limit.Bound < u.limit.Bound || limit.Window != u.limit.Window {
		for _, l := range u.ledgers {
			l.changeWindow(u.limit.Window, limit.Window)
			l.reportDue = l.reportDue || l.held() > 0
			l.leases = nil
		}
	}
	u.limit = limit
}

// recordDemand counts tokens that are asked for.
func (u *usage) recordDemand(now clock.Ms, count int) {
	period := int64(now * demandPeriods / u.limit.Window)
	switch period - u.demandPeriod {
	case 0:
	case 1:
		u.demand = [2]int{0, u.demand[0]}
	default:
		u.demand = [2]int{}
	}
	u.demandPeriod = period
	u.demand[0] += count
	u.lastAsked = now
}

// stock returns how many unused tokens this node should have. While tokens are scarce, it holds none for a demand that
// may not come.
func (u *usage) stock(scarce bool) int {
	expected := stockPeriods * float64(max(u.demand[0], u.demand[1]))
	if scarce {
		return int(expected)
	}
	if u.demand[0]+u.demand[1] < regularUses {
		return 0
	}
	return int(math.Ceil(expected))
}

// dropSurplus drops the scarce tokens that this node does not expect to use, so that others get them.
func (u *usage) dropSurplus() {
	surplus := u.held() - u.stock(true)
	for _, l := range u.ledgers {
		if surplus > 0 && l.scarce {
			dropped := min(surplus, l.held())
			l.drop(dropped)
			surplus -= dropped
		}
	}
}

// held returns the number of unused tokens of all accountants.
func (u *usage) held() int {
	total := 0
	for _, l := range u.ledgers {
		total += l.held()
	}
	return total
}

// next returns the accountant to ask now, or nil if there is none. Usually one is asked at a time, and another one only
// when the answer of the first is overdue. While one has no tokens, all others are asked together, since there may be no
// time to ask one after the other.
func (u *usage) next(now clock.Ms) *ledger {
	var found *ledger
	waiting, exhausted := false, false
	for _, l := range u.ledgers {
		switch {
		case !l.current || l.owner == "":
		case l.link.away || now < l.retryAt:
			exhausted = true
		case l.asking():
			waiting = waiting || !l.overdue(now)
		case found == nil || now >= l.link.silentUntil && now < found.link.silentUntil:
			found = l
		}
	}
	if waiting && !exhausted {
		return nil
	}
	return found
}

// inUse returns what all accountants have last told, and when the oldest of them did.
func (u *usage) inUse() (total int, heardAt clock.Ms) {
	heardAt = math.MaxInt64
	for _, l := range u.ledgers {
		if l.current {
			total += l.inUse
			heardAt = min(heardAt, l.heardAt)
		}
	}
	return total, heardAt
}

// waitUntil returns when the first answer that is waited for is overdue or abandoned.
func (u *usage) waitUntil(now clock.Ms) clock.Ms {
	until := now + abandonAfter
	for _, l := range u.ledgers {
		switch {
		case !l.current || !l.asking():
		case l.overdue(now):
			until = min(until, l.askedAt+abandonAfter)
		default:
			until = min(until, l.overdueAt())
		}
	}
	return until
}

// roomAt returns when the first accountant expects to have tokens.
func (u *usage) roomAt() clock.Ms {
	at := clock.Ms(math.MaxInt64)
	for _, l := range u.ledgers {
		if l.current {
			at = min(at, l.roomAt)
		}
	}
	return at
}

// idle reports whether nothing is left to remember.
func (u *usage) idle(now clock.Ms) bool {
	if now-u.lastAsked < u.limit.Window {
		return false
	}
	return !slices.ContainsFunc(u.ledgers, func(l *ledger) bool {
		return l.reportDue || l.asking() || len(l.used) > 0 || len(l.leases) > 0
	})
}

// receive applies a grant of an accountant. It returns false if the grant is not waited for any more.
func (u *usage) receive(now clock.Ms, from string, granter uint32, g *message.QuotaLease) bool {
	for _, l := range u.ledgers {
		if l.pool == g.Pool && l.owner == from {
			received := l.receive(now, granter, g)
			if received && g.Tokens > 0 {
				u.refusals = 0
			}
			return received
		}
	}
	return false
}
