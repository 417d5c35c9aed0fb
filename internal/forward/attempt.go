package forward

import (
	"time"

	"stiletrail/internal/replica"
)

// Attempt is one request to one back end.
type Attempt struct {
	// Number counts the attempts of a request from 0.
	Number  int
	Shard   int
	Service string
	Replica *replica.Replica
	Purpose Purpose
	// StartedAt is when it was decided.
	StartedAt time.Duration
	// Outcome and EndedAt are set when the attempt ends before the request does.
	Outcome Outcome
	EndedAt time.Duration
	// live until an outcome came or it was cancelled.
	live bool
}

// Purpose of an attempt.
type Purpose string

// The purposes.
const (
	First Purpose = "first"
	Hedge Purpose = "hedge"
	Retry Purpose = "retry"
)

// DenialReason says why an attempt that was due was not sent.
type DenialReason string

// The reasons.
const (
	DeniedNoBudget       DenialReason = "no_budget"
	DeniedReplicasBusy   DenialReason = "replicas_busy"
	DeniedNoOtherReplica DenialReason = "no_other_replica"
	// DeniedTooLate: no answer could come by the deadline any more.
	DeniedTooLate DenialReason = "too_late"
	// DeniedQuarantined: the request ends the back ends that run it, here or at this shard.
	DeniedQuarantined DenialReason = "quarantined"
)

// Denied returns why the last attempt that was due for an attempt's shard was not sent, empty if none was.
func (r *Request) Denied(attempt *Attempt) DenialReason { return r.shards[attempt.Shard].denied }

// UnaskedShard is a shard without an attempt.
type UnaskedShard struct {
	Service string
	// Reason it was not asked, empty where its turn had not come.
	Reason DenialReason
}

// Unasked are the shards at which no attempt was begun, in their order. Those of a request that was refused at its start are all.
func (r *Request) Unasked() (unasked []UnaskedShard) {
	begun := make([]bool, len(r.shards))
	for _, attempt := range r.attempts {
		begun[attempt.Shard] = true
	}
	for i := range r.shards {
		if s := &r.shards[i]; !begun[i] {
			unasked = append(unasked, UnaskedShard{s.service, s.denied})
		}
	}
	return unasked
}

func noReplica(busy bool) DenialReason {
	if busy {
		return DeniedReplicasBusy
	}
	return DeniedNoOtherReplica
}

// send begins an attempt at a shard.
func (r *Request) send(now time.Duration, number int, chosen *replica.Replica, purpose Purpose) {
	s := &r.shards[number]
	attempt := &Attempt{
		Number: len(r.attempts), Shard: number, Service: s.service, Replica: chosen, Purpose: purpose, StartedAt: now, live: true,
	}
	r.attempts = append(r.attempts, attempt)
	s.tried = append(s.tried, chosen)
	s.asked = append(s.asked, chosen)
	s.sent++
	r.anySent = true
	s.become(underWay{attempts: s.live() + 1, hedgeAt: now + r.hedgeDelay()})
	r.actions = append(r.actions, StartAttempt{attempt})
}

// choice of replicas for the next attempt at a shard: none that was tried since the last pause, and none that was not asked yet
// where as many were asked as the route allows.
func (r *Request) choice(s *shard) replica.PickOptions {
	choice := replica.PickOptions{Excluded: s.tried, Versions: r.versions, Regions: r.route.Regions, TargetLatency: r.route.TargetLatency}
	if distinct(s.asked) >= r.route.MaximumAttempts {
		choice.Only = s.asked
	}
	return choice
}

// tooLate reports whether an answer of a replica cannot come by the deadline, by the least that any of its answers takes.
// Such an attempt would only take a slot.
func (r *Request) tooLate(now time.Duration, chosen *replica.Replica) bool {
	return now+chosen.ExpectedMinimum(now) > r.deadline
}

// cancelAttempts withdraws all that is under way at a shard. What the shard's state is then is for the caller to say.
func (r *Request) cancelAttempts(number int) {
	for _, attempt := range r.attempts {
		if attempt.Shard == number && attempt.live {
			attempt.live = false
			r.actions = append(r.actions, CancelAttempt{attempt})
		}
	}
}

func (r *Request) cancelAllAttempts() {
	for i := range r.shards {
		r.cancelAttempts(i)
	}
}
