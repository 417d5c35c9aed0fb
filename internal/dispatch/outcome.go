package dispatch

import (
	"slices"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
	"stiletrail/internal/query"
)

// An attempt that could not be hedged is looked at again hedgeRetries times per hedge delay.
const (
	hedgeRetries      = 16
	minimumHedgeRetry = time.Millisecond
)

// hedge asks other replicas for the shards an attempt has not answered, if they have room and the budget allows.
func (c *Core) hedge(now time.Duration, a *attempt) {
	w := a.work
	if c.settled(a) {
		return
	}
	var shards []uint32
	open := 0
	for _, shard := range a.shards {
		state := w.shards[shard]
		if state.answered || state.live != 1 {
			continue
		}
		open++
		if c.roomFor(now, w, shard) {
			shards = append(shards, shard)
		}
	}
	allowed := len(shards) > 0 && w.group.hedges.Spend(len(shards))
	if open == 0 || allowed && len(shards) == open {
		a.hedged = true
	} else if again := now + max(c.hedgeDelay(w.group)/hedgeRetries, minimumHedgeRetry); again < w.deadline {
		// A slot may free, or the budget earn, at any moment: what is late already is looked at again soon.
		c.schedule(timer{at: again, attempt: a})
		if 2*(now-a.startedAt) > 3*c.hedgeDelay(w.group) && !slices.Contains(w.group.late, a) {
			w.group.late = append(w.group.late, a)
		}
	}
	if allowed {
		c.Counters.Hedges++
		c.place(now, w, shards, true, query.ReasonNone)
	}
}

// roomFor reports whether a replica of the shard that was not asked yet could start at once.
func (c *Core) roomFor(now time.Duration, w *work, shard uint32) bool {
	return slices.ContainsFunc(c.candidates(now, w, shard), func(b *backEnd) bool {
		return b.hasRoomNow(now)
	})
}

// Answered takes in the outcome of an attempt. One that is not known, as a second one, is dropped.
func (c *Core) Answered(now time.Duration, result query.AttemptResult) []Action {
	a := c.attempts[result.Attempt]
	if a == nil {
		c.Counters.DroppedAnswers++
		return c.take()
	}
	delete(c.attempts, a.number)
	a.backEnd.window.Finish()
	if result.HasHolding {
		a.backEnd.observe(now, result.Holding)
	}
	status := c.verify(a, result)
	if status.NotRun() {
		a.work.mayHaveRun--
	}
	c.release(a.work, a.shards)
	c.judge(now, a, status, result)
	switch {
	case status == query.StatusLost && result.BackEndEnded:
		c.backEndEnded(now, a)
	case !a.work.finished:
		c.advance(now, a, status, result)
	}
	if a.backEnd.draining != 0 {
		c.requeue(now, a.group, a.backEnd)
	}
	c.pump(now, a.group, a.backEnd)
	return c.take()
}

// verify checks that an answer is to the question: the pinned snapshot and exactly the shards asked for.
func (c *Core) verify(a *attempt, result query.AttemptResult) query.Status {
	if result.Status == query.StatusInvalid {
		c.Counters.InvalidAnswers++
	}
	if result.Status != query.StatusOK {
		return result.Status
	}
	if !a.work.request.Execute && result.Snapshot != a.work.request.Snapshot {
		c.Counters.WrongSnapshot++
		return query.StatusInvalid
	}
	if len(result.Results) != len(a.shards) {
		c.Counters.InvalidAnswers++
		return query.StatusInvalid
	}
	for i, documents := range result.Results {
		if documents.Shard != a.shards[i] {
			c.Counters.InvalidAnswers++
			return query.StatusInvalid
		}
	}
	return query.StatusOK
}

