package scatter

import (
	"slices"
	"time"

	"stiletrail/internal/query"
)

// answerMargin is the time reserved before the deadline for returning the answer to the caller.
const answerMargin = 2 * time.Millisecond

// A query retries in these cases:
//
//	missing   A shard that a dispatcher reports missing is asked of another dispatcher or of a group that was not asked for
//	          it. Standbys are asked only if the reason is not overload, because they would add to the load.
//	lost      A shard whose dispatcher cannot be reached is retried in the same way. The dispatcher is suspected.
//	silent    A dispatcher that has sent nothing until its silence timeout is suspected. Its shards are asked of a second
//	          dispatcher, once and within the reissue budget of the node.
//	replan    If a back end does not hold the snapshot of the query, the whole query starts again at another snapshot. It
//	          is planned at most maximumPlans times.
//
// There is no retry and no new plan within two answerMargins before the deadline.
const (
	maximumPlans = 4
	// The silence timeout is silenceLatencies times the usual latency of sub-queries. If that is unknown, it is the
	// time left until the deadline divided by silenceParts.
	silenceLatencies = 4
	silenceParts     = 3
	// minimumSilenceTimeout is the lower bound of the silence timeout. It is also the wait for results that arrive
	// after the final answer.
	minimumSilenceTimeout = 25 * time.Millisecond
)

// tooLate reports whether too little time is left before the deadline for another sub-query.
func (q *Query) tooLate(now time.Duration) bool { return now >= q.request.Deadline-2*answerMargin }

// retry asks other dispatchers or other groups for shards that are missing.
func (q *Query) retry(now time.Duration, open []uint32, reason query.Reason) {
	if len(open) == 0 || q.tooLate(now) {
		return
	}
	for _, number := range open {
		// The shard counts as open while it is asked for again. If no dispatcher is left, ask sets the reason again.
		q.shards[number].reason = query.ReasonNone
	}
	q.ask(now, open, reason)
}

// replan starts the whole query again at another snapshot. It returns false if there is too little time, no other
// snapshot is known, or the query was planned maximumPlans times.
func (q *Query) replan(now time.Duration) bool {
	if q.plans >= maximumPlans || q.tooLate(now) {
		return false
	}
	excluded := append(slices.Clone(q.excluded), q.planned.Snapshot)
	if _, found := q.environment.Routing(q.request.Service).ChoosePlan(q.request.MinimumVersion, excluded); !found {
		return false
	}
	q.excluded = excluded
	q.cancelAll()
	q.plan(now)
	return true
}

// silenceTimeout returns how long a dispatcher may be silent before a second one is asked.
func (q *Query) silenceTimeout(remaining time.Duration) time.Duration {
	latency := q.environment.SubQueryLatency()
	if latency == 0 {
		return max(remaining/silenceParts, minimumSilenceTimeout)
	}
	return max(silenceLatencies*latency, minimumSilenceTimeout)
}

// canTimeOut reports whether waitUntil applies to the sub-query: nothing has been received yet and it was not reissued,
// or the final answer has arrived before all results.
func (s *subQuery) canTimeOut() bool {
	return s.finalAnswer != nil || !s.responded && !s.reissued
}

// reissue asks a second dispatcher for the shards of a silent one, within the budget. The first answer per shard is
// used.
func (q *Query) reissue(now time.Duration, sub *subQuery) {
	sub.reissued = true
	q.environment.MarkSuspect(sub.dispatcher)
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
