package forward

import (
	"time"

	"stiletrail/internal/limit"
	"stiletrail/internal/replica"
)

// Attempt is one request sent to one back end.
type Attempt struct {
	// Number is the attempt's index among the attempts of its request, from 0.
	Number  int
	Shard   int
	Service string
	Replica *replica.Replica
	Purpose Purpose
	// Need is what the request lacked when it asked for the attempt, if it is an extra attempt.
	Need limit.Need
	// StartedAt is when the request decided to send the attempt.
	StartedAt time.Duration
	// Outcome and EndedAt are set if the attempt ends before its request does.
	Outcome Outcome
	EndedAt time.Duration
	// inFlight is set until the attempt has an outcome or is cancelled.
	inFlight bool
}

// Purpose is why an attempt is sent.
type Purpose string

// Purposes of attempts: the first at a shard, one sent while another is in flight, and one sent after a failure.
const (
	First Purpose = "first"
	Hedge Purpose = "hedge"
	Retry Purpose = "retry"
)

// DenialReason is why an attempt that was due was not sent.
type DenialReason string

// Reasons why an attempt that was due was not sent.
const (
	// DeniedNoBudget means that the service's budget allowed no extra attempt.
	DeniedNoBudget DenialReason = "no_budget"
	// DeniedReserved means that the last extra attempts of the service's budget are reserved for requests that they
	// decide.
	DeniedReserved DenialReason = "budget_reserved"
	// DeniedReplicasBusy means that the replicas that could be asked were all at their limit.
	DeniedReplicasBusy DenialReason = "replicas_busy"
	// DeniedNoOtherReplica means that no replica was left that could be asked.
	DeniedNoOtherReplica DenialReason = "no_other_replica"
	// DeniedTooLate means that no answer could arrive by the deadline.
	DeniedTooLate DenialReason = "too_late"
	// DeniedQuarantined means that the request is under quarantine, or that it crashes the back ends of this shard.
	DeniedQuarantined DenialReason = "quarantined"
)

// Denied returns why the last attempt that was due at the attempt's shard was not sent, or empty if none was denied.
func (r *Request) Denied(attempt *Attempt) DenialReason { return r.shards[attempt.Shard].denied }

// NeedAtDenial returns what the request lacked when an extra attempt at the attempt's shard was last denied for lack of
// budget, and false if none was.
func (r *Request) NeedAtDenial(attempt *Attempt) (need limit.Need, denied bool) {
	s := &r.shards[attempt.Shard]
	return s.need, s.denied == DeniedNoBudget || s.denied == DeniedReserved
}

// UnaskedShard is a shard at which no attempt was started.
type UnaskedShard struct {
	Service string
	// Reason is why the shard was not asked, empty if its turn had not come.
	Reason DenialReason
}

// Unasked returns the shards at which no attempt was started, in order. For a request that was refused at its start
// it returns all shards.
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

// denialWithoutReplica returns the reason to record if Pick returned no replica.
func denialWithoutReplica(busy bool) DenialReason {
	if busy {
		return DeniedReplicasBusy
	}
	return DeniedNoOtherReplica
}

// startAttempt sends an attempt to the chosen replica of a shard.
func (r *Request) startAttempt(now time.Duration, number int, chosen *replica.Replica, purpose Purpose) {
	s := &r.shards[number]
	attempt := &Attempt{
		Number: len(r.attempts), Shard: number, Service: s.service, Replica: chosen, Purpose: purpose, StartedAt: now, inFlight: true,
	}
	if purpose != First {
		attempt.Need = s.need
	}
	r.attempts = append(r.attempts, attempt)
	s.hedgeDenied = false
	if s.awaiting {
		r.longestWait = max(r.longestWait, now-s.waitingSince)
	}
	s.tried = append(s.tried, chosen)
	s.asked = append(s.asked, chosen)
	s.delivered++
	r.anySent = true
	s.setState(inFlight{attempts: s.attemptsInFlight() + 1, hedgeAt: now + r.hedgeDelay()})
	r.actions = append(r.actions, StartAttempt{attempt})
}

// pickOptions returns which replicas the next attempt at a shard may go to. It excludes those tried since the last
// pause. Once the shard's request has gone to as many back ends as the route allows, it admits only those.
func (r *Request) pickOptions(s *shard) replica.PickOptions {
	options := replica.PickOptions{Excluded: s.tried, Versions: r.versions, Regions: r.route.Regions, TargetLatency: r.route.TargetLatency}
	if countDistinct(s.asked) >= r.route.MaximumAttempts {
		options.Only = s.asked
	}
	return options
}

// answersTooLate reports whether an answer of a replica cannot arrive by the deadline, even with the lowest latency
// that is expected of the replica. Such an attempt would only occupy a slot of the back end.
func (r *Request) answersTooLate(now time.Duration, chosen *replica.Replica) bool {
	return now >= r.timing.deadline || now+chosen.ExpectedMinimum(now) > r.timing.deadline
}

// cancelAttempts cancels all attempts in flight at a shard. The caller sets the shard's next state.
func (r *Request) cancelAttempts(number int) {
	for _, attempt := range r.attempts {
		if attempt.Shard == number && attempt.inFlight {
			attempt.inFlight = false
			r.actions = append(r.actions, CancelAttempt{attempt})
		}
	}
}

// cancelAllAttempts cancels the attempts in flight at all shards.
func (r *Request) cancelAllAttempts() {
	for i := range r.shards {
		r.cancelAttempts(i)
	}
}
