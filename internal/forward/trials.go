package forward

import (
	"time"

	"stiletrail/internal/quarantine"
)

// Trials: how a request that has crashed back ends is sent on, so that it crashes no more of them than are needed to
// recognise it.
//   - A shard whose back end crashed is held until another shard has answered, or no attempt is in flight.
//   - After two crashes and no answer (quarantine.CancelOthers), all attempts in flight are cancelled, their
//     shards are held, and the request is suspected.
//   - A suspected request is tried at one back end at a time, also if it was suspected when it arrived. The next
//     trial begins once no attempt is in flight, or trialIntervalShare of the target latency after the last trial
//     began.
//   - The first answer clears the request: all held shards are asked.
//   - A request that is put under quarantine, or whose one attempt under quarantine is not answered, is answered at
//     once with what is there.
//
// trialIntervalShare is the share of the target latency after which the next trial begins although the last one is
// unanswered. It is twice the wait before a hedge: a back end that is about to crash also takes its time, and each
// further trial may crash one more back end.
const trialIntervalShare = 0.9

// trials is what is known of the back ends that a request has crashed, while none has answered it.
type trials struct {
	// suspected is set while only one attempt may be started at a time.
	suspected bool
	// crashes counts the back ends that crashed while they ran this request.
	crashes int
	// retrial is set if the request is under quarantine but may be sent to one back end.
	retrial bool
	// quarantined is set once the request was put under quarantine while in flight, or once its one attempt under
	// quarantine got no answer.
	quarantined bool
	// nextShard is the index of the shard at which the search for the next shard to try begins.
	nextShard int
	// lastStartedAt is when the last trial began.
	lastStartedAt time.Duration
}

// handleCrash decides what follows after a back end crashed during an attempt. Once a shard has answered, a crash
// does not count against the request.
func (r *Request) handleCrash(now time.Duration, attempt *Attempt) {
	s := &r.shards[attempt.Shard]
	verdict := r.node.RecordCrash(attempt)
	if r.answered > 0 {
		r.retryOrGiveUp(now, attempt.Shard)
		return
	}
	r.trials.crashes++
	if verdict == quarantine.Quarantined {
		r.giveUpAllShards()
		return
	}
	if !r.repeatAllowed(now, s) {
		if s.attemptsInFlight() == 0 {
			s.setState(failed{})
		}
		return
	}
	if s.attemptsInFlight() == 0 {
		s.setState(held{})
	}
	if quarantine.CancelOthers(r.trials.suspected, r.trials.crashes) {
		r.trials.suspected = true
		r.cancelAndHoldAll()
	}
}

// cancelAndHoldAll cancels all attempts in flight, which may have run, and holds their shards, to be asked again
// later. Paused shards stay paused.
func (r *Request) cancelAndHoldAll() {
	r.mayHaveRun = true
	for i := range r.shards {
		if s := &r.shards[i]; s.attemptsInFlight() > 0 {
			r.cancelAttempts(i)
			s.setState(held{})
		}
	}
}

// holdAll holds all shards; they are asked by trials until one has answered.
func (r *Request) holdAll() {
	for i := range r.shards {
		r.shards[i].setState(held{})
	}
}

// giveUpAllShards cancels all attempts and gives up all shards without an answer.
func (r *Request) giveUpAllShards() {
	r.trials.quarantined = true
	r.cancelAllAttempts()
	for i := range r.shards {
		if s := &r.shards[i]; s.response() == nil {
			s.fail(DeniedQuarantined)
		}
	}
}

// endTrials ends the suspicion of the request and asks all held shards: a back end has answered the request, so the
// request does not crash back ends.
func (r *Request) endTrials(now time.Duration) {
	r.trials = trials{nextShard: r.trials.nextShard}
	for i := range r.shards {
		if r.shards[i].isHeld() {
			r.askHeldShard(now, i)
		}
	}
}

// askHeldShard sends an attempt to a held shard. If it cannot, the shard waits for capacity, pauses or fails.
func (r *Request) askHeldShard(now time.Duration, number int) {
	s := &r.shards[number]
	switch {
	case len(s.asked) == 0:
		r.startFirstAttempt(now, number)
	case !r.repeatAllowed(now, s):
		s.setState(failed{})
	case !r.startRetry(now, number):
		r.pauseOrGiveUp(now, number)
	}
}

// startTrialIfDue starts the next trial if it is due. It asks the first held shard, beginning with nextShard, to
// which an attempt can be sent.
func (r *Request) startTrialIfDue(now time.Duration) {
	if r.done {
		return
	}
	if at, due := r.nextTrialAt(); !due || now < at {
		return
	}
	if r.trials.crashes > 0 && r.node.Verdict() == quarantine.Quarantined {
		r.giveUpAllShards()
		return
	}
	for step := range r.shards {
		i := (r.trials.nextShard + step) % len(r.shards)
		s := &r.shards[i]
		if !s.isHeld() {
			continue
		}
		r.trials.lastStartedAt = now
		if r.askHeldShard(now, i); s.attemptsInFlight() > 0 {
			r.trials.nextShard = i + 1
			return
		}
	}
}

// nextTrialAt returns when the next trial is due, and false if none is.
func (r *Request) nextTrialAt() (at time.Duration, due bool) {
	switch {
	case !r.anyHeld():
		return 0, false
	case !r.anyInFlight():
		return 0, true
	case !r.trials.suspected:
		// Attempts that were sent before the crash may still be answered.
		return 0, false
	}
	interval := time.Duration(trialIntervalShare * float64(r.route.TargetLatency))
	return r.trials.lastStartedAt + interval, !r.trials.retrial
}

// anyHeld reports whether a shard is held.
func (r *Request) anyHeld() bool {
	for i := range r.shards {
		if r.shards[i].isHeld() {
			return true
		}
	}
	return false
}

// endsRetrial reports whether an outcome ends the request because it is under quarantine and its one allowed attempt
// may have reached a back end.
func (r *Request) endsRetrial(outcome Outcome) bool {
	return r.trials.retrial && outcome.Kind != NotSent
}