// judge updates what is known of the back end from the outcome.
func (c *Core) judge(now time.Duration, a *attempt, status query.Status, result query.AttemptResult) {
	b := a.backEnd
	elapsed := now - a.startedAt
	switch status {
	case query.StatusOK:
		a.group.latencies.Record(elapsed)
		b.succeeded(now, elapsed)
		c.quarantine.Answered(clock.Of(now), identityOf(a.work.request), a.work.request.Service, "")
	case query.StatusShed:
		c.Counters.ShedByBackEnd++
		if c.settings.Windows {
			b.window.Shed(now, max(b.latency, time.Millisecond))
			b.notBefore = now + result.RetryAfter
		}
	case query.StatusDraining:
		if !result.HasHolding || result.Holding.State != query.StateDraining {
			// Its health lies; else it is believed again when it says that it serves.
			b.draining |= DrainByAttempt
			b.refusedAt = now
			c.refusals[b.address] = now
		}
	case query.StatusNotSent, query.StatusLost, query.StatusInvalid:
		c.judgeLoss(now, a)
	}
}

func (c *Core) judgeLoss(now time.Duration, a *attempt) {
	b := a.backEnd
	if a.abandoned {
		// It lost to a hedge or to the deadline; a few in a row mean that the back end hangs.
		b.slow++
	} else {
		b.failures++
	}
	hangs := b.slow > 0 && now-b.lastSuccess > max(hangMedians*b.expected(), minimumHang)
	if b.failures >= c.settings.FailuresToEject || hangs && b.failures+b.slow >= c.settings.FailuresToEject {
		c.eject(now, a.group, b)
	}
}

// A back end whose attempts lose to hedges hangs if it also answered nothing for hangMedians times its usual latency, and at
// least minimumHang. One that straggles now and then goes on answering in between.
const (
	hangMedians = 10
	minimumHang = 100 * time.Millisecond
)

// eject takes a back end out for a while, unless too many of the group are out or a shard would be left without a holder.
func (c *Core) eject(now time.Duration, g *group, b *backEnd) {
	if b.ejected(now) {
		return
	}
	out := 0
	for _, other := range g.backEnds {
		if other.ejected(now) {
			out++
		}
	}
	if float64(out+1) > c.settings.MaximumEjectedShare*float64(len(g.backEnds))+0.5 || c.lastHolder(now, g, b) {
		return
	}
	c.Counters.Ejections++
	b.ejections++
	b.failures, b.slow = 0, 0
	ejection := min(c.settings.EjectFor<<min(b.ejections-1, 8), c.settings.MaximumEjection)
	b.ejectedUntil = now + ejection
	b.window.Restart()
	c.requeue(now, g, b)
}

func (c *Core) lastHolder(now time.Duration, g *group, b *backEnd) bool {
	for _, shard := range b.holding.Shards {
		alone := !slices.ContainsFunc(g.backEnds, func(other *backEnd) bool {
			return other != b && other.usable(now) && other.holding.HasShard(shard)
		})
		if alone {
			return true
		}
	}
	return false
}

// advance moves the sub-query on after the outcome of one of its attempts.
func (c *Core) advance(now time.Duration, a *attempt, status query.Status, result query.AttemptResult) {
	w := a.work
	if status == query.StatusOK {
		c.accept(now, a, result)
		c.finishIfDone(now, w)
		return
	}
	if a.abandoned && !w.request.Execute {
		c.finishIfDone(now, w)
		return
	}
	w.retryAfter = max(w.retryAfter, result.RetryAfter)
	c.retry(now, a, status)
	c.finishIfDone(now, w)
}

// accept passes on the first valid answer of each shard and cancels attempts that are not needed any more.
func (c *Core) accept(now time.Duration, a *attempt, result query.AttemptResult) {
	w := a.work
	answer := &message.SubAnswer{ID: w.id, Snapshot: result.Snapshot}
	for _, documents := range result.Results {
		state := w.shards[documents.Shard]
		if state.answered {
			continue
		}
		state.answered = true
		state.missing = query.ReasonNone
		answer.Results = append(answer.Results, documents)
	}
	if len(answer.Results) == 0 {
		return
	}
	if a.hedge {
		c.Counters.HedgesWon++
	}
	c.emit(Action{Reply: &Reply{To: w.root, Message: answer}})
	for _, other := range w.attempts {
		if other != a && c.allAnswered(other) {
			c.abandon(now, other)
		}
	}
}

