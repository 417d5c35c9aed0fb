package forward

import (
	"time"

	"stiletrail/internal/quarantine"
)

// endsToWithdraw back ends that ended under a request none has answered yet are no accident of one of them: its other attempts are withdrawn before they
// end more. With one, requests whose back end just ended by itself would lose the work of all other shards; with ten shards asked at once 4 back ends
// end in place of 10 until the request is known (measured on a virtual clock, ends 2 to 22 ms after the arrival).
const endsToWithdraw = 2

// trialPatience is the share of the target latency after which another trial begins beside one that was not answered. It is twice what a hedge waits for: a
// back end that is about to end takes its time too, and one more trial may end one more.
const trialPatience = 0.9

// caution is how carefully a request is sent on under which back ends have ended, none of which has answered it: to one back end at a time, until one
// answers or the request is put under quarantine.
type caution struct {
	// suspect: no more than one attempt is begun at a time.
	suspect bool
	// ends of back ends under this request.
	ends int
	// retrial: the request is under quarantine, and may reach one back end all the same.
	retrial bool
	// quarantined: the request was put under quarantine while it was under way.
	quarantined bool
	// from is the shard from which on the next trial's is looked for.
	from int
	// trialAt is when the last trial began.
	trialAt time.Duration
}

// backEndEnded decides what becomes of a request under which a back end has ended. Once a shard has answered, the end says nothing of the request.
func (r *Request) backEndEnded(now time.Duration, attempt *Attempt) {
	s := &r.shards[attempt.Shard]
	verdict := r.world.Ended(attempt)
	if r.answered > 0 {
		r.tryAgain(now, attempt.Shard)
		return
	}
	r.caution.ends++
	if verdict == quarantine.Quarantined {
		r.stopAll()
		return
	}
	if !r.mayRepeat(now, s) {
		s.failed = s.live == 0
		return
	}
	s.held = s.live == 0
	if r.caution.suspect || r.caution.ends >= endsToWithdraw {
		r.caution.suspect = true
		r.withdrawAll()
	}
}

// withdrawAll takes back all attempts under way, whose shards are tried again later. They may have run. Shards that pause go on to.
func (r *Request) withdrawAll() {
	r.mayHaveRun = true
	for i := range r.shards {
		if s := &r.shards[i]; s.live > 0 {
			r.cancelShard(i)
			s.held = true
		}
	}
}

// holdAll has all shards wait for the first one's answer.
func (r *Request) holdAll() {
	for i := range r.shards {
		r.shards[i].held = true
	}
}

// stopAll ends all attempts and shards without an answer.
func (r *Request) stopAll() {
	r.caution.quarantined = true
	r.cancelAll()
	for i := range r.shards {
		if s := &r.shards[i]; s.response == nil {
			s.held, s.failed, s.denied = false, true, DeniedQuarantined
		}
	}
}

// release has all shards that are held go on: a back end has answered the request, so that it does not end what runs it.
func (r *Request) release(now time.Duration) {
	r.caution = caution{from: r.caution.from}
	for i := range r.shards {
		if s := &r.shards[i]; s.held {
			r.goOn(now, i)
		}
	}
}

// goOn tries a shard that was held.
func (r *Request) goOn(now time.Duration, number int) {
	s := &r.shards[number]
	s.held = false
	switch {
	case len(s.asked) == 0:
		r.tryFirst(now, number)
	case !r.mayRepeat(now, s):
		s.failed = true
	case !r.retry(now, number):
		r.tryLater(now, number)
	}
}

// try begins the next trial of a request whose shards are held: at one of them, once nothing is under way, or what is takes as long as it would be waited for
// before a hedge.
func (r *Request) try(now time.Duration) {
	if r.done {
		return
	}
	if at, due := r.nextTrial(); !due || now < at {
		return
	}
	if r.caution.ends > 0 && r.world.Verdict() == quarantine.Quarantined {
		r.stopAll()
		return
	}
	for step := range r.shards {
		i := (r.caution.from + step) % len(r.shards)
		s := &r.shards[i]
		if !s.held {
			continue
		}
		r.caution.trialAt = now
		if r.goOn(now, i); s.live > 0 {
			r.caution.from = i + 1
			return
		}
	}
}

// nextTrial is when the next trial is due; false if none is.
func (r *Request) nextTrial() (at time.Duration, due bool) {
	held, live := false, false
	for i := range r.shards {
		held = held || r.shards[i].held
		live = live || r.shards[i].live > 0
	}
	switch {
	case !held:
		return 0, false
	case !live:
		return 0, true
	case !r.caution.suspect:
		// Others of the first attempts may still answer.
		return 0, false
	}
	patience := time.Duration(trialPatience * float64(r.route.TargetLatency))
	return r.caution.trialAt + patience, !r.caution.retrial
}

// retried ends a request under quarantine whose one attempt reached a back end and was not answered.
func (r *Request) retried(outcome Outcome) bool {
	return r.caution.retrial && outcome.Kind != NotSent
}
