package scatter

import (
	"slices"
	"time"

	"stiletrail/internal/message"
	"stiletrail/internal/query"
)

// Receive handles an answer to a sub-query. It ignores answers to unknown sub-queries or from another node than the one
// asked, results at another snapshot, and results for shards that were not asked for.
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

// accept stores the first result of each shard of a sub-query.
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

// resultsComplete reports whether each shard of a sub-query is answered or reported missing by its final answer.
// Messages may be reordered, so results may arrive after the final answer.
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

// close ends a sub-query. Its missing shards are retried elsewhere. If one is missing because the snapshot is not held,
// the whole query is planned again if possible.
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

// removeSubQuery stops tracking a sub-query.
func (q *Query) removeSubQuery(id query.ID, sub *subQuery) {
	delete(q.subQueries, id)
	q.sendOrder = slices.DeleteFunc(q.sendOrder, func(other query.ID) bool { return other == id })
	for _, number := range sub.shards {
		q.shards[number].live--
	}
}

// resultsLost ends a sub-query whose final answer has arrived but whose results have not all arrived in time. The
// shards without a result count as missing with ReasonLost.
func (q *Query) resultsLost(now time.Duration, id query.ID, sub *subQuery) {
	last := *sub.finalAnswer
	reported := map[uint32]bool{}
	for _, missing := range last.Missing {
		reported[missing.Shard] = true
	}
	for _, number := range sub.shards {
		if !q.shards[number].answered && !reported[number] {
			last.Missing = append(last.Missing, query.Missing{Shard: number, Reason: query.ReasonLost})
		}
	}
	q.close(now, id, sub, &last)
}

// PeerUnreachable handles the loss of a sub-query because its dispatcher cannot be reached. If written is true, the
// message may have arrived before the connection broke, and the sub-query may have run.
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
