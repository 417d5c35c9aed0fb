package scatter

import (
	"sort"
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/failure"
	"stiletrail/internal/query"
)

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

// tailBudgetEnd is when a latency-first query with enough coverage finishes; zero for never.
func (q *Query) tailBudgetEnd() time.Duration {
	specification := q.request.Document.Specification
	if specification.Preference != catalog.LatencyFirst || specification.TailBudgetMilliseconds == 0 {
		return 0
	}
	return q.startedAt + time.Duration(specification.TailBudgetMilliseconds)*time.Millisecond
}

// coverageReached reports whether the minimum coverage is met.
func (q *Query) coverageReached() bool {
	return q.planned.Total > 0 && float64(q.answered) >= q.request.Document.Specification.MinimumCoverage*float64(q.planned.Total)
}

// finish gives the answer; shards without one are missing for their own reason, or else for the given one.
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

// finishWithoutPlan ends a query for which no snapshot is left: one that was planned before with what it lacks, a new one with a
// refusal.
func (q *Query) finishWithoutPlan(routing Routing) {
	if len(q.excluded) > 0 {
		q.finish(query.ReasonVersionUnavailable)
		return
	}
	code, text := failure.NoReplica, "no back end of the service can be asked"
	if _, any := routing.ChoosePlan(0, nil); any {
		code, text = failure.SnapshotUnavailable, "the minimum version is not held yet"
	}
	q.emitAnswer(Answer{Coverage: routing.noCoverage(), Failure: failure.Refused(code, text, noPlanRetryAfter)})
}

// The times to come back of searches that fail, where no dispatcher asked for longer.
const (
	// noPlanRetryAfter: back ends are described twice a second, and the routing is refreshed more often.
	noPlanRetryAfter = time.Second
	// notRunRetryAfter: no back end took the search.
	notRunRetryAfter = 10 * time.Millisecond
	// lowCoverageRetryAfter: some shards may have run it.
	lowCoverageRetryAfter = 100 * time.Millisecond
)

// failureFor returns the failure of an answer with too little coverage, or nil. It is a refusal, proved not to have run, where no
// shard answered and no sub-query may have run.
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
		return failure.Refused(code, "no back end took the search", max(q.retryAfter, notRunRetryAfter))
	}
	result := failure.New(failure.CoverageTooLow, "fewer shards answered than the service's minimum coverage")
	result.RetryAfter = max(q.retryAfter, lowCoverageRetryAfter)
	return result
}

func (q *Query) emitAnswer(answer Answer) {
	q.done = true
	q.actions = append(q.actions, answer)
}
