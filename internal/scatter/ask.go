package scatter

import (
	"slices"
	"time"

	"stiletrail/internal/message"
	"stiletrail/internal/query"
)

// ask sends sub-queries for shards. Each shard goes to the next group and dispatcher that were not tried for it. Shards
// for which none is left become missing for the given reason.
func (q *Query) ask(now time.Duration, shards []uint32, reason query.Reason) {
	chosen := map[target][]uint32{}
	var order []target
	perGroup := map[uint32]string{}
	for _, number := range shards {
		// Standbys send to the same back ends as the dispatcher. If these are overloaded, a standby would only add to
		// their load.
		owner, found := q.nextTarget(number, perGroup, reason != query.ReasonOverloaded)
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

// nextTarget picks an untried group and dispatcher for a shard. perGroup holds the dispatchers picked so far by one
// call of ask, so that shards of one group go to the same dispatcher.
func (q *Query) nextTarget(number uint32, perGroup map[uint32]string, includeStandbys bool) (target, bool) {
	state := &q.shards[number]
	for _, group := range q.holders[number] {
		var excluded []string
		for _, tried := range state.tried {
			if tried.group == group {
				excluded = append(excluded, tried.dispatcher)
			}
		}
		if dispatcher := perGroup[group]; dispatcher != "" && !slices.Contains(excluded, dispatcher) {
			return target{group: group, dispatcher: dispatcher}, true
		}
		dispatcher, found := q.environment.PickDispatcher(q.request.Service, group, excluded, includeStandbys)
		if found && !slices.Contains(excluded, dispatcher) {
			perGroup[group] = dispatcher
			return target{group: group, dispatcher: dispatcher}, true
		}
	}
	return target{}, false
}

// sendSubQuery sends one sub-query for the given shards and tracks it.
func (q *Query) sendSubQuery(now time.Duration, owner target, shards []uint32) {
	id := q.environment.NextID()
	remaining := q.request.Deadline - answerMargin - now
	q.subQueries[id] = &subQuery{dispatcher: owner.dispatcher, shards: shards, waitUntil: now + q.silenceTimeout(remaining)}
	q.sendOrder = append(q.sendOrder, id)
	for _, number := range shards {
		q.shards[number].live++
		q.shards[number].tried = append(q.shards[number].tried, owner)
	}
	q.send(owner.dispatcher, &message.SubQuery{
		ID: id, Service: q.request.Service, Group: owner.group, Shards: shards, Snapshot: q.planned.Snapshot,
		Body: q.request.Body, RemainingMicroseconds: uint64(max(remaining, 0).Microseconds()),
	})
}

// cancelAll cancels all sub-queries in flight.
func (q *Query) cancelAll() {
	for _, id := range q.sendOrder {
		sub := q.subQueries[id]
		q.mayHaveRun = true
		q.send(sub.dispatcher, &message.SubCancel{ID: id})
		delete(q.subQueries, id)
	}
	q.sendOrder = nil
}
