package scatter

import (
	"slices"
	"time"

	"stiletrail/internal/query"
)

// NextWake returns when Tick must be called at the latest.
func (q *Query) NextWake() time.Duration {
	wake := q.request.Deadline - answerMargin
	if tail := q.tailBudgetEnd(); tail > 0 && q.coverageReached() {
		// The query can only finish early with enough coverage. Until then no wake-up is needed for it, because Receive
		// checks it with each answer.
		wake = min(wake, tail)
	}
	for _, sub := range q.subQueries {
		if sub.canTimeOut() {
			wake = min(wake, sub.waitUntil)
		}
	}
	return wake
}

// Tick ends the query at its deadline or tail budget, and handles dispatchers that are silent and results that are
// lost.
func (q *Query) Tick(now time.Duration) []Action {
	if q.done {
		return nil
	}
	if now >= q.request.Deadline-answerMargin {
		q.finish(query.ReasonDeadline)
		return q.takeActions()
	}
	for _, id := range slices.Clone(q.sendOrder) {
		sub := q.subQueries[id]
		if sub == nil || !sub.canTimeOut() || now < sub.waitUntil {
			continue
		}
		if sub.finalAnswer != nil {
			q.resultsLost(now, id, sub)
		} else {
			q.reissue(now, sub)
		}
	}
	q.finishIfDone(now)
	return q.takeActions()
}
