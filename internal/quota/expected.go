package quota

import "stiletrail/internal/clock"

// heardLifetime is how long what an accountant has told of its tokens is believed.
const heardLifetime = clock.Second

// Free returns how many tokens of a limit this node has or can expect to get. Those of accountants that have no tokens or do
// not answer do not count. Those of accountants that have not told anything lately all count.
func (h *Holder) Free(now clock.Ms, key LimitID, limit Limit) int {
	u := h.usages[key]
	if u == nil {
		return limit.working()
	}
	u.advance(now)
	free := u.held()
	for _, l := range u.ledgers {
		free += l.free(now, limit)
	}
	return free
}

// Ask makes sure that this node has an unused token of a limit, or asks for one. It reports whether an answer is expected.
// Messages may be due afterwards.
func (h *Holder) Ask(now clock.Ms, key LimitID, limit Limit) bool {
	u := h.usage(now, key, limit)
	u.lastAsked = now
	if u.held() == 0 {
		if source := u.next(now); source != nil {
			h.ask(now, u, source, max(1, u.stock(source.scarce)))
		}
	}
	return u.held() > 0 || u.waiting(now)
}

// free returns how many tokens the accountant of a ledger can be expected to lend.
func (l *ledger) free(now clock.Ms, limit Limit) int {
	share := poolShare(limit.working(), l.pool)
	switch {
	case !l.current, l.owner == "", now < l.retryAt, now < l.link.silentUntil:
		return 0
	case l.heardAt > 0 && now-l.heardAt < heardLifetime:
		return max(0, share-l.inUse)
	}
	return share
}

// waiting reports whether an answer of an accountant is expected.
func (u *usage) waiting(now clock.Ms) bool {
	for _, l := range u.ledgers {
		if l.current && l.asking() && !l.overdue(now) {
			return true
		}
	}
	return false
}

// RoomAt returns when this node can expect to get a token of a limit, at the earliest.
func (h *Holder) RoomAt(now clock.Ms, key LimitID, limit Limit) clock.Ms {
	if h.Free(now, key, limit) > 0 {
		return now
	}
	return max(now, h.usage(now, key, limit).roomAt())
}
