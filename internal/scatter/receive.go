package scatter

import (
	"slices"
	"time"

	"stiletrail/internal/message"
	"stiletrail/internal/query"
)

// Receive takes in an answer to a sub-query. One at another snapshot, or for shards that were not asked for, is dropped.
func (q *Query) Receive(now time.Duration, from string, m *message.SubAnswer) []Action {
	sub := q.subQueries[m.ID]
	if q.done || sub == nil || from != sub.dispatcher {
		return nil
	}
	sub.responded = true
	if m.Snapshot == q.planned.Snapshot {
		q.accept(sub, m.Results)
	}
	if m.Done {
		sub.finalAnswer = m
		sub.waitUntil = now + minimumSilenceTimeout
	}
	if sub.finalAnswer != nil && q.resultsComplete(sub) {
		q.close(now, m.ID, sub, sub.finalAnswer)
	}
	if !q.done {
		q.finishIfDone(now)
	}
	return q.takeActions()
}

func (q *Query) accept(sub *subQuery, results []query.ShardDocuments) {
	for _, result := range results {
		if !slices.Contains(sub.shards, result.Shard) || q.shards[result.Shard].answered {
			continue
		}
		q.shards[result.Shard].answered = true
		q.shards[result.Shard].reason = query.ReasonNone
		q.results[result.Shard] = result
		q.answered++
	}
}

// resultsComplete reports whether each shard of a sub-query is answered or said to be missing. Results may come after the final
// answer where messages overtake each other.
func (q *Query) resultsComplete(sub *subQuery) bool {
	answered := 0
	for _, number := range sub.shards {
		if q.shards[number].answered {
			answered++
		}
	}
	for _, missing := range sub.finalAnswer.Missing {
		if missing.Shard < uint32(len(q.shards)) && !q.shards[missing.Shard].answered {
			answered++
		}
	}
	return answered >= len(sub.shards)
}

// close ends a sub-query and decides what happens to its missing shards.
func (q *Query) close(now time.Duration, id query.ID, sub *subQuery, m *message.SubAnswer) {
	q.removeSubQuery(id, sub)
	q.shardAttempts += m.ShardAttempts
	if !m.NotRun {
		q.mayHaveRun = true
	}
	retryAfter := time.Duration(m.RetryAfterMilliseconds) * time.Millisecond
	q.retryAfter = max(q.retryAfter, retryAfter)
	var open []uint32
	reason := query.ReasonLost
	for _, missing := range m.Missing {
		if missing.Shard >= uint32(len(q.shards)) || q.shards[missing.Shard].answered {
			continue
		}
		if missing.Reason == query.ReasonVersionUnavailable && q.replan(now) {
			return
		}
		q.shards[missing.Shard].reason = missing.Reason
		reason = missing.Reason
		if q.shards[missing.Shard].live == 0 {
			open = append(open, missing.Shard)
		}
	}
	q.retry(now, open, reason)
}

func (q *Query) removeSubQuery(id query.ID, sub *subQuery) {
	delete(q.subQueries, id)
	q.sendOrder = slices.DeleteFunc(q.sendOrder, func(other query.ID) bool { return other == id })
	for _, number := range sub.shards {
		q.shards[number].live--
	}
}

// resultsLost ends a sub-query whose dispatcher is done while some of its results never came.
func (q *Query) resultsLost(now time.Duration, id query.ID, sub *subQuery) {
	last := *sub.finalAnswer
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

// PeerUnreachable takes in that a node cannot be reached. A frame may have arrived before the connection broke, so its
// sub-queries may have run, unless it is proved that nothing was written.
func (q *Query) PeerUnreachable(now time.Duration, peer string, id query.ID, written bool) []Action {
	sub := q.subQueries[id]
	if q.done || sub == nil || sub.dispatcher != peer {
		return nil
	}
	q.removeSubQuery(id, sub)
	q.mayHaveRun = q.mayHaveRun || written
	q.environment.MarkSuspect(peer)
	var open []uint32
	for _, number := range sub.shards {
		if state := &q.shards[number]; !state.answered && state.live == 0 {
			open = append(open, number)
			state.reason = query.ReasonLost
		}
	}
	q.retry(now, open, query.ReasonLost)
	q.finishIfDone(now)
	return q.takeActions()
}
