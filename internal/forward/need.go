package forward

import (
	"time"

	"stiletrail/internal/limit"
)

// While less than 1 + Settings.LastExtras extra attempts of a service are left, they go to requests that they decide
// (limit.Need):
//   - A shard that the answer may lack gets none.
//   - A request gets none if it needs more of them than the budgets of its services have.
//   - One that needs a single one comes before one that needs several, a more urgent one before a less urgent one, and a
//     retry before a hedge.
//   - Until half of the shards have answered, what a request needs is not known. A retry waits for that, for one
//     Settings.RetryPause at most.
//
// A shard that gets none is asked again after a pause, and meanwhile other nodes are asked to lend what the budgets lack.
// More extra attempts than that are spent as they are asked for.

// extraDenied returns why an extra attempt at a shard must not be spent, and empty if it may be. It records what the
// request needs.
func (r *Request) extraDenied(now time.Duration, number int, purpose Purpose) DenialReason {
	s := &r.shards[number]
	s.need = r.needOf(now, number, purpose)
	if !r.settings.ExtrasByNeed || r.settings.RetryPause == 0 {
		return ""
	}
	left := r.node.ExtraAttemptsLeft(s.service)
	if left >= float64(1+r.settings.LastExtras) {
		return ""
	}
	s.need.Available = r.findExtras(now, number, purpose)
	switch {
	case left < 1:
		return DeniedNoBudget
	case purpose == Retry && r.needUnknown(s), !s.need.CanBeMet(), left < s.need.LeastLeft(r.settings.LastExtras):
		return DeniedReserved
	}
	return ""
}

// needOf returns what the request lacks when it asks for an extra attempt at a shard. Available is left at 0.
func (r *Request) needOf(now time.Duration, number int, purpose Purpose) limit.Need {
	missing := r.requiredShards() - r.answered
	coming := 0
	for i := range r.shards {
		if r.shards[i].isOpen() && !r.lacksExtra(now, i, number, purpose) {
			coming++
		}
	}
	return limit.Need{Missing: missing, Extras: max(0, missing-coming), Rank: r.effectiveRank(), Hedge: purpose == Hedge}
}

// effectiveRank returns the rank by which the request competes. All have the same one unless priorities are in force.
func (r *Request) effectiveRank() int {
	if !r.prioritized {
		return 0
	}
	return r.rank
}

// findExtras returns how many of the shards that lack an extra attempt belong to services that have one left. It asks other
// nodes for the rest.
func (r *Request) findExtras(now time.Duration, number int, purpose Purpose) (available int) {
	for i := range r.shards {
		if !r.lacksExtra(now, i, number, purpose) {
			continue
		}
		if r.extraLeftOrAsked(r.shards[i].service) {
			available++
		}
	}
	return available
}

// extraLeftOrAsked reports whether a service has an extra attempt left. If not, other nodes are asked for one.
func (r *Request) extraLeftOrAsked(service string) bool {
	if r.node.ExtraAttemptsLeft(service) >= 1 {
		return true
	}
	r.node.AskForExtra(service)
	return false
}

// lacksExtra reports whether a shard can't answer without an extra attempt, as an attempt at the shard numbered asking
// sees it: that one itself, one that is paused, and, for a hedge, one that is late.
func (r *Request) lacksExtra(now time.Duration, number, asking int, purpose Purpose) bool {
	s := &r.shards[number]
	if number == asking {
		return true
	}
	switch state := s.state.(type) {
	case paused:
		return !s.retryIsFree()
	case inFlight:
		return purpose == Hedge && r.hedgeAllowed(s) && (s.hedgeDenied || state.hedgeAt <= now)
	}
	return false
}

// needUnknown reports whether too few shards have answered to tell what the request needs, and the shard has not waited
// for that yet.
func (r *Request) needUnknown(s *shard) bool {
	return r.route.FansOut() && s.pauseLength == 0 && !r.halfAnswered()
}

func (r *Request) halfAnswered() bool { return r.answered*2 >= len(r.shards) }

// retryOnceNeedKnown retries the shards that have waited until half of the shards have answered, right after the answer
// that made it half.
func (r *Request) retryOnceNeedKnown(now time.Duration) {
	if !r.halfAnswered() || (r.answered-1)*2 >= len(r.shards) {
		return
	}
	for i := range r.shards {
		if _, waits := r.shards[i].state.(paused); waits && r.shards[i].extraReserved {
			r.retryAfterPause(now, i)
		}
	}
}
