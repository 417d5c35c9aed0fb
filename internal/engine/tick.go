package engine

import "time"

// These are the periods of the tasks that Tick runs periodically.
const (
	membersPeriod  = 100 * time.Millisecond
	gossipPeriod   = 100 * time.Millisecond
	backEndsPeriod = 100 * time.Millisecond
	routesPeriod   = 50 * time.Millisecond
)

// periodElapsed reports whether a periodic task is due and sets its next time.
func (e *Engine) periodElapsed(next *time.Duration, period time.Duration) bool {
	if e.now < *next {
		return false
	}
	*next = e.now + period
	return true
}

// Tick does everything that is due at the given time.
func (e *Engine) Tick(now time.Duration) Output {
	e.beginCall(now)
	if e.periodElapsed(&e.nextMembers, membersPeriod) {
		e.sendAll(e.members.Tick(now))
	}
	if e.periodElapsed(&e.nextGossip, gossipPeriod) {
		e.sendAll(e.gossip.Tick(now))
		e.tickStore()
	}
	if e.periodElapsed(&e.nextBackEnds, backEndsPeriod) {
		e.performDispatch(e.dispatcher.TickBackEnds(now))
	}
	e.performDispatch(e.dispatcher.Tick(now))
	if e.periodElapsed(&e.nextRoutes, routesPeriod) {
		e.tickRoutes()
	}
	e.tickSearches()
	e.tickExecutes()
	e.tickForwards()
	e.tickRollouts()
	e.tickStatuses()
	return e.endCall()
}

// NextWake returns when Tick must be called at the latest.
func (e *Engine) NextWake() time.Duration {
	wake := min(e.nextMembers, e.nextGossip, e.nextBackEnds, e.nextRoutes)
	if at, pending := e.dispatcher.NextWake(); pending {
		wake = min(wake, at)
	}
	for _, s := range e.searches {
		wake = min(wake, s.nextWake())
	}
	for _, x := range e.executes {
		wake = min(wake, x.wakeAt)
	}
	for _, run := range e.rollouts {
		wake = min(wake, run.rollout.NextWake())
	}
	for _, run := range e.statuses {
		wake = min(wake, run.until)
	}
	return max(wake, e.now)
}
