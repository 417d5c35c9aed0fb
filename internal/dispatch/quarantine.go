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
	return quarantine.IdentityOf(string(question), question, nil)
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

// backEndEnded decides what becomes of the shards of an attempt whose back end has ended. What the ends of others say of the query is told by the core that
// all dispatching of this node goes by; other dispatchers have one of their own.
func (c *Core) backEndEnded(now time.Duration, a *attempt) {
	w := a.work
	verdict, _ := c.quarantine.Ended(clock.Of(now), identityOf(w.request), quarantine.Run{
		Service: w.request.Service, BackEnd: a.backEnd.address + "#" + strconv.FormatUint(a.number, 10), Began: clock.Of(a.startedAt), Ended: clock.Of(now),
	})
	c.Counters.EndedBackEnds++
	c.eject(now, a.group, a.backEnd)
	if w.finished {
		return
	}
	w.caution.ends++
	switch {
	case w.answered():
		c.retry(now, a, query.StatusLost)
	case verdict == quarantine.Quarantined:
		c.quarantined(now, w)
	case w.request.Execute || !c.settings.Retries:
		c.retry(now, a, query.StatusLost)
	default:
		c.hold(w, a.shards)
		if quarantine.WithdrawOthers(w.caution.suspect, w.caution.ends) {
			w.caution.suspect = true
			c.withdraw(now, w)
		}
	}
	c.finishIfDone(now, w)
}

// hold has shards wait that no other attempt may still answer.
func (c *Core) hold(w *work, shards []uint32) {
	for _, shard := range shards {
		if state := w.shards[shard]; !state.answered && state.live == 0 && !slices.Contains(w.caution.held, shard) {
			w.caution.held = append(w.caution.held, shard)
		}
	}
}

// withdraw takes back what is queued and under way of a sub-query, whose shards are tried again later.
func (c *Core) withdraw(now time.Duration, w *work) {
	for _, b := range w.group.backEnds {
		b.removeQueued(func(it *item) bool {
			if it.work == w {
				c.release(w, it.shards)
				c.hold(w, it.shards)
			}
			return it.work == w
		})
	}
	for _, a := range w.attempts {
		c.abandon(now, a)
	}
}

// quarantined ends a sub-query that ends the back ends that run it.
func (c *Core) quarantined(now time.Duration, w *work) {
	w.caution.held = nil
	c.Counters.Quarantined++
	c.finish(now, w, query.ReasonLost)
}

// answered reports whether a shard of the sub-query was answered.
func (w *work) answered() bool {
	for _, state := range w.shards {
		if state.answered {
			return true
		}
	}
	return false
}

// underWay reports whether an attempt of the sub-query may still be answered.
func (w *work) underWay() bool {
	for _, state := range w.shards {
		if state.live > 0 {
			return true
		}
	}
	return false
}

// goOn sends what is held of a sub-query: all once a shard was answered, one shard as a trial once nothing is under way.
func (c *Core) goOn(now time.Duration, w *work) {
	held := w.caution.held
	switch {
	case len(held) == 0 || w.finished:
		return
	case w.answered():
		w.caution = caution{}
	case w.underWay():
		return
	default:
		w.caution.held, held = held[1:], held[:1]
	}
	if now >= w.deadline || w.tried(held) && !w.group.retries.Spend(len(held)) {
		for _, shard := range held {
			w.shards[shard].missing = query.ReasonLost
		}
		return
	}
	c.place(now, w, held, false, query.ReasonLost)
}

// tried reports whether a replica of one of some shards was asked before.
func (w *work) tried(shards []uint32) bool {
	return slices.ContainsFunc(shards, func(shard uint32) bool { return len(w.shards[shard].tried) > 0 })
}
