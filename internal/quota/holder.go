package quota

import (
	"cmp"
	"math"
	"slices"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

const (
	// maximumWindow is the longest window of a limit.
	maximumWindow = 10 * 60 * clock.Second
	// reportInterval is the least time between two reports of uses without a request for tokens.
	reportInterval = 100 * clock.Ms(1)
)

// OutgoingMessage is a message for another node.
type OutgoingMessage struct {
	To      string
	Message message.Message
}

// Self identifies this node and its process.
type Self struct {
	Address string
	// Process differs between processes that are started at the same address. It is not 0.
	Process uint32
}

// Counters count what a Holder has decided since its start.
type Counters struct {
	// Taken counts tokens that were taken, Returned those of them that were returned.
	Taken    uint64
	Returned uint64
	// Reports and Grants count what this node has told accountants, itself included, and what it was granted.
	Reports uint64
	Grants  uint64
}

// State is what a Holder has now.
type State struct {
	Counters
	// Limits is the number of limits that the node uses, Held the number of its unused tokens, and OldestGrant the time
	// since the oldest of the last grants of accountants, in milliseconds.
	Limits      int
	Held        int
	OldestGrant clock.Ms
	// Pools is the number of pools of which this node is the accountant, Lent and Used the number of their tokens.
	Pools int
	Lent  int
	Used  int
}

// Holder has this node's tokens, and lends those of the pools of which the node is the accountant.
type Holder struct {
	self       Self
	accountant accountant
	members    []Member
	known      map[string]bool
	awaySince  map[string]clock.Ms
	rankAgain  clock.Ms
	usages     map[LimitID]*usage
	links      map[string]*link
	sequence   uint64
	lastReport clock.Ms
	reports    map[string]*message.QuotaReport
	grants     []OutgoingMessage
	counters   Counters
}

// New returns a holder for a process that starts now. The function current returns the limit of a key in the
// configuration in force; it may be nil.
func New(now clock.Ms, self Self, current func(LimitID) (Limit, bool)) *Holder {
	h := &Holder{
		self:      self,
		known:     map[string]bool{},
		awaySince: map[string]clock.Ms{},
		usages:    map[LimitID]*usage{},
		links:     map[string]*link{},
		reports:   map[string]*message.QuotaReport{},
		accountant: accountant{
			self: self.Address, process: self.Process, startedAt: now, lastGrowth: now, current: current, pools: map[poolID]*pool{}, reach: 1,
		},
	}
	h.SetMembers(now, []Member{{Address: self.Address, Usable: true}}, false)
	return h
}

// SetMembers tells the holder all known members, including this node and those that are away. Until joined is set, this
// node lends nothing, because it may not know all members yet.
func (h *Holder) SetMembers(now clock.Ms, members []Member, joined bool) {
	h.members, h.accountant.joined = slices.Clone(members), joined
	present := map[string]bool{}
	for _, m := range members {
		present[m.Address] = true
		if !h.known[m.Address] {
			h.known[m.Address], h.accountant.lastGrowth = true, now
		}
		if _, away := h.awaySince[m.Address]; m.Usable {
			delete(h.awaySince, m.Address)
		} else if !away {
			h.awaySince[m.Address] = now
		}
	}
	for address := range h.known {
		if !present[address] {
			delete(h.known, address)
			delete(h.awaySince, address)
		}
	}
	for address, l := range h.links {
		if _, l.away = h.awaySince[address]; !present[address] {
			delete(h.links, address)
		}
	}
	h.rank(now)
}

// SetStanding tells the holder what the store says of this process. Without such word this process is taken for one that
// everybody knows. The members are told before it.
func (h *Holder) SetStanding(now clock.Ms, standing Standing) {
	a := &h.accountant
	if first := a.standing == nil; first && (standing.Away || standing.LateStart) {
		h.startAnew(now, standing.Away)
	}
	a.standing = &standing
	h.rank(now)
}

// startAnew makes this process count as one that starts now, because others may have lent the tokens of its pools until now. If
// they have counted this node as away, they are away from here for as long.
func (h *Holder) startAnew(now clock.Ms, wasAway bool) {
	h.accountant.startedAt, h.accountant.startSpread = now, rankingSpread
	if !wasAway {
		return
	}
	for address := range h.awaySince {
		h.awaySince[address] -= shrinkAfter
	}
}

// rank chooses the accountants again.
func (h *Holder) rank(now clock.Ms) {
	h.accountant.rank(newRanking(now, h.members, h.awaySince))
	h.rankAgain = math.MaxInt64
	for _, since := range h.awaySince {
		for _, after := range []clock.Ms{shrinkAfter, takeOverAfter} {
			if at := since + after; at > now {
				h.rankAgain = min(h.rankAgain, at)
			}
		}
	}
	h.accountant.setReach(now, h.reach(now))
}

// reach returns the part of all tokens that belongs to the members that this node reaches. Of the part of lost members, those
// that the store lists as running have lostShare. A node that may itself be lost leaves them that share of its own.
func (h *Holder) reach(now clock.Ms) float64 {
	total, gone, lost := len(h.members), 0, 0
	for _, m := range h.members {
		if since, away := h.awaySince[m.Address]; !away || now-since < shrinkAfter {
			continue
		}
		gone++
		if m.Lost {
			lost++
		}
	}
	reached := float64(total-gone) / float64(max(1, total))
	switch {
	case h.accountant.standing.mayBeLost():
		return (1 - lostShare) * reached
	case lost > 0:
		return reached + lostShare*float64(lost)/float64(total)*float64(total-gone)/float64(total-lost)
	}
	return reached
}

func (h *Holder) usage(now clock.Ms, key LimitID, limit Limit) *usage {
	u := h.usages[key]
	if u == nil {
		u = &usage{key: key, limit: limit}
		h.usages[key] = u
	}
	if u.limit != limit {
		u.setLimit(limit)
	}
	if ranking := h.accountant.ranking(); u.rankedBy != ranking.version {
		u.assign(ranking, h.self.Address, h.linkTo)
		u.rankedBy = ranking.version
	}
	u.advance(now)
	return u
}

func (h *Holder) linkTo(address string) *link {
	if h.links[address] == nil {
		regions := h.accountant.ranking().regions
		h.links[address] = newLink(regions[address] == regions[h.self.Address])
		_, h.links[address].away = h.awaySince[address]
	}
	return h.links[address]
}

// Return makes tokens unused again, because nothing was done with them.
func (h *Holder) Return(now clock.Ms, key LimitID, token Token) {
	u := h.usages[key]
	if u == nil {
		return
	}
	for _, l := range u.ledgers {
		if l.pool == token.pool && l.granter == token.granter {
			l.giveBack(now, u.limit.Window, token)
			h.counters.Returned += uint64(token.count)
			return
		}
	}
}

// Receive applies a message of another node. It returns the keys for which tokens may have come, or a word that there
// are none.
func (h *Holder) Receive(now clock.Ms, from string, m message.Message) []LimitID {
	switch m := m.(type) {
	case *message.QuotaReport:
		if answer := h.accountant.receive(now, from, m); answer != nil {
			h.grants = append(h.grants, OutgoingMessage{To: from, Message: answer})
		}
	case *message.QuotaGrant:
		return h.receiveGrants(now, from, m)
	}
	return nil
}

func (h *Holder) receiveGrants(now clock.Ms, from string, m *message.QuotaGrant) []LimitID {
	var keys []LimitID
	for i := range m.Grants {
		g := &m.Grants[i]
		u := h.usages[LimitID(g.Key)]
		if u == nil || !u.receive(now, from, m.Granter, g) {
			continue
		}
		h.counters.Grants++
		keys = append(keys, u.key)
		h.askForUnmet(now, u)
	}
	return keys
}

// Tick does the periodic work. It is due each reportInterval or so.
func (h *Holder) Tick(now clock.Ms) {
	if now >= h.rankAgain {
		h.rank(now)
	}
	h.accountant.tick(now)
	if now-h.lastReport < reportInterval {
		return
	}
	h.lastReport = now
	for key, u := range h.usages {
		u.advance(now)
		u.dropSurplus()
		for _, l := range u.ledgers {
			if l.reportDue && l.current {
				h.send(now, u, l, 0)
			}
			l.reportDue = false
		}
		if u.idle(now) {
			delete(h.usages, key)
		}
	}
}

// Messages returns the messages to send, and forgets them.
func (h *Holder) Messages() []OutgoingMessage {
	if len(h.reports) == 0 && len(h.grants) == 0 {
		return nil
	}
	sends := h.grants
	h.grants = nil
	for to, report := range h.reports {
		sends = append(sends, OutgoingMessage{To: to, Message: report})
	}
	clear(h.reports)
	slices.SortStableFunc(sends, func(a, b OutgoingMessage) int { return cmp.Compare(a.To, b.To) })
	return sends
}

// State returns the current state, for metrics.
func (h *Holder) State(now clock.Ms) State {
	s := State{Counters: h.counters, Limits: len(h.usages), Pools: len(h.accountant.pools)}
	for _, u := range h.usages {
		s.Held += u.held()
		if _, heardAt := u.inUse(); heardAt > 0 && heardAt <= now {
			s.OldestGrant = max(s.OldestGrant, now-heardAt)
		}
	}
	for _, p := range h.accountant.pools {
		s.Lent += p.lent
		s.Used += p.used.sum
	}
	return s
}
