package forward

import "time"

// Hedges are extra attempts that only save time. A shard may be hedged while exactly one attempt is in flight, the
// route allows the request to run twice and allows another attempt, and the request is not suspected of crashing back
// ends. A hedge is due
//   - after HedgeShare of the target latency (hedgeDelay);
//   - once half of the shards have answered, if the shard takes much longer than they did (siblingHedgeDelay).
//
// It is sent if another replica is below its limit and can answer by the deadline, and the service's budget allows
// it. If not, the shard is looked at again after hedgeRecheckInterval.
const (
	hedgeRecheckInterval = 20 * time.Millisecond
	// A shard is late if it takes longer than siblingFactor times siblingLatency plus siblingSlack, not counting the
	// minimum latency of its replica.
	siblingFactor = 2
	siblingSlack  = 12 * time.Millisecond
	// hedgeRoundTrip is the time allowed for a hedge over a new connection to another region and back. While few
	// extra attempts are left, a sibling hedge is delayed by fewExtrasWaitShare of the time between when the shard is
	// late and the last time at which a hedge can still be answered by the target.
	hedgeRoundTrip     = 30 * time.Millisecond
	fewExtrasWaitShare = 0.5
)

// hedgeDelay returns the time after which an unanswered shard is hedged at the latest: a share of the target latency,
// early enough for the hedge to be answered by the target. A shard whose siblings have answered is hedged earlier.
func (r *Request) hedgeDelay() time.Duration {
	return time.Duration(r.settings.HedgeShare * float64(r.route.TargetLatency))
}

// scheduleSiblingHedges schedules hedges for shards that take much longer than the shards that have answered. All
// shards work on the same request, so the latency of one tells what to expect of the others. Once half of the shards
// have answered, the replicas of shards that take much longer are assumed to be slow. Before that, a long wait may
// only mean that the request takes long on every replica, and a hedge would not shorten it.
func (r *Request) scheduleSiblingHedges(now time.Duration, attempt *Attempt) {
	if !r.settings.SiblingHedges || !r.route.FansOut() || r.answered*2 < len(r.shards) {
		return
	}
	if r.siblingLatency == 0 {
		r.siblingLatency = max(now-attempt.StartedAt-attempt.Replica.MinimumLatency(), 0)
	}
	for _, open := range r.attempts {
		if s := &r.shards[open.Shard]; open.inFlight && s.attemptsInFlight() == 1 {
			s.hedgeNoLaterThan(max(now, open.StartedAt+open.Replica.MinimumLatency()+r.siblingHedgeDelay(s)))
			if r.settings.ExtrasByNeed && r.hedgeAllowed(s) {
				// The hedge can't wait until other nodes have lent an extra attempt.
				r.extraLeftElseAsk(s.service)
			}
		}
	}
}

// siblingHedgeDelay returns how long an attempt may take, beyond the minimum latency of its replica, before its shard
// is hedged. Where very many nodes share the budget, each has few extra attempts. The last of them (LastExtras) are
// kept for shards that are still unanswered half way between the time at which they are late and the last time at
// which a hedge can be answered by the target.
func (r *Request) siblingHedgeDelay(s *shard) time.Duration {
	late := siblingFactor*r.siblingLatency + siblingSlack
	latest := r.timing.earlyFinishAt() - r.timing.startedAt - late - hedgeRoundTrip
	if latest > late && r.node.ExtraAttemptsLeft(s.service) < float64(r.settings.LastExtras) {
		late += time.Duration(fewExtrasWaitShare * float64(latest-late))
	}
	return late
}

// hedgeAllowed reports whether a shard may be hedged: exactly one attempt is in flight, and the route and the
// settings allow another.
func (r *Request) hedgeAllowed(s *shard) bool {
	return !r.trials.suspected && r.settings.HedgeShare > 0 && r.route.Repeatable &&
		s.attemptsInFlight() == 1 && s.delivered < r.route.MaximumAttempts
}

// hedgeOrLookAgain starts a hedge that was due at a time, unless the node has stood still since. Answers that have arrived
// meanwhile are then still unread, and the shard is looked at again once they are read.
func (r *Request) hedgeOrLookAgain(now time.Duration, number int, dueAt time.Duration) {
	if now-dueAt > hedgeRecheckInterval {
		r.shards[number].hedgeNoEarlierThan(now + hedgeRecheckInterval)
		return
	}
	r.startHedge(now, number)
}

// spendHedge takes a hedge out of the budget, or records why that is not allowed.
func (r *Request) spendHedge(now time.Duration, number int) bool {
	s := &r.shards[number]
	s.denied = r.extraDenied(now, number, Hedge)
	if s.denied == "" && !r.node.SpendHedge(s.service) {
		s.denied = DeniedNoBudget
	}
	return s.denied == ""
}

// startHedge sends a hedge to another replica of a shard, or records why it could not.
func (r *Request) startHedge(now time.Duration, number int) {
	s := &r.shards[number]
	s.setState(inFlight{attempts: s.attemptsInFlight(), hedgeAt: now + hedgeRecheckInterval})
	chosen, busy := r.node.Pick(s.service, r.pickOptions(s))
	switch {
	case chosen == nil:
		s.denied = denialWithoutReplica(busy)
	case r.answersTooLate(now, chosen):
		s.denied = DeniedTooLate
	case !r.spendHedge(now, number):
		s.hedgeDenied = true
	default:
		s.denied = ""
		s.extrasSpent++
		r.startAttempt(now, number, chosen, Hedge)
	}
}
