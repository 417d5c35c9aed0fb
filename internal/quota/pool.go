package quota

import (
	"cmp"
	"slices"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

const (
	// pressedDivisor: when less than one in so many tokens of a pool is free, a node gets at most one in so many of the
	// free ones, so that other nodes get some too.
	pressedDivisor = 4
	// scarceDivisor: tokens of a pool are scarce if more than one in so many is in use.
	scarceDivisor = 2
	// retriesPerWindow is how often in a window a node asks an accountant that has no tokens, at least. retriesPerSlot is
	// how many nodes are told to ask again within one slot.
	retriesPerWindow = 5
	retriesPerSlot   = 8
)

// borrowerID identifies a process that borrows tokens. One that was restarted at the same address is another borrower,
// so that what its predecessor has borrowed still counts.
type borrowerID struct {
	address string
	process uint32
}

// loan is a number of tokens that a borrower may use until a moment. Once that has passed without a report, they count as
// used at that moment.
type loan struct {
	sequence uint64
	tokens   int
	until    clock.Ms
	ended    bool
}

// usedTokens is a number of tokens that count as used at a moment of the accountant's clock.
type usedTokens struct {
	at    clock.Ms
	count int
}

// borrower is what an accountant knows of one borrower.
type borrower struct {
	// sequence is that of the last report.
	sequence uint64
	used     []usedTokens
	// held are the unused tokens of the last report. granted are the loans whose grants it did not confirm.
	held    loan
	granted []loan
	// lastUntil is when the last of all loans ends, and lastUse when the last use that was reported counts as made.
	lastUntil clock.Ms
	lastUse   clock.Ms
}

// pool is the accountant's view of one pool of a limit. Each token counts from when it was lent until a window after
// it was used or, if that is not known, after it could be used. It counts as used in the slot in which the report of its
// use would have arrived if it had taken no time, or later, so delays of messages make the count larger and not smaller.
type pool struct {
	limit     Limit
	borrowers map[borrowerID]*borrower
	used      slidingCount
	// lent is the number of tokens of loans that have not ended.
	lent int
	// nextRetry is when the last of the nodes that got no tokens was told to ask again.
	nextRetry clock.Ms
	// owned is set if this node is the accountant of the pool, which it became at ownedSince, and substitute if it is so in the
	// place of a lost one. rankedBy is the version of the ranking by which that was decided.
	owned      bool
	substitute bool
	ownedSince clock.Ms
	rankedBy   uint64
	// unknownUntil is until when tokens may be in use whose uses were forgotten under a shorter window.
	unknownUntil clock.Ms
	// windowTold is when a borrower last told the window in force.
	windowTold clock.Ms
	// touched is when a node last reported, advancedTo the slot in which loans were last ended.
	touched    clock.Ms
	advancedTo int64
}

func newPool(limit Limit) *pool {
	return &pool{limit: limit, borrowers: map[borrowerID]*borrower{}, used: newSlidingCount(limit.Window)}
}

// setLimit puts another limit in force. What was used and lent counts on. Under a longer window, tokens may be in use whose
// uses had left the shorter one.
func (p *pool) setLimit(now clock.Ms, limit Limit) {
	earlier := p.limit
	p.limit = limit
	if limit.Window == earlier.Window {
		return
	}
	if longer := limit.Window - earlier.Window; longer > 0 {
		p.unknownUntil = now + longer + slotWidth(limit.Window)*(1+spareSlots)
	}
	p.used, p.advancedTo = newSlidingCount(limit.Window), -1
	p.used.advance(now)
	for _, b := range p.borrowers {
		for _, u := range b.used {
			p.used.add(p.used.slot(u.at), u.count)
		}
		for _, l := range append(b.granted, b.held) {
			if l.ended {
				p.used.add(p.used.slot(l.until), l.tokens)
			}
		}
	}
}

// longestWindow returns the longest window that borrowers have told lately, the last one included. Nodes differ in it while
// the configuration changes. A longer window counts all that a shorter one does.
func (p *pool) longestWindow(now, told clock.Ms) clock.Ms {
	if told < p.limit.Window && now-p.windowTold < p.inDoubtFor() {
		return p.limit.Window
	}
	p.windowTold = now
	return told
}

// inUse returns how many tokens are used or lent.
func (p *pool) inUse() int { return p.used.sum + p.lent }

// advance ends the loans whose time has passed, and forgets borrowers of which nothing counts any more. It looks at the
// borrowers once per slot.
func (p *pool) advance(now clock.Ms) {
	p.used.advance(now)
	if p.advancedTo == p.used.newest {
		return
	}
	p.advancedTo = p.used.newest
	forgetAfter := p.limit.Window + slotWidth(p.limit.Window)*(spareSlots+2)
	for id, b := range p.borrowers {
		p.end(now, &b.held)
		for i := range b.granted {
			p.end(now, &b.granted[i])
		}
		if now-max(b.lastUntil, b.lastUse) > forgetAfter {
			p.forget(b)
			delete(p.borrowers, id)
		}
	}
}

func (p *pool) end(now clock.Ms, l *loan) {
	if l.ended || l.until > now {
		return
	}
	l.ended = true
	p.lent -= l.tokens
	p.used.add(p.used.slot(l.until), l.tokens)
}

// settle removes a loan from the count.
func (p *pool) settle(l *loan) {
	if l.ended {
		p.used.add(p.used.slot(l.until), -l.tokens)
	} else {
		p.lent -= l.tokens
	}
	*l = loan{ended: true}
}

func (p *pool) forget(b *borrower) {
	for _, u := range b.used {
		p.used.add(p.used.slot(u.at), -u.count)
	}
	b.used = b.used[:0]
	p.settle(&b.held)
	for i := range b.granted {
		p.settle(&b.granted[i])
	}
	b.granted = b.granted[:0]
}

// lend lends tokens to a borrower for a while.
func (p *pool) lend(now clock.Ms, b *borrower, sequence uint64, tokens int, duration clock.Ms) {
	l := loan{sequence: sequence, tokens: tokens, until: now + duration}
	b.granted = append(b.granted, l)
	b.lastUntil = max(b.lastUntil, l.until)
	p.lent += tokens
}

// report replaces what is known of a borrower. It returns nil if a later report has come before. A report on tokens that
// were lent by another process tells nothing of this pool.
func (p *pool) report(now clock.Ms, id borrowerID, granter uint32, use *message.QuotaUse) *borrower {
	b := p.borrowers[id]
	if b == nil {
		b = &borrower{held: loan{ended: true}, lastUntil: now}
		p.borrowers[id] = b
	}
	if use.Sequence <= b.sequence {
		return nil
	}
	b.sequence = use.Sequence
	if use.Granter != granter {
		return b
	}
	unconfirmed := make([]loan, 0, len(b.granted))
	for i := range b.granted {
		if b.granted[i].sequence > use.Received {
			unconfirmed = append(unconfirmed, b.granted[i])
			b.granted[i] = loan{ended: true}
		}
	}
	p.forget(b)
	b.granted = unconfirmed
	for _, u := range use.Used {
		at := now - clock.Ms(min(u.AgeMs, uint64(now)))
		b.lastUse = max(b.lastUse, at)
		p.used.add(p.used.slot(at), int(u.Count))
		b.used = append(b.used, usedTokens{at: at, count: int(u.Count)})
	}
	b.held = loan{tokens: int(use.Held), until: b.lastUntil}
	p.lent += b.held.tokens
	p.end(now, &b.held)
	return b
}

// available returns how many of the wanted tokens a node gets of a pool that may lend a number of tokens.
func (p *pool) available(capacity, wanted int) int {
	free := capacity - p.inUse()
	if free <= 0 {
		return 0
	}
	if free*pressedDivisor < capacity {
		return min(wanted, max(1, free/pressedDivisor))
	}
	return min(wanted, free)
}

// scarce reports whether tokens are scarce.
func (p *pool) scarce(capacity int) bool { return p.inUse()*scarceDivisor > capacity }

// roomAfter returns how long it takes at most until a number of tokens are free, if the unused ones come back.
func (p *pool) roomAfter(now clock.Ms, wanted int) clock.Ms {
	after := p.used.roomAfter(now, wanted)
	returned := 0
	for _, l := range p.openLoans() {
		returned += l.tokens
		leaveUsed := clock.Ms(0)
		if returned < wanted {
			leaveUsed = p.used.roomAfter(now, wanted-returned)
		}
		after = min(after, max(l.until-now, leaveUsed))
	}
	return after
}

// openLoans returns the loans that have not ended, the one that ends first first.
func (p *pool) openLoans() []loan {
	var open []loan
	for _, b := range p.borrowers {
		for _, l := range append(b.granted, b.held) {
			if !l.ended && l.tokens > 0 {
				open = append(open, l)
			}
		}
	}
	slices.SortFunc(open, func(a, b loan) int { return cmp.Compare(a.until, b.until) })
	return open
}

// retryTimes returns when it is worth while to ask again, and when tokens are expected to be free. Nodes are told times
// one after the other, so that an accountant is not asked by all at once, however many they are.
func (p *pool) retryTimes(now clock.Ms, capacity int) (retry, room clock.Ms) {
	if capacity <= 0 {
		return p.limit.Window, p.limit.Window
	}
	room = max(p.used.width/2, p.roomAfter(now, p.inUse()-capacity+1))
	p.nextRetry = max(p.nextRetry, now) + p.used.width/retriesPerSlot
	p.nextRetry = min(p.nextRetry, now+p.limit.Window)
	return max(min(room, p.limit.Window/retriesPerWindow), p.nextRetry-now), room
}