func (c *Core) allAnswered(a *attempt) bool {
	for _, shard := range a.shards {
		if !a.work.shards[shard].answered {
			return false
		}
	}
	return true
}

// retry asks another replica for what a failed attempt left open. A request that is not repeatable is only sent again
// after proof that it did not run.
func (c *Core) retry(now time.Duration, a *attempt, status query.Status) {
	w := a.work
	var open []uint32
	for _, shard := range a.shards {
		state := w.shards[shard]
		if !state.answered && state.live == 0 {
			open = append(open, shard)
		}
	}
	if len(open) == 0 {
		return
	}
	reason := status.Reason()
	allowed := c.settings.Retries && now < w.deadline
	if w.request.Execute && w.mayHaveRun > 0 {
		allowed = false
	}
	if allowed && c.costsBudget(status) {
		allowed = w.group.retries.Spend(len(open))
	}
	if !allowed {
		for _, shard := range open {
			w.shards[shard].missing = reason
		}
		return
	}
	c.Counters.Retries++
	c.place(now, w, open, false, reason)
}

// costsBudget: moving on from a back end that is leaving or holds another snapshot is not a reaction to trouble, and
// each replica is asked at most once.
func (c *Core) costsBudget(status query.Status) bool {
	switch status {
	case query.StatusDraining, query.StatusVersionUnavailable, query.StatusNotHeld:
		return false
	}
	return true
}

// finishIfDone closes a sub-query of which every shard is answered or missing.
func (c *Core) finishIfDone(now time.Duration, w *work) {
	c.goOn(now, w)
	if w.finished {
		return
	}
	for _, state := range w.shards {
		if !state.answered && state.missing == query.ReasonNone {
			return
		}
		if !state.answered && state.live > 0 {
			return
		}
	}
	c.finish(now, w, query.ReasonNone)
}

// finish closes a sub-query; shards that are still open are missing for the given reason.
func (c *Core) finish(now time.Duration, w *work, reason query.Reason) {
	answer := &message.SubAnswer{
		ID: w.id, Snapshot: w.request.Snapshot, Done: true, ShardAttempts: w.shardAttempts,
		NotRun: w.mayHaveRun == 0, RetryAfterMilliseconds: uint32(w.retryAfter.Milliseconds()),
	}
	versionLost := false
	for _, shard := range w.request.Shards {
		state := w.shards[shard]
		if state.answered {
			continue
		}
		if state.missing == query.ReasonNone {
			state.missing = reason
		}
		versionLost = versionLost || state.missing == query.ReasonVersionUnavailable
		answer.Missing = append(answer.Missing, query.Missing{Shard: shard, Reason: state.missing})
	}
	c.end(now, w)
	if versionLost {
		// The root plans again, and needs to know what is held now.
		if state, owned := c.State(now, w.request.Service, w.request.Group); owned {
			c.emit(Action{Reply: &Reply{To: w.root, Message: state}})
		}
	}
	c.emit(Action{Reply: &Reply{To: w.root, Message: answer}})
}

// Described takes in the answer to a Describe; ok is false where there was none. Health alone never takes out a
// back end that answers its attempts.
func (c *Core) Described(now time.Duration, service, address string, holding query.Holding, ok bool) []Action {
	for _, g := range c.orderedGroups() {
		if g.Service != service {
			continue
		}
		for _, b := range g.backEnds {
			if b.address == address {
				c.described(now, g, b, holding, ok)
			}
		}
	}
	return c.take()
}

func (c *Core) described(now time.Duration, g *group, b *backEnd, holding query.Holding, ok bool) {
	b.describing = false
	b.nextDescribe = now + c.describeInterval(now, g)
	if !ok {
		if now-b.lastSuccess >= c.settings.DescribeInterval || !b.succeededOnce {
			b.failures++
			if b.failures >= c.settings.FailuresToEject {
				c.eject(now, g, b)
			}
		}
		return
	}
	b.observe(now, holding)
	if !c.settings.Windows {
		b.window.Open()
	}
	if b.draining != 0 {
		c.requeue(now, g, b)
		return
	}
	c.pump(now, g, b)
}
