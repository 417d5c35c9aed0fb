package quota

import (
	"slices"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

// Take takes a number of tokens of a limit, which must be the same for all that share the key.
func (h *Holder) Take(now clock.Ms, key LimitID, limit Limit, count int) TakeResult {
	u := h.usage(now, key, limit)
	u.recordDemand(now, count)
	for range poolCount + 1 {
		if token, taken := h.takeHeld(now, u, count); taken {
			h.counters.Taken += uint64(count)
			h.refill(now, u)
			return Granted{Token: token}
		}
		source := u.next(now)
		if source == nil {
			break
		}
		// An accountant that is this node itself answers at once.
		h.ask(now, u, source, count+max(u.unmet, u.stock(source.scarce)))
	}
	return h.lack(now, u, count)
}

// lack returns the verdict while there is no token.
func (h *Holder) lack(now clock.Ms, u *usage, count int) TakeResult {
	if slices.ContainsFunc(u.ledgers, func(l *ledger) bool { return l.current && l.asking() }) {
		u.unmet += count
		return Pending{Until: u.waitUntil(now)}
	}
	inUse, heardAt := u.inUse()
	below := float64(inUse) < u.limit.Allowed
	u.refusals++
	pace := clock.Ms(float64(u.limit.Window) / max(1, u.limit.Allowed))
	retryAfter := max(u.roomAt()-now, slotWidth(u.limit.Window)) + pace*clock.Ms(u.refusals)
	return Exceeded{RetryAfter: min(retryAfter, u.limit.Window), InUse: inUse, Age: now - heardAt, Below: below}
}

func (h *Holder) takeHeld(now clock.Ms, u *usage, count int) (Token, bool) {
	for _, l := range u.ledgers {
		if token, taken := l.take(now, u.limit.Window, count); taken {
			return token, true
		}
	}
	return Token{}, false
}

// refill asks for tokens in advance, so that the next request need not wait.
func (h *Holder) refill(now clock.Ms, u *usage) {
	source := u.next(now)
	if source == nil {
		return
	}
	if missing := u.stock(source.scarce) - u.held(); missing > 0 {
		h.ask(now, u, source, missing)
	}
}

func (h *Holder) ask(now clock.Ms, u *usage, l *ledger, wanted int) {
	u.unmet = 0
	h.send(now, u, l, wanted)
}

// send sends a report to the accountant of a ledger, and takes the answer at once if that is this node.
func (h *Holder) send(now clock.Ms, u *usage, l *ledger, wanted int) {
	h.sequence++
	h.counters.Reports++
	use := l.report(now, h.sequence, u.key, u.limit, wanted)
	if l.owner == h.self.Address {
		report := &message.QuotaReport{Borrower: h.self.Process, Uses: []message.QuotaUse{use}}
		if answer := h.accountant.receive(now, h.self.Address, report); answer != nil {
			u.receive(now, l.owner, answer.Granter, &answer.Grants[0])
		}
		return
	}
	pending := h.reports[l.owner]
	if pending == nil {
		pending = &message.QuotaReport{Borrower: h.self.Process}
		h.reports[l.owner] = pending
	}
	pending.Uses = append(pending.Uses, use)
}

// askForUnmet asks for the tokens that are still missing after a grant. Whoever waits for them asks again for its own
// afterwards.
func (h *Holder) askForUnmet(now clock.Ms, u *usage) {
	missing := u.unmet - u.held()
	u.unmet = 0
	for missing > 0 {
		source := u.next(now)
		if source == nil {
			return
		}
		before := u.held()
		h.ask(now, u, source, missing)
		missing -= u.held() - before
	}
}
