package engine

import "time"

// Leave starts the planned stop. The node informs its peers at once, refuses new requests and finishes those in flight.
func (e *Engine) Leave(now time.Duration) Output {
	e.beginCall(now)
	if !e.leaving {
		e.leaving = true
		e.leftAt = now
		e.sendAll(e.members.Leave())
	}
	return e.endCall()
}

// Drained reports whether a leaving node has no requests in flight and Settings.LeaveGrace has passed.
func (e *Engine) Drained(now time.Duration) bool {
	busy := len(e.searches) + len(e.executes) + len(e.rollouts) + len(e.forwards)
	return e.leaving && busy == 0 && e.dispatcher.Idle() && now-e.leftAt >= e.settings.LeaveGrace
}
