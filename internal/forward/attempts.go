package forward

import "time"

// How attempts are spaced.
const (
	// waitForRoom is the pause before a replica is looked for again where all have their attempts.
	waitForRoom = 4 * time.Millisecond
	// hedgeAgain is the pause before a hedge is tried again that found no replica or budget.
	hedgeAgain = 20 * time.Millisecond
	// hedgeLatencies is the number of expected latencies a hedge waits at least.
	hedgeLatencies = 2
	// UnsentTries bounds how often a shard looks for another replica after attempts of which no byte was written.
	UnsentTries = 3
)

// try sends a shard's request to the best replica that was not tried yet.
func (r *Request) try(now time.Duration, number int, purpose Purpose) bool {
	s := &r.shards[number]
	chosen, busy := r.world.Pick(s.service, s.tried)
	s.waiting = chosen == nil && busy && purpose == First
	if chosen == nil {
		s.failed = s.live == 0 && !s.waiting
		return false
	}
	attempt := &Attempt{
		Number: len(r.attempts), Shard: number, Service: s.service, Replica: chosen, Purpose: purpose, StartedAt: now, live: true,
	}
	r.attempts = append(r.attempts, attempt)
	s.tried = append(s.tried, chosen)
	s.sent++
	s.live++
	r.anySent = true
	s.hedgeAt = now + r.hedgeDelay(now, attempt)
	r.actions = append(r.actions, Action{Send: attempt})
	return true
}

// hedgeDelay is a share of the target latency, but no less than twice what the replica is expected to take, up to half of the
// target: a hedge that is sent while the answer is on its way only adds load.
func (r *Request) hedgeDelay(now time.Duration, attempt *Attempt) time.Duration {
	delay := time.Duration(r.settings.HedgeShare * float64(r.route.TargetLatency))
	expected := hedgeLatencies * attempt.Replica.Latency()
	return max(delay, min(expected, r.route.TargetLatency/2))
}

// mayHedge: one attempt is under way and the route allows another.
func (r *Request) mayHedge(s *shard) bool {
	return r.settings.HedgeShare > 0 && r.route.Repeatable && s.response == nil && !s.failed &&
		s.live == 1 && s.sent < r.route.MaximumAttempts
}

func (r *Request) hedge(now time.Duration, number int) {
	s := &r.shards[number]
	s.hedgeAt = now + hedgeAgain
	chosen, _ := r.world.Pick(s.service, s.tried)
	if chosen == nil || !r.world.SpendHedge(s.service) {
		return
	}
	r.try(now, number, Hedge)
}

// tryAgain decides what becomes of a shard whose attempt failed: another attempt under way may still answer it, another
// replica is asked if that is safe and allowed, or the shard has failed.
func (r *Request) tryAgain(now time.Duration, number int) {
	s := &r.shards[number]
	if s.live > 0 {
		return
	}
	if !r.mayTryAgain(now, s) {
		s.failed = true
		return
	}
	r.try(now, number, Retry)
}

func (r *Request) mayTryAgain(now time.Duration, s *shard) bool {
	kind := s.last.Kind
	if kind == Expired || now >= r.deadline || s.sent >= r.route.MaximumAttempts {
		return false
	}
	// Safe: a request that is not repeatable goes out again only with proof that it did not run.
	if !r.route.Repeatable && !kind.NotRun() {
		return false
	}
	if kind == NotSent {
		return len(s.tried) <= UnsentTries
	}
	return r.world.SpendRetry(s.service)
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
