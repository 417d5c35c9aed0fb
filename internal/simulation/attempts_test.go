package simulation

import (
	"time"

	"stiletrail/internal/engine"
	"stiletrail/internal/query"
)

// simAttempt is a request on its way to a back end.
type simAttempt struct {
	query.Attempt
	node    *simNode
	backEnd *simBackEnd
	ended   bool
	// arrived at the back end and holds a slot.
	working bool
	gone    bool
}

// beginAttempt hands a request to the model of the client library: a frozen process writes it when it runs again.
func (w *World) beginAttempt(n *simNode, attempt query.Attempt) {
	a := &simAttempt{Attempt: attempt, node: n, backEnd: w.backEnds[attempt.BackEnd]}
	n.attempts[attempt.Number] = a
	w.note("attempt", n.address, attempt.BackEnd, attempt.Number, attempt.Shards)
	w.after(handoverDelay, func() { w.inNode(n, func() { w.writeAttempt(a) }) })
}

// endAttempt reports the outcome to the node, once.
func (w *World) endAttempt(a *simAttempt, result query.AttemptResult) {
	w.inNode(a.node, func() {
		if a.ended {
			return
		}
		a.ended = true
		if result.Status == query.StatusDraining {
			a.node.drainsTold[a.backEnd.model.Address] = w.now
		}
		delete(a.node.attempts, a.Number)
		result.Attempt = a.Number
		w.step(a.node, func() engine.Output { return a.node.engine.AttemptEnded(w.now, result) })
	})
}

func (w *World) writeAttempt(a *simAttempt) {
	if a.ended {
		return
	}
	remaining := a.Deadline - w.now
	if remaining <= 0 {
		w.endAttempt(a, query.AttemptResult{Status: query.StatusNotSent})
		return
	}
	// The client library gives up at the deadline, whatever happens.
	w.after(remaining, func() { w.giveUp(a) })
	b := a.backEnd
	path := w.distance(a.node.zone.Name, b.zone)
	if b.dead && w.reachable(a.node.zone.Name, b.zone) {
		w.after(2*path, func() { w.endAttempt(a, query.AttemptResult{Status: query.StatusNotSent}) })
		return
	}
	if b.dead || b.hung || !w.reachable(a.node.zone.Name, b.zone) {
		return
	}
	delay := w.jitter(path)
	if a.node.pool[b.model.Address] > 0 {
		a.node.pool[b.model.Address]--
	} else {
		delay += w.options.Distances.Connect
	}
	w.after(delay, func() { w.arrive(a, remaining-delay) })
}

// giveUp ends an attempt that got no answer; closing its connection cancels the work.
func (w *World) giveUp(a *simAttempt) {
	if a.ended {
		return
	}
	w.inNode(a.node, func() {
		if a.ended {
			return
		}
		w.closeAfter(a)
		w.endAttempt(a, query.AttemptResult{Status: query.StatusLost})
	})
}

func (w *World) cancelAttempt(n *simNode, number uint64) {
	if a := n.attempts[number]; a != nil {
		w.giveUp(a)
	}
}

func (w *World) closeAfter(a *simAttempt) {
	w.after(w.distance(a.node.zone.Name, a.backEnd.zone), func() { w.connectionClosed(a) })
}

// connectionClosed is what the back end sees when a caller is gone: it stops working.
func (w *World) connectionClosed(a *simAttempt) {
	a.gone = true
	w.release(a)
}

func (w *World) release(a *simAttempt) {
	if a.working {
		a.working = false
		delete(a.backEnd.working, a)
		a.backEnd.model.Finish()
	}
}

func (w *World) arrive(a *simAttempt, remaining time.Duration) {
	b := a.backEnd
	if b.dead {
		w.endAttempt(a, query.AttemptResult{Status: query.StatusLost})
		return
	}
	if a.gone || b.hung {
		return
	}
	result, serviceTime, works := b.model.Arrive(a.Attempt, remaining)
	w.Check.arrived(a, works)
	if !works {
		w.respond(a, result)
		return
	}
	if b.straggles != nil && b.straggles(a.Body) {
		serviceTime = time.Duration(float64(serviceTime) * b.model.Latency.StragglerFactor)
	}
	a.working = true
	b.working[a] = true
	w.after(serviceTime, func() {
		if a.working && !b.hung {
			w.release(a)
			w.respond(a, result)
		}
	})
}

// respond carries an answer back; the connection then serves the next attempt.
func (w *World) respond(a *simAttempt, result query.AttemptResult) {
	if !w.reachable(a.node.zone.Name, a.backEnd.zone) {
		return
	}
	w.after(w.jitter(w.distance(a.node.zone.Name, a.backEnd.zone)), func() {
		if !a.ended && !a.gone {
			a.node.pool[a.backEnd.model.Address]++
			w.endAttempt(a, result)
		}
	})
}
