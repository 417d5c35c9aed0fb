package forward

import "time"

// The rule of hedges, extra attempts that only save time. A shard is hedged when one attempt is under way, the route lets
// the request run twice and allows another attempt, and the request isn't suspected of ending back ends. It is due
//   - after HedgeShare of the target latency (hedgeDelay);
//   - once half of the shards have answered, when the shard is late by what the request took there (lateAfter).
//
// It is sent if there is another replica with room that can answer by the deadline, and the service's budget allows it;
// if not, it is tried again after hedgeAgain.
const (
	hedgeAgain = 20 * time.Millisecond
	// siblingFactor and siblingSlack: a shard is late once it takes longer than so many times its siblings and the slack,
	// beyond the time that any answer of its replica takes.
	siblingFactor = 2
	siblingSlack  = 12 * time.Millisecond
	// hedgeRoom is kept for the way of a hedge to another region and back, over a new connection. hedgePatience is where,
	// between the moment at which a shard is late and the last one at which a hedge still saves the answer, it is hedged
	// while extras are few.
	hedgeRoom     = 30 * time.Millisecond
	hedgePatience = 0.5
)

// hedgeDelay is a share of the target latency. That is the latest moment at which a hedge still saves the answer; a shard whose
// siblings have answered is hedged earlier.
func (r *Request) hedgeDelay() time.Duration {
	return time.Duration(r.settings.HedgeShare * float64(r.route.TargetLatency))
}

// hedgeLateSiblings learns from a shard's answer how long this request takes. All shards work on the same request, so
// what it takes at one tells what it takes at the others: once half of the shards have answered, those that take much
// longer are held up by their replicas, and are hedged; before that a long wait says that the request is a long one,
// which a hedge would not shorten.
func (r *Request) hedgeLateSiblings(now time.Duration, attempt *Attempt) {
	if !r.settings.SiblingHedges || !r.route.FansOut() || r.answered*2 < len(r.shards) {
		return
	}
	if r.siblingLatency == 0 {
		r.siblingLatency = max(now-attempt.StartedAt-attempt.Replica.MinimumLatency(), 0)
	}
	for _, open := range r.attempts {
		if s := &r.shards[open.Shard]; open.live && s.live() == 1 {
			s.hedgeBy(max(now, open.StartedAt+open.Replica.MinimumLatency()+r.lateAfter(s)))
		}
	}
}

// lateAfter is how long beyond its floor an attempt may take before its shard is hedged. The last extra attempts that the
// budget allows, which is soon reached where very many nodes share it, are kept for shards that are still not answered
// half way to the last moment at which a hedge saves the answer.
func (r *Request) lateAfter(s *shard) time.Duration {
	late := siblingFactor*r.siblingLatency + siblingSlack
	latest := r.target - r.arrivedAt - late - hedgeRoom
	if latest > late && r.node.ExtraAttemptsLeft(s.service) < float64(r.settings.LastExtras) {
		late += time.Duration(hedgePatience * float64(latest-late))
	}
	return late
}

// mayHedge: one attempt is under way and the route allows another.
func (r *Request) mayHedge(s *shard) bool {
	return !r.caution.suspect && r.settings.HedgeShare > 0 && r.route.Repeatable &&
		s.live() == 1 && s.sent < r.route.MaximumAttempts
}

// hedge asks another replica beside the one that was asked.
func (r *Request) hedge(now time.Duration, number int) {
	s := &r.shards[number]
	s.become(underWay{attempts: s.live(), hedgeAt: now + hedgeAgain})
	chosen, busy := r.node.Pick(s.service, r.choice(s))
	switch {
	case chosen == nil:
		s.denied = noReplica(busy)
	case r.tooLate(now, chosen):
		s.denied = DeniedTooLate
	case !r.node.SpendHedge(s.service):
		s.denied = DeniedNoBudget
	default:
		s.denied = ""
		s.paid++
		r.send(now, number, chosen, Hedge)
	}
}
