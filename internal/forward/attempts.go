package forward

import (
	"time"

	"stiletrail/internal/replica"
)

// How attempts are spaced.
const (
	// firstWait is the pause before a replica is looked for again where all have their attempts; it doubles up to longestWait,
	// so that many requests that wait do not take the time of those that are served.
	firstWait   = 4 * time.Millisecond
	longestWait = 64 * time.Millisecond
	// hedgeAgain is the pause before a hedge is tried again that found no replica or budget.
	hedgeAgain = 20 * time.Millisecond
	// siblingFactor and siblingSlack: a shard is late once it takes longer than so many times its siblings and the slack,
	// beyond the time that any answer of its replica takes.
	siblingFactor = 2
	siblingSlack  = 12 * time.Millisecond
	// hedgeRoom is kept for the way of a hedge to another region and back, over a new connection. hedgePatience is where, between the
	// moment at which a shard is late and the last one at which a hedge still saves the answer, it is hedged while extras are few.
	hedgeRoom     = 30 * time.Millisecond
	hedgePatience = 0.5
)

// tryFirst sends a shard's request to the best replica, or waits for one to have room.
func (r *Request) tryFirst(now time.Duration, number int) {
	s := &r.shards[number]
	if r.world.LeftOut(s.service) {
		s.waiting, s.failed, s.denied = false, true, DeniedQuarantined
		return
	}
	chosen, busy := r.world.Pick(s.service, r.choice(s))
	s.waiting = chosen == nil && busy
	switch {
	case chosen != nil && r.tooLate(now, chosen):
		s.failed, s.denied = true, DeniedTooLate
	case chosen != nil:
		r.send(now, number, chosen, First)
	case busy:
		s.wait = min(max(2*s.wait, firstWait), longestWait)
		s.lookAgainAt = now + s.wait
	default:
		s.failed = true
	}
}

// tooLate reports whether an answer of a replica cannot come by the deadline, by the least that any of its answers takes. Such an attempt would only take
// a slot.
func (r *Request) tooLate(now time.Duration, chosen *replica.Replica) bool {
	return now+chosen.Least(now) > r.deadline
}

// choice of replicas for the next attempt at a shard: none that was tried since the last pause, and none that was not asked yet
// where as many were asked as the route allows.
func (r *Request) choice(s *shard) replica.Choice {
	choice := replica.Choice{Excluded: s.tried, Versions: r.versions, Regions: r.route.Regions, Target: r.route.TargetLatency}
	if distinct(s.asked) >= r.route.MaximumAttempts {
		choice.Only = s.asked
	}
	return choice
}

func (r *Request) send(now time.Duration, number int, chosen *replica.Replica, purpose Purpose) {
	s := &r.shards[number]
	attempt := &Attempt{
		Number: len(r.attempts), Shard: number, Service: s.service, Replica: chosen, Purpose: purpose, StartedAt: now, live: true,
	}
	r.attempts = append(r.attempts, attempt)
	s.tried = append(s.tried, chosen)
	s.asked = append(s.asked, chosen)
	s.sent++
	s.live++
	r.anySent = true
	s.hedgeAt = now + r.hedgeDelay()
	r.actions = append(r.actions, Action{Send: attempt})
}

// hedgeDelay is a share of the target latency. That is the latest moment at which a hedge still saves the answer; a shard whose
// siblings have answered is hedged earlier.
func (r *Request) hedgeDelay() time.Duration {
	return time.Duration(r.settings.HedgeShare * float64(r.route.TargetLatency))
}

// noteAnswer learns from a shard's answer how long this request takes. All shards work on the same request, so what it takes at
// one tells what it takes at the others: once half of the shards have answered, those that take much longer are held up by
// their replicas, and are hedged; before that a long wait says that the request is a long one, which a hedge would not
// shorten.
func (r *Request) noteAnswer(now time.Duration, attempt *Attempt) {
	if !r.settings.SiblingHedges || !r.route.FansOut() || r.answered*2 < len(r.shards) {
		return
	}
	if r.siblings == 0 {
		r.siblings = max(now-attempt.StartedAt-attempt.Replica.Floor(), 0)
	}
	for _, open := range r.attempts {
		if s := &r.shards[open.Shard]; open.live && s.live == 1 {
			s.hedgeAt = min(s.hedgeAt, max(now, open.StartedAt+open.Replica.Floor()+r.late(s)))
		}
	}
}

// late is how long beyond its floor an attempt may take before its shard is hedged. The last extra attempts that the budget allows,
// which is soon reached where very many nodes share it, are kept for shards that are still not answered half way to the last moment
// at which a hedge saves the answer.
func (r *Request) late(s *shard) time.Duration {
	late := siblingFactor*r.siblings + siblingSlack
	latest := r.target - r.startedAt - late - hedgeRoom
	if latest > late && r.world.ExtrasLeft(s.service) < float64(r.settings.LastExtras) {
		late += time.Duration(hedgePatience * float64(latest-late))
	}
	return late
}

// mayHedge: one attempt is under way and the route allows another.
func (r *Request) mayHedge(s *shard) bool {
	return !r.caution.suspect && r.settings.HedgeShare > 0 && r.route.Repeatable && s.response == nil && !s.failed &&
		s.live == 1 && s.sent < r.route.MaximumAttempts
}

func (r *Request) hedge(now time.Duration, number int) {
	s := &r.shards[number]
	s.hedgeAt = now + hedgeAgain
	chosen, busy := r.world.Pick(s.service, r.choice(s))
	switch {
	case chosen == nil:
		s.denied = noReplica(busy)
	case r.tooLate(now, chosen):
		s.denied = DeniedTooLate
	case !r.world.SpendHedge(s.service):
		s.denied = DeniedBudget
	default:
		s.denied = ""
		s.paid++
		r.send(now, number, chosen, Hedge)
	}
}

func (r *Request) cancelShard(number int) {
	for _, attempt := range r.attempts {
		if attempt.Shard == number && attempt.live {
			attempt.live = false
			r.shards[number].live--
			r.actions = append(r.actions, Action{Cancel: attempt})
		}
	}
}

func (r *Request) cancelAll() {
	for i := range r.shards {
		r.cancelShard(i)
	}
}
