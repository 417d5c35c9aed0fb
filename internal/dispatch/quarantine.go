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

// identityOf is what a query is known by to the dispatchers of its service: what it asks. Who asks is not told to them.
func identityOf(m *message.SubQuery) quarantine.Identity {
	question := append([]byte(m.Service+"\n"), m.Body...)
	return quarantine.NewIdentity(string(question), question, nil)
}

// caution is how carefully a sub-query is sent on under which back ends have ended: one attempt at a time, until one is answered.
type caution struct {
	// suspect: no more than one attempt is begun at a time.
	suspect bool
	// ends of back ends under the sub-query.
	ends int
	// held are the shards that wait for an answer to another one.
	held []uint32
}

// backEndEnded decides what becomes of the shards of an attempt whose back end has ended: they are retried once the sub-query has
// an answer or where it is not repeatable (retry then asks for proof that it did not run), given up under quarantine, and else
// wait until another shard is answered or asked as a trial. Ends are counted by this node; other dispatchers count their own.
func (c *Core) backEndEnded(now time.Duration, a *attempt) {
	q := a.subQuery
	verdict, _ := c.quarantine.RecordCrash(clock.FromDuration(now), identityOf(q.request), quarantine.Crash{
		Service: q.request.Service, BackEnd: a.backEnd.address + "#" + strconv.FormatUint(a.number, 10),
		StartedAt: clock.FromDuration(a.startedAt), CrashedAt: clock.FromDuration(now),
	})
	c.eject(now, a.group, a.backEnd)
	if q.finished {
		return
	}
	q.caution.ends++
	switch {
	case q.answered():
		c.retry(now, a, query.StatusLost)
	case verdict == quarantine.Quarantined:
		c.quarantined(now, q)
	case q.request.Execute:
		c.retry(now, a, query.StatusLost)
	default:
		c.hold(q, a.shards)
		if quarantine.CancelOthers(q.caution.suspect, q.caution.ends) {
			q.caution.suspect = true
			c.withdraw(now, q)
		}
	}
	c.finishIfDone(now, q)
}

// hold has shards wait that no other attempt may still answer.
func (c *Core) hold(q *subQuery, shards []uint32) {
	for _, shard := range shards {
		if state := q.shards[shard]; !state.answered && state.live == 0 && !slices.Contains(q.caution.held, shard) {
			q.caution.held = append(q.caution.held, shard)
		}
	}
}

// withdraw takes back what is queued and under way of a sub-query, whose shards are tried again later.
func (c *Core) withdraw(now time.Duration, q *subQuery) {
	for _, b := range q.group.backEnds {
		b.removeQueued(func(it *queuedAttempt) bool {
			if it.subQuery == q {
				c.release(q, it.shards)
				c.hold(q, it.shards)
			}
			return it.subQuery == q
		})
	}
	for _, a := range q.attempts {
		c.abandon(now, a)
	}
}

// quarantined ends a sub-query that ends the back ends that run it.
func (c *Core) quarantined(now time.Duration, q *subQuery) {
	q.caution.held = nil
	c.finish(now, q, query.ReasonLost)
}

// sendHeld sends what is held of a sub-query: all once a shard was answered, one shard as a trial once nothing is under way.
func (c *Core) sendHeld(now time.Duration, q *subQuery) {
	held := q.caution.held
	switch {
	case len(held) == 0 || q.finished:
		return
	case q.answered():
		q.caution = caution{}
	case q.underWay():
		return
	default:
		q.caution.held, held = held[1:], held[:1]
	}
	if now >= q.deadline || q.tried(held) && !q.group.retries.Spend(len(held)) {
		for _, shard := range held {
			q.shards[shard].missing = query.ReasonLost
		}
		return
	}
	c.place(now, q, held, false, query.ReasonLost)
}
