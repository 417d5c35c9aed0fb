package scatter

import (
	"slices"
	"stiletrail/internal/message"
	"stiletrail/internal/query"
	"time"
)

// ask sends shards out, each to the next group and dispatcher not tried for it. Shards without one become missing.
func (q *Query) ask(now time.Duration, shards []uint32, reason query.Reason) {
	chosen := map[triedOwner][]uint32{}
	var order []triedOwner
	perGroup := map[uint32]string{}
	for _, number := range shards {
		// Full back ends are no reason to ask a deputy, who would only add to their load.
		owner, found := q.nextOwner(number, perGroup, reason != query.ReasonOverloaded)
		if !found {
			if state := &q.shards[number]; state.live == 0 && !state.answered {
				state.reason = reason
			}
			continue
		}
		if chosen[owner] == nil {
			order = append(order, owner)
		}
		chosen[owner] = append(chosen[owner], number)
	}
	for _, owner := range order {
		q.sendSubQuery(now, owner, chosen[owner])
	}
}

// nextOwner picks where to ask for a shard; shards of one group go to one dispatcher.
func (q *Query) nextOwner(number uint32, perGroup map[uint32]string, standIn bool) (triedOwner, bool) {
	state := &q.shards[number]
	for _, group := range q.holders[number] {
		var excluded []string
		for _, tried := range state.tried {
			if tried.group == group {
				excluded = append(excluded, tried.dispatcher)
			}
		}
		if dispatcher := perGroup[group]; dispatcher != "" && !slices.Contains(excluded, dispatcher) {
			return triedOwner{group: group, dispatcher: dispatcher}, true
		}
		dispatcher, found := q.environment.Dispatcher(q.request.Service, group, excluded, standIn)
		if found && !slices.Contains(excluded, dispatcher) {
			perGroup[group] = dispatcher
			return triedOwner{group: group, dispatcher: dispatcher}, true
		}
	}
	return triedOwner{}, false
}

func (q *Query) sendSubQuery(now time.Duration, owner triedOwner, shards []uint32) {
	id := q.environment.NextID()
	remaining := q.request.Deadline - answerMargin - now
	patience := max(4*q.environment.SubQueryLatency(), minimumPatience)
	if q.environment.SubQueryLatency() == 0 {
		patience = max(remaining/patienceShare, minimumPatience)
	}
	q.subQueries[id] = &subQuery{group: owner.group, dispatcher: owner.dispatcher, shards: shards, patience: now + patience}
	q.order = append(q.order, id)
	for _, number := range shards {
		q.shards[number].live++
		q.shards[number].tried = append(q.shards[number].tried, owner)
	}
	q.send(owner.dispatcher, &message.SubQuery{
		ID: id, Service: q.request.Service, Group: owner.group, Shards: shards, Snapshot: q.plan.Snapshot,
		Body: q.request.Body, RemainingMicroseconds: uint64(max(remaining, 0).Microseconds()),
	})
}

// replan starts the whole query again at another snapshot, if there is time and another is known.
func (q *Query) replan(now time.Duration) bool {
	if q.plans >= maximumPlans || now >= q.request.Deadline-2*answerMargin {
		return false
	}
	excluded := append(slices.Clone(q.excluded), q.plan.Snapshot)
	if _, found := q.environment.Routing(q.request.Service).Choose(q.request.Floor, excluded); !found {
		return false
	}
	q.excluded = excluded
	q.cancelAll()
	q.begin(now)
	return true
}

// askAgain is the second round for shards that came back missing: another dispatcher, or a group of another region.
func (q *Query) askAgain(now time.Duration, open []uint32, reason query.Reason) {
	if len(open) == 0 || now >= q.request.Deadline-2*answerMargin {
		return
	}
	for _, number := range open {
		// Held open by ask, which sets the reason again where nobody is left.
		q.shards[number].reason = query.ReasonNone
	}
	q.ask(now, open, reason)
}

// PeerLost takes in that a node cannot be reached. A frame may have arrived before the connection broke, so its
// sub-queries may have run, unless it is proved that nothing was written.
func (q *Query) PeerLost(now time.Duration, peer string, id query.ID, written bool) []Action {
	sub := q.subQueries[id]
	if q.done || sub == nil || sub.dispatcher != peer {
		return nil
	}
	q.remove(id, sub)
	q.mayHaveRun = q.mayHaveRun || written
	q.environment.Suspect(peer)
	var open []uint32
	for _, number := range sub.shards {
		if state := &q.shards[number]; !state.answered && state.live == 0 {
			open = append(open, number)
			state.reason = query.ReasonLost
		}
	}
	q.askAgain(now, open, query.ReasonLost)
	q.finishIfDone(now)
	return q.take()
}

// waiting reports whether patience with the dispatcher can run out: nothing has come yet, or less than it says it sent.
func (s *subQuery) waiting() bool {
	return s.last != nil || !s.heard && !s.reissued
}

// resultsLost ends a sub-query whose dispatcher is done while some of its results never came.
func (q *Query) resultsLost(now time.Duration, id query.ID, sub *subQuery) {
	last := *sub.last
	said := map[uint32]bool{}
	for _, missing := range last.Missing {
		said[missing.Shard] = true
	}
	for _, number := range sub.shards {
		if !q.shards[number].answered && !said[number] {
			last.Missing = append(last.Missing, query.Missing{Shard: number, Reason: query.ReasonLost})
		}
	}
	q.close(now, id, sub, &last)
}

// reissue asks a second dispatcher for what a silent one was asked for; the first answer per shard wins.
func (q *Query) reissue(now time.Duration, sub *subQuery) {
	sub.reissued = true
	q.environment.Suspect(sub.dispatcher)
	var open []uint32
	for _, number := range sub.shards {
		if !q.shards[number].answered && q.shards[number].live == 1 {
			open = append(open, number)
		}
	}
	if len(open) == 0 || !q.environment.SpendReissue(len(open)) {
		return
	}
	q.ask(now, open, query.ReasonNone)
}

// cancelAll withdraws every sub-query under way.
func (q *Query) cancelAll() {
	for _, id := range q.order {
		sub := q.subQueries[id]
		q.mayHaveRun = true
		q.send(sub.dispatcher, &message.SubCancel{ID: id})
		delete(q.subQueries, id)
	}
	q.order = nil
}
