package quota

import (
	"slices"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

const (
	// overdueRoundTrips is the number of usual round trips, and overdueMargin the time beyond them, after which another
	// accountant is asked as well.
	overdueRoundTrips = 2
	overdueMargin     = 10 * clock.Ms(1)
	// abandonAfter is how long an answer is waited for. Tokens that come later are not used.
	abandonAfter = 500 * clock.Ms(1)
)

// lease is a number of tokens that this node may use until a moment.
type lease struct {
	tokens int
	until  clock.Ms
}

// usedSlot is a number of tokens that were used in a slot of this node's clock.
type usedSlot struct {
	slot  int64
	count int
}

// ledger is what this node has borrowed from one pool.
type ledger struct {
	pool uint8
	// current is false once another node has become the accountant. The ledger is then kept until its uses have left the
	// window, since the accountant may return.
	current bool
	// owner is the address of the accountant, and granter its process as the last grant told it.
	owner   string
	granter uint32
	// sequence is that of the last report, received that of the last one whose answer is not waited for.
	sequence uint64
	received uint64
	leases   []lease
	used     []usedSlot
	// askedAt is when the answer that is waited for was asked for. It is negative while there is none.
	askedAt clock.Ms
	// link is what is known of the way to the accountant.
	link *link
	// retryAt is when an accountant that had no tokens may be asked again, and roomAt when it expects to have some.
	retryAt clock.Ms
	roomAt  clock.Ms
	// inUse and scarce are what the last grant told of the pool, at heardAt.
	inUse   int
	scarce  bool
	heardAt clock.Ms
	// reportDue is set if the accountant should be told of uses or unused tokens although no tokens are needed.
	reportDue bool
}

func newLedger(pool uint8, owner string, way *link) *ledger {
	return &ledger{pool: pool, owner: owner, askedAt: -1, link: way}
}

func (l *ledger) asking() bool { return l.askedAt >= 0 }

func (l *ledger) overdue(now clock.Ms) bool {
	return l.asking() && now >= l.overdueAt()
}

func (l *ledger) overdueAt() clock.Ms {
	return l.askedAt + overdueRoundTrips*l.link.roundTrip + overdueMargin
}

// held returns the number of unused tokens.
func (l *ledger) held() int {
	total := 0
	for _, e := range l.leases {
		total += e.tokens
	}
	return total
}

// advance drops the leases that have ended, the uses that have left the window, and the wait for an answer that does not
// come.
func (l *ledger) advance(now, window clock.Ms) {
	l.leases = slices.DeleteFunc(l.leases, func(e lease) bool {
		if e.until > now {
			return false
		}
		l.reportDue = true
		return true
	})
	width := slotWidth(window)
	l.used = slices.DeleteFunc(l.used, func(u usedSlot) bool { return clock.Ms(u.slot+1+spareSlots)*width+window <= now })
	if l.asking() && now-l.askedAt >= abandonAfter {
		l.received, l.askedAt, l.reportDue = l.sequence, -1, true
		l.link.markSilent(now)
	}
}

// take takes tokens, first of the leases that end first.
func (l *ledger) take(now, window clock.Ms, count int) (Token, bool) {
	if l.held() < count {
		return Token{}, false
	}
	token := Token{pool: l.pool, granter: l.granter, count: count, takenAt: now, until: l.leases[0].until}
	l.remove(count)
	l.use(now, window, count)
	return token, true
}

// remove removes unused tokens, first those of the leases that end first.
func (l *ledger) remove(count int) {
	for i := 0; count > 0; i++ {
		removed := min(count, l.leases[i].tokens)
		l.leases[i].tokens -= removed
		count -= removed
	}
	l.leases = slices.DeleteFunc(l.leases, func(e lease) bool { return e.tokens == 0 })
}

// drop removes unused tokens and has the accountant told.
func (l *ledger) drop(count int) {
	if count > 0 {
		l.remove(count)
		l.reportDue = true
	}
}

func (l *ledger) use(at, window clock.Ms, count int) {
	slot := int64(at / slotWidth(window))
	if last := len(l.used) - 1; last >= 0 && l.used[last].slot == slot {
		l.used[last].count += count
	} else {
		l.used = append(l.used, usedSlot{slot: slot, count: count})
	}
	l.reportDue = l.reportDue || l.scarce
}

// changeWindow brings the uses under another window. They count as made at the ends of their slots.
func (l *ledger) changeWindow(from, to clock.Ms) {
	for i := range l.used {
		end := clock.Ms(l.used[i].slot+1)*slotWidth(from) - 1
		l.used[i].slot = int64(end / slotWidth(to))
	}
}

// giveBack makes tokens unused again. Those whose lease has ended are only reported as not used.
func (l *ledger) giveBack(now, window clock.Ms, t Token) {
	slot := int64(t.takenAt / slotWidth(window))
	for i := range l.used {
		if l.used[i].slot == slot && l.used[i].count >= t.count {
			l.used[i].count -= t.count
			l.reportDue = true
			if t.until > now {
				l.leases = append(l.leases, lease{tokens: t.count, until: t.until})
			}
			return
		}
	}
}

// report returns a report with a sequence above those of all reports before. It asks for a number of tokens if it is not 0.
func (l *ledger) report(now clock.Ms, sequence uint64, key LimitID, limit Limit, wanted int) message.QuotaUse {
	l.sequence = sequence
	if wanted > 0 {
		l.askedAt = now
	}
	if !l.asking() {
		l.received = sequence
	}
	l.reportDue = false
	use := message.QuotaUse{
		Key: uint64(key), Pool: l.pool, Granter: l.granter, Sequence: l.sequence, Received: l.received, Held: uint64(l.held()),
		Wanted: uint64(wanted), WindowMs: uint64(limit.Window),
		AllowedThousandths: uint64(limit.Allowed * 1000), BoundThousandths: uint64(limit.Bound * 1000),
	}
	width := slotWidth(limit.Window)
	for _, u := range l.used {
		if u.count > 0 {
			age := max(0, now-clock.Ms(u.slot+1)*width)
			use.Used = append(use.Used, message.QuotaSlot{AgeMs: uint64(age), Count: uint64(u.count)})
		}
	}
	return use
}

// receive applies a grant. It returns false if the grant is not waited for any more.
func (l *ledger) receive(now clock.Ms, granter uint32, g *message.QuotaLease) bool {
	if !l.asking() || g.Sequence <= l.received || g.Sequence > l.sequence {
		return false
	}
	if granter != l.granter {
		l.leases, l.used, l.granter = nil, nil, granter
	}
	asked := l.askedAt
	l.received, l.askedAt = g.Sequence, -1
	l.link.markAnswered(now - asked)
	l.inUse, l.scarce, l.heardAt = int(g.InUse), g.Scarce, now
	l.retryAt, l.roomAt = now+clock.Ms(g.RetryMs), now+clock.Ms(g.RoomMs)
	if until := asked + clock.Ms(g.ValidMs); g.Tokens > 0 && until > now {
		l.leases = append(l.leases, lease{tokens: int(g.Tokens), until: until})
	}
	return true
}
