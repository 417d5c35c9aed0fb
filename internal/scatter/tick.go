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
		// With too little coverage there is nothing to finish early with: answers wake the query then.
		wake = min(wake, tail)
	}
	for _, sub := range q.subQueries {
		if sub.canTimeOut() {
			wake = min(wake, sub.waitUntil)
		}
	}
	return wake
}

// Tick takes in the passing of time.
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
