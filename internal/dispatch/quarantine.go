package dispatch

import (
	"slices"
	"strconv"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/query"
)

// identityOf returns the identity under which crashes are recorded for a sub-query: its service and body. The caller is
// not part of it, because dispatchers do not know the caller.
func identityOf(m *message.SubQuery) quarantine.Identity {
	request := append([]byte(m.Service+"\n"), m.Body...)
	return quarantine.NewIdentity(string(request), request, nil)
}

// serialTrials is the state of a sub-query that has crashed back ends, or whose request has done so before. While it is
// suspect, its shards are sent to one back end at a time, as trials, until one of them is answered.
type serialTrials struct {
	// suspect is true while at most one attempt of the sub-query may be started at a time.
	suspect bool
	// crashes counts the back ends that crashed while they had an attempt of the sub-query.
	crashes int
	// held are the shards that are not sent until another shard is answered, or until their turn as a trial.
	held []uint32
}

// backEndCrashed decides what happens to the shards of an attempt whose back end has crashed:
//   - If another shard of the sub-query is answered, they are retried.
//   - If the request is now quarantined, the sub-query ends.
//   - If the request is not repeatable, they are retried only with proof that no attempt ran, which retry checks.
//   - Otherwise they are held until another shard is answered or they are sent as a trial.
//
// Each dispatcher counts only the crashes that it has seen itself.
func (c *Core) backEndCrashed(now time.Duration, a *attempt) {
	q := a.subQuery
	verdict, _ := c.quarantine.RecordCrash(clock.FromDuration(now), identityOf(q.request), quarantine.Crash{
		Service: q.request.Service, BackEnd: a.backEnd.address + "#" + strconv.FormatUint(a.number, 10),
		StartedAt: clock.FromDuration(a.startedAt), CrashedAt: clock.FromDuration(now),
	})
	c.eject(now, a.group, a.backEnd)
	if q.finished {
		return
	}
	q.serialTrials.crashes++
	switch {
	case q.anyAnswered():
		c.retry(now, a, query.StatusLost)
	case verdict == quarantine.Quarantined:
		c.finishQuarantined(now, q)
	case q.request.Execute:
		c.retry(now, a, query.StatusLost)
	default:
		c.hold(q, a.shards)
		if quarantine.CancelOthers(q.serialTrials.suspect, q.serialTrials.crashes) {
			q.serialTrials.suspect = true
			c.cancelAttempts(now, q)
		}
	}
	c.finishIfDone(now, q)
}

// hold keeps shards back that are neither answered nor part of another attempt in flight.
func (c *Core) hold(q *subQuery, shards []uint32) {
	for _, shard := range shards {
		if state := q.shards[shard]; !state.answered && state.live == 0 && !slices.Contains(q.serialTrials.held, shard) {
			q.serialTrials.held = append(q.serialTrials.held, shard)
		}
	}
}

// cancelAttempts cancels the queued attempts and those in flight of a sub-query. Its shards are tried again later.
func (c *Core) cancelAttempts(now time.Duration, q *subQuery) {
	for _, b := range q.group.backEnds {
		b.removeQueued(func(queued *queuedAttempt) bool {
			if queued.subQuery == q {
				c.release(q, queued.shards)
				c.hold(q, queued.shards)
			}
			return queued.subQuery == q
		})
	}
	for _, a := range q.attempts {
		c.abandon(now, a)
	}
}

// finishQuarantined ends a sub-query whose request is quarantined because it crashes back ends.
func (c *Core) finishQuarantined(now time.Duration, q *subQuery) {
	q.serialTrials.held = nil
	c.finish(now, q, query.ReasonLost)
}

// sendHeld sends the held shards of a sub-query: all of them once a shard is answered, or one as a trial if nothing is
// in flight. Shards become missing if the deadline has passed, or if they were tried before and the retry budget is
// spent.
func (c *Core) sendHeld(now time.Duration, q *subQuery) {
	held := q.serialTrials.held
	switch {
	case len(held) == 0 || q.finished:
		return
	case q.anyAnswered():
		q.serialTrials = serialTrials{}
	case q.anyInFlight():
		return
	default:
		q.serialTrials.held, held = held[1:], held[:1]
	}
	if now >= q.deadline || q.anyTried(held) && !q.group.retries.Spend(len(held)) {
		for _, shard := range held {
			q.shards[shard].missing = query.ReasonLost
		}
		return
	}
	c.assign(now, q, held, false, query.ReasonLost)
}
