package simulation

import (
	"time"

	"stiletrail/internal/engine"
	"stiletrail/internal/query"
)

// simAttempt is an attempt in flight from a node to a back end.
type simAttempt struct {
	query.Attempt
	node    *simNode
	backEnd *simBackEnd
	ended   bool
	// holdsSlot says that the attempt has arrived at the back end and occupies a slot.
	holdsSlot    bool
	disconnected bool
}

// beginAttempt passes an attempt to the model of the client library. A frozen process sends it after the freeze.
func (w *World) beginAttempt(n *simNode, attempt query.Attempt) {
	a := &simAttempt{Attempt: attempt, node: n, backEnd: w.backEnds[attempt.BackEnd]}
	n.attempts[attempt.Number] = a
	w.record("attempt", n.address, attempt.BackEnd, attempt.Number, attempt.Shards)
	w.schedule(handoverDelay, func() { w.runInProcess(n, func() { w.writeAttempt(a) }) })
}

// endAttempt reports the outcome of an attempt to its node. Later outcomes of the same attempt are ignored.
func (w *World) endAttempt(a *simAttempt, result query.AttemptResult) {
	w.runInProcess(a.node, func() {
		if a.ended {
			return
		}
		a.ended = true
		if result.Status == query.StatusDraining {
			a.node.drainRefusedAt[a.backEnd.model.Address] = w.now
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
	// The client library abandons the request at its deadline in any case.
	w.schedule(remaining, func() { w.abandonAttempt(a) })
	b := a.backEnd
	path := w.distance(a.node.zone.Name, b.zone)
	if b.dead && w.reachable(a.node.zone.Name, b.zone) {
		w.schedule(2*path, func() { w.endAttempt(a, query.AttemptResult{Status: query.StatusNotSent}) })
		return
	}
	if b.dead || b.hung || !w.reachable(a.node.zone.Name, b.zone) {
		return
	}
	delay := w.jitter(path)
	if a.node.idleConnections[b.model.Address] > 0 {
		a.node.idleConnections[b.model.Address]--
	} else {
		delay += w.options.Distances.Connect
	}
	w.schedule(delay, func() { w.arrive(a, remaining-delay) })
}

// abandonAttempt ends an attempt without an answer. Its connection is closed, which cancels the work at the back end.
func (w *World) abandonAttempt(a *simAttempt) {
	if a.ended {
		return
	}
	w.runInProcess(a.node, func() {
		if a.ended {
			return
		}
		w.closeAfter(a)
		w.endAttempt(a, query.AttemptResult{Status: query.StatusLost})
	})
}

func (w *World) cancelAttempt(n *simNode, number uint64) {
	if a := n.attempts[number]; a != nil {
		w.abandonAttempt(a)
	}
}

func (w *World) closeAfter(a *simAttempt) {
	w.schedule(w.distance(a.node.zone.Name, a.backEnd.zone), func() { w.connectionClosed(a) })
}

// connectionClosed tells the back end that the connection of an attempt is closed. It stops working on the request.
func (w *World) connectionClosed(a *simAttempt) {
	a.disconnected = true
	w.release(a)
}

func (w *World) release(a *simAttempt) {
	if a.holdsSlot {
		a.holdsSlot = false
		delete(a.backEnd.attempts, a)
		a.backEnd.model.Finish()
	}
}

func (w *World) arrive(a *simAttempt, remaining time.Duration) {
	b := a.backEnd
	if b.dead {
		w.endAttempt(a, query.AttemptResult{Status: query.StatusLost})
		return
	}
	if a.disconnected || b.hung {
		return
	}
	result, serviceTime, works := b.model.Arrive(a.Attempt, remaining)
	w.Checker.requestArrived(a, works)
	if !works {
		w.respond(a, result)
		return
	}
	if b.isSlowFor != nil && b.isSlowFor(a.Body) {
		serviceTime = time.Duration(float64(serviceTime) * b.model.Latency.StragglerFactor)
	}
	a.holdsSlot = true
	b.attempts[a] = true
	w.schedule(serviceTime, func() {
		if a.holdsSlot && !b.hung {
			w.release(a)
			w.respond(a, result)
		}
	})
}

// respond delivers an answer to the node. The connection is idle afterwards and is used for a later attempt.
func (w *World) respond(a *simAttempt, result query.AttemptResult) {
	if !w.reachable(a.node.zone.Name, a.backEnd.zone) {
		return
	}
	w.schedule(w.jitter(w.distance(a.node.zone.Name, a.backEnd.zone)), func() {
		if !a.ended && !a.disconnected {
			a.node.idleConnections[a.backEnd.model.Address]++
			w.endAttempt(a, result)
		}
	})
}
