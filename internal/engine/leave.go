package engine

import "time"

// Leave starts the planned stop: peers are told at once, new requests are refused, and what is under way is finished.
func (e *Engine) Leave(now time.Duration) Output {
	e.beginCall(now)
	if !e.leaving {
		e.leaving = true
		e.leftAt = now
		e.sendAll(e.members.Leave())
	}
	return e.endCall()
}

// Drained reports whether a leaving node has nothing under way and its grace is over.
func (e *Engine) Drained(now time.Duration) bool {
	busy := len(e.searches) + len(e.executes) + len(e.rollouts) + len(e.forwards)
	return e.leaving && busy == 0 && e.dispatcher.Idle() && now-e.leftAt >= e.settings.LeaveGrace
}
