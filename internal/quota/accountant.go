package quota

import (
	"math"
	"slices"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

const (
	// rankingSpread is how long it takes until all nodes know of a change of the members.
	rankingSpread = 5 * clock.Second
	// settleTime is how long the members must have been the same until a node that has just started lends tokens. Nodes
	// that start together know different members at first, and so each could think that it is the accountant.
	settleTime = clock.Second / 2
	// maximumRankings is the number of earlier rankings that are kept to know since when this node has been the accountant
	// of a pool.
	maximumRankings = 32
	// notReadyRetry is when a node may ask again that has asked an accountant which does not lend yet, or the wrong one.
	notReadyRetry = 100 * clock.Ms(1)
)

// poolID identifies a pool of a limit.
type poolID struct {
	key  LimitID
	pool uint8
}

// accountant lends the tokens of the pools that belong to this node.
type accountant struct {
	self      string
	process   uint32
	startedAt clock.Ms
	// current returns the limit of a key in the configuration in force. A key that it does not know has the limit that the
	// borrower tells.
	current func(LimitID) (Limit, bool)
	pools   map[poolID]*pool
	// rankings are the last rankings, the current one last.
	rankings []ranking
	versions uint64
	// lastGrowth is when a member was first heard of. joined is set once the members of the fleet are known.
	lastGrowth clock.Ms
	joined     bool
	// reach is the part of the known members that have not been away for long. earlierReach holds smaller parts from
	// before, with when they ended.
	reach        float64
	earlierReach []endedReach
	// standing is what the store says of this process, nil if it says nothing of processes.
	standing *Standing
	// startSpread is for how much longer than usual this process counts as starting.
	startSpread clock.Ms
}

// endedReach is a part of the members that were reached until a moment.
type endedReach struct {
	reach float64
	until clock.Ms
}

// setReach changes the part of the members that are reached.
func (a *accountant) setReach(now clock.Ms, reach float64) {
	if reach > a.reach {
		a.earlierReach = append(a.earlierReach, endedReach{reach: a.reach, until: now})
	}
	a.reach = reach
}

// lowestReach returns the smallest part of the members that were reached within the last time in which another accountant
// of the pool may have lent the rest: one on the other side of a cut, which does not know yet that the cut has ended.
func (a *accountant) lowestReach(now clock.Ms, p *pool) float64 {
	lowest := a.reach
	for _, earlier := range a.earlierReach {
		if now-earlier.until < p.inDoubtFor()+rankingSpread {
			lowest = min(lowest, earlier.reach)
		}
	}
	return lowest
}

func (a *accountant) ranking() *ranking { return &a.rankings[len(a.rankings)-1] }

// rank puts a ranking in force, if it differs from the current one.
func (a *accountant) rank(r ranking) {
	if len(a.rankings) > 0 && a.ranking().sameCandidates(&r) {
		return
	}
	a.versions++
	r.version = a.versions
	if len(a.rankings) == maximumRankings {
		a.rankings = a.rankings[1:]
	}
	a.rankings = append(a.rankings, r)
}

// receive applies a report and returns the answer, or nil if no tokens are asked for.
func (a *accountant) receive(now clock.Ms, from string, m *message.QuotaReport) *message.QuotaGrant {
	answer := &message.QuotaGrant{Granter: a.process}
	for i := range m.Uses {
		if lease, due := a.apply(now, borrowerID{from, m.Borrower}, &m.Uses[i]); due {
			answer.Grants = append(answer.Grants, lease)
		}
	}
	if len(answer.Grants) == 0 {
		return nil
	}
	return answer
}

// apply applies the report on one pool. It returns false if no answer is due.
func (a *accountant) apply(now clock.Ms, from borrowerID, use *message.QuotaUse) (message.QuotaLease, bool) {
	limit, valid := a.limitOf(now, use)
	if !valid || !countable(use) {
		return message.QuotaLease{}, false
	}
	p := a.pool(now, poolID{LimitID(use.Key), use.Pool}, limit)
	p.advance(now)
	b := p.report(now, from, a.process, use)
	if b == nil || use.Wanted == 0 {
		return message.QuotaLease{}, false
	}
	return a.lease(now, p, b, use), true
}

// countable reports whether the counts of a report are so small that their sum is a number.
func countable(use *message.QuotaUse) bool {
	tooMany := func(slot message.QuotaSlot) bool { return slot.Count > math.MaxInt32 }
	return use.Held <= math.MaxInt32 && !slices.ContainsFunc(use.Used, tooMany)
}

func (a *accountant) lease(now clock.Ms, p *pool, b *borrower, use *message.QuotaUse) message.QuotaLease {
	lease := message.QuotaLease{Key: use.Key, Pool: use.Pool, Sequence: use.Sequence}
	if retry := a.untilReady(now, p); retry > 0 {
		lease.RetryMs, lease.RoomMs = uint64(notReadyRetry), uint64(retry)
		return lease
	}
	capacity := a.capacity(now, p, use.Pool)
	tokens := p.available(capacity, int(min(use.Wanted, uint64(max(0, capacity)))))
	if tokens > 0 {
		duration := p.limit.leaseDuration()
		p.lend(now, b, use.Sequence, tokens, duration)
		lease.Tokens, lease.ValidMs = uint64(tokens), uint64(duration)
	} else {
		retry, room := p.retryTimes(now, capacity)
		lease.RetryMs, lease.RoomMs = uint64(retry), uint64(room)
	}
	lease.InUse = uint64(p.inUse())
	lease.Scarce = p.scarce(capacity)
	return lease
}

// limitOf returns the limit that a report is about. It returns false if there is none.
func (a *accountant) limitOf(now clock.Ms, use *message.QuotaUse) (Limit, bool) {
	if use.Pool >= poolCount {
		return Limit{}, false
	}
	if a.current != nil {
		if limit, known := a.current(LimitID(use.Key)); known {
			return limit, true
		}
	}
	const thousandths = 1000
	limit := Limit{
		Window: clock.Ms(use.WindowMs), Allowed: float64(use.AllowedThousandths) / thousandths,
		Bound: float64(use.BoundThousandths) / thousandths,
	}
	if p := a.pools[poolID{LimitID(use.Key), use.Pool}]; p != nil {
		limit.Window = p.longestWindow(now, limit.Window)
	}
	return limit, limit.Window > 0 && limit.Window <= maximumWindow && limit.Bound >= limit.Allowed
}

// pool returns the state of a pool with the limit and the accountant that are in force.
func (a *accountant) pool(now clock.Ms, id poolID, limit Limit) *pool {
	p := a.pools[id]
	if p == nil {
		p = newPool(limit)
		p.owned, p.ownedSince = a.ownedSince(now, id)
		_, p.substitute = a.ranking().assigned(id.key, id.pool)
		p.rankedBy = a.ranking().version
		a.pools[id] = p
	}
	p.setLimit(now, limit)
	p.touched = now
	if ranking := a.ranking(); p.rankedBy != ranking.version {
		a.rankAgain(now, id, p)
	}
	return p
}

// ownedSince returns whether this node is the accountant of a pool, and since when as far as it remembers.
func (a *accountant) ownedSince(now clock.Ms, id poolID) (owned bool, since clock.Ms) {
	since = now
	for i := len(a.rankings) - 1; i >= 0 && a.rankings[i].owner(id.key, id.pool) == a.self; i-- {
		owned, since = true, a.rankings[i].since
	}
	return owned, since
}

// rankAgain finds again whether this node is the accountant of a pool. It still is the one that it was earlier if no ranking
// since then had another, although earlier rankings may have been forgotten.
func (a *accountant) rankAgain(now clock.Ms, id poolID, p *pool) {
	owned, since := a.ownedSince(now, id)
	for _, r := range a.rankings {
		if remembered := r.version == p.rankedBy; remembered && owned && p.owned && since <= r.since {
			since = min(since, p.ownedSince)
		}
	}
	p.owned, p.ownedSince, p.rankedBy = owned, since, a.ranking().version
	_, p.substitute = a.ranking().assigned(id.key, id.pool)
}

// inDoubtFor returns how long the tokens count that another process has lent of a pool until now.
func (p *pool) inDoubtFor() clock.Ms {
	return p.limit.Window + p.limit.leaseDuration() + p.used.width*(1+spareSlots)
}

// startsUntil returns until when tokens may be in use that an earlier process of this node has lent, or others in its place.
func (a *accountant) startsUntil(p *pool) clock.Ms {
	return a.startedAt + p.inDoubtFor() + a.startSpread
}

// starting reports whether such tokens may be in use.
func (a *accountant) starting(now clock.Ms, p *pool) bool { return now < a.startsUntil(p) }

// ready reports whether this node is known to be the accountant of a pool.
func (a *accountant) ready(now clock.Ms, p *pool) bool {
	alone := len(a.ranking().regions) == 1
	settling := a.starting(now, p) && now-a.lastGrowth < settleTime && !alone
	return p.owned && a.joined && !settling
}

// untilReady returns after what time this node may lend tokens of a pool, as far as it knows, or 0 if it may now.
func (a *accountant) untilReady(now clock.Ms, p *pool) clock.Ms {
	switch {
	case !a.ready(now, p):
		return notReadyRetry
	case !a.starting(now, p) || a.standing.mayLendReserve():
		return 0
	case a.standing.RapidRestart:
		return a.startsUntil(p) - now
	}
	return notReadyRetry
}

// capacity returns how many tokens of a pool may be used or lent now. While tokens may be in use that another process has
// lent of the pool, it is the reserve. Once members have been away for long, the accountants that they may have among
// them get the part that corresponds to these members. A lost member may still lend of its pools, so whoever acts for it has a
// part of them.
func (a *accountant) capacity(now clock.Ms, p *pool, index uint8) int {
	lent := poolShare(p.limit.working(), index)
	succeeding := p.ownedSince > a.startedAt+settleTime && now-p.ownedSince < p.inDoubtFor()+rankingSpread
	if a.starting(now, p) || succeeding || now < p.unknownUntil {
		lent = poolShare(p.limit.total(), index) - lent
	}
	part := a.lowestReach(now, p)
	if p.substitute {
		part = lostShare
	}
	return int(float64(lent)*part + roundingError)
}

// tick forgets pools that nobody uses.
func (a *accountant) tick(now clock.Ms) {
	a.earlierReach = slices.DeleteFunc(a.earlierReach, func(e endedReach) bool { return now-e.until > maximumWindow*2 })
	for id, p := range a.pools {
		if p.advance(now); len(p.borrowers) == 0 && now-p.touched > p.limit.Window {
			delete(a.pools, id)
		}
	}
}
