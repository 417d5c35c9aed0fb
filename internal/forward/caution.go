package forward

import (
	"time"

	"stiletrail/internal/quarantine"
)

// The rule of caution: how a request is sent on under which back ends end, so that it ends no more of them than it takes
// to know it.
//   - A shard whose back end ended is held until another shard has answered, or nothing is under way.
//   - With two ends and no answer (quarantine.CancelOthers), all attempts under way are withdrawn, their shards held,
//     and the request is suspected.
//   - A request that is suspected, also when it comes, is tried at one back end at a time: once nothing is under way, or
//     trialPatience after the last trial began.
//   - The first answer clears it: all shards that are held are asked.
//   - Put under quarantine, or tried in vain as one that is, it ends with what is there.
//
// trialPatience is the share of the target latency after which another trial begins beside one that was not answered. It
// is twice what a hedge waits for: a back end that is about to end takes its time too, and one more trial may end one
// more.
const trialPatience = 0.9

// caution is what is known of the back ends that have ended under a request, none of which has answered it.
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

// backEndEnded decides what becomes of a request under which a back end has ended. Once a shard has answered, the end
// says nothing of the request.
func (r *Request) backEndEnded(now time.Duration, attempt *Attempt) {
	s := &r.shards[attempt.Shard]
	verdict := r.node.RecordCrash(attempt)
	if r.answered > 0 {
		r.retryOrGiveUp(now, attempt.Shard)
		return
	}
	r.caution.ends++
	if verdict == quarantine.Quarantined {
		r.giveUpAllShards()
		return
	}
	if !r.mayRepeat(now, s) {
		if s.live() == 0 {
			s.become(failed{})
		}
		return
	}
	if s.live() == 0 {
		s.become(held{})
	}
	if quarantine.CancelOthers(r.caution.suspect, r.caution.ends) {
		r.caution.suspect = true
		r.withdrawAll()
	}
}

// withdrawAll takes back all attempts under way, whose shards are asked again later. They may have run. Shards that pause
// go on to.
func (r *Request) withdrawAll() {
	r.mayHaveRun = true
	for i := range r.shards {
		if s := &r.shards[i]; s.live() > 0 {
			r.cancelAttempts(i)
			s.become(held{})
		}
	}
}

// holdAll has all shards wait for the first one's answer.
func (r *Request) holdAll() {
	for i := range r.shards {
		r.shards[i].become(held{})
	}
}

// giveUpAllShards ends all attempts, and all shards without an answer.
func (r *Request) giveUpAllShards() {
	r.caution.quarantined = true
	r.cancelAllAttempts()
	for i := range r.shards {
		if s := &r.shards[i]; s.response() == nil {
			s.fail(DeniedQuarantined)
		}
	}
}

// clearSuspicion has all shards that are held asked: a back end has answered the request, so that it does not end what runs it.
func (r *Request) clearSuspicion(now time.Duration) {
	r.caution = caution{from: r.caution.from}
	for i := range r.shards {
		if r.shards[i].held() {
			r.askHeld(now, i)
		}
	}
}

// askHeld asks a shard that was held.
func (r *Request) askHeld(now time.Duration, number int) {
	s := &r.shards[number]
	switch {
	case len(s.asked) == 0:
		r.askFirst(now, number)
	case !r.mayRepeat(now, s):
		s.become(failed{})
	case !r.retry(now, number):
		r.pauseOrGiveUp(now, number)
	}
}

// beginTrial begins the next trial, if it is due, at the first shard from which on one is looked for that is held and can
// be asked.
func (r *Request) beginTrial(now time.Duration) {
	if r.done {
		return
	}
	if at, due := r.nextTrial(); !due || now < at {
		return
	}
	if r.caution.ends > 0 && r.node.Verdict() == quarantine.Quarantined {
		r.giveUpAllShards()
		return
	}
	for step := range r.shards {
		i := (r.caution.from + step) % len(r.shards)
		s := &r.shards[i]
		if !s.held() {
			continue
		}
		r.caution.trialAt = now
		if r.askHeld(now, i); s.live() > 0 {
			r.caution.from = i + 1
			return
		}
	}
}

// nextTrial is when the next trial is due; false if none is.
func (r *Request) nextTrial() (at time.Duration, due bool) {
	switch {
	case !r.anyHeld():
		return 0, false
	case !r.anyUnderWay():
		return 0, true
	case !r.caution.suspect:
		// Others of the first attempts may still answer.
		return 0, false
	}
	patience := time.Duration(trialPatience * float64(r.route.TargetLatency))
	return r.caution.trialAt + patience, !r.caution.retrial
}

func (r *Request) anyHeld() bool {
	for i := range r.shards {
		if r.shards[i].held() {
			return true
		}
	}
	return false
}

// retrialOver: a request under quarantine is not sent on once its one attempt has reached a back end.
func (r *Request) retrialOver(outcome Outcome) bool {
	return r.caution.retrial && outcome.Kind != NotSent
}
