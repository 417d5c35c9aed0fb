package scatter

import (
	"sort"
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/failure"
	"stiletrail/internal/query"
)

// finishIfDone finishes the query if all shards are answered, if its tail budget has passed with enough coverage, or if
// no open shard can be answered any more.
func (q *Query) finishIfDone(now time.Duration) {
	if q.done || q.planned.Total == 0 {
		return
	}
	if q.answered == q.planned.Total {
		q.finish(query.ReasonNone)
		return
	}
	if tail := q.tailBudgetEnd(); tail > 0 && now >= tail && q.coverageReached() {
		q.finish(query.ReasonEarlyFinish)
		return
	}
	for i := range q.shards {
		if !q.shards[i].answered && (q.shards[i].live > 0 || q.shards[i].reason == query.ReasonNone) {
			return
		}
	}
	q.finish(query.ReasonLost)
}

// tailBudgetEnd returns when the query finishes early if the minimum coverage is reached. It returns zero if the
// service does not prefer latency or has no tail budget.
func (q *Query) tailBudgetEnd() time.Duration {
	specification := q.request.Document.Specification
	if specification.Preference != catalog.LatencyFirst || specification.TailBudgetMilliseconds == 0 {
		return 0
	}
	return q.startedAt + time.Duration(specification.TailBudgetMilliseconds)*time.Millisecond
}

// coverageReached reports whether enough shards are answered for the service's minimum coverage.
func (q *Query) coverageReached() bool {
	return q.planned.Total > 0 && float64(q.answered) >= q.request.Document.Specification.MinimumCoverage*float64(q.planned.Total)
}

// finish ends the query with its answer. Unanswered shards are reported missing for their own reason, if they have one,
// or for the given reason.
func (q *Query) finish(reason query.Reason) {
	q.cancelAll()
	answer := Answer{Snapshot: q.planned.Snapshot, ShardAttempts: q.shardAttempts}
	answer.Coverage = query.Coverage{Total: q.planned.Total, TotalKnown: q.planned.Total > 0, Answered: q.answered}
	for number := range q.shards {
		state := &q.shards[number]
		if state.answered {
			answer.Documents = append(answer.Documents, q.results[uint32(number)])
			continue
		}
		missing := query.Missing{Shard: uint32(number), Reason: state.reason}
		if missing.Reason == query.ReasonNone {
			missing.Reason = reason
		}
		answer.Coverage.Missing = append(answer.Coverage.Missing, missing)
	}
	sort.Slice(answer.Documents, func(i, j int) bool { return answer.Documents[i].Shard < answer.Documents[j].Shard })
	answer.Failure = q.failureFor(answer.Coverage)
	if answer.Failure != nil {
		answer.Documents = nil
	}
	q.emitAnswer(answer)
}

// finishWithoutPlan ends a query for which there is no snapshot. If it was planned before at other snapshots, it ends
// with the answers of the last plan. A new query is refused.
func (q *Query) finishWithoutPlan(routing Routing) {
	if len(q.excluded) > 0 {
		q.finish(query.ReasonVersionUnavailable)
		return
	}
	code, text := failure.NoReplica, "no usable back end of the service is known"
	if _, any := routing.ChoosePlan(0, nil); any {
		code, text = failure.SnapshotUnavailable, "no back end of the service holds the requested minimum version"
	}
	q.emitAnswer(Answer{Coverage: routing.noCoverage(), Failure: failure.NewRefusal(code, text, noPlanRetryAfter)})
}

// These are the retry-after times of failed searches. Dispatchers may ask for a longer time, except with
// noPlanRetryAfter.
const (
	// noPlanRetryAfter applies if there is no snapshot to search at. Back ends are described twice a second and the
	// routing is refreshed more often, so the state is renewed within this time.
	noPlanRetryAfter = time.Second
	// notRunRetryAfter applies if no back end accepted the search.
	notRunRetryAfter = 10 * time.Millisecond
	// lowCoverageRetryAfter applies if too few shards answered. The search may have run on some back ends.
	lowCoverageRetryAfter = 100 * time.Millisecond
)

// failureFor returns the failure of an answer with less than the minimum coverage, or nil. The failure is a refusal,
// which proves that the search did not run, if no shard is answered and every sub-query is proved not to have run.
func (q *Query) failureFor(coverage query.Coverage) *failure.Failure {
	if q.answered > 0 && q.coverageReached() {
		return nil
	}
	if q.answered == 0 && !q.mayHaveRun {
		code := failure.NoReplica
		for _, missing := range coverage.Missing {
			if missing.Reason == query.ReasonOverloaded {
				code = failure.Overloaded
			}
		}
		return failure.NewRefusal(code, "no back end accepted the search", max(q.retryAfter, notRunRetryAfter))
	}
	result := failure.New(failure.CoverageTooLow, "fewer shards answered than the service's minimum coverage")
	result.RetryAfter = max(q.retryAfter, lowCoverageRetryAfter)
	return result
}

// emitAnswer emits the answer as the last action of the query.
func (q *Query) emitAnswer(answer Answer) {
	q.done = true
	q.actions = append(q.actions, answer)
}
