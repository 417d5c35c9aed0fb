package scatter

import (
	"slices"
	"time"

	"stiletrail/internal/query"
)

// answerMargin is kept before the deadline for handing the answer to the caller.
const answerMargin = 2 * time.Millisecond

// The rules of asking elsewhere:
//
//	missing   a shard that came back missing is asked of a dispatcher, or a group, that was not asked for it; of deputies only
//	          where the reason is not overload, to which they would only add
//	lost      so is a shard whose dispatcher cannot be reached; that one is suspected
//	silent    a dispatcher from which nothing came for silenceLatencies times the usual latency, or one of silenceParts of the
//	          time left while that is not known, is suspected, and its shards are asked of a second one, once and within the
//	          budget of the node
//	replan    the whole query begins anew at another snapshot where a back end does not hold this one, at maximumPlans snapshots
//	          at most
//
// Nothing is retried or planned again in the last two margins before the deadline.
const (
	maximumPlans     = 4
	silenceLatencies = 4
	silenceParts     = 3
	// minimumSilenceTimeout bounds the wait for a silent dispatcher from below, and is the wait for results that come after the final
	// answer.
	minimumSilenceTimeout = 25 * time.Millisecond
)

// tooLate reports whether no answer can come in time any more.
func (q *Query) tooLate(now time.Duration) bool { return now >= q.request.Deadline-2*answerMargin }

// retry asks for shards that came back missing elsewhere: another dispatcher, or a group of another region.
func (q *Query) retry(now time.Duration, open []uint32, reason query.Reason) {
	if len(open) == 0 || q.tooLate(now) {
		return
	}
	for _, number := range open {
		// Held open by ask, which sets the reason again where nobody is left.
		q.shards[number].reason = query.ReasonNone
	}
	q.ask(now, open, reason)
}

// replan starts the whole query again at another snapshot, if there is time and another is known.
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

// silenceTimeout is how long a dispatcher may be silent.
func (q *Query) silenceTimeout(remaining time.Duration) time.Duration {
	latency := q.environment.SubQueryLatency()
	if latency == 0 {
		return max(remaining/silenceParts, minimumSilenceTimeout)
	}
	return max(silenceLatencies*latency, minimumSilenceTimeout)
}

// canTimeOut reports whether the wait for the dispatcher can run out: nothing has come yet, or less than it says it sent.
func (s *subQuery) canTimeOut() bool {
	return s.finalAnswer != nil || !s.responded && !s.reissued
}

// reissue asks a second dispatcher for what a silent one was asked for; the first answer per shard wins.
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
