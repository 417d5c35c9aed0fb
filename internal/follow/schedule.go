package follow

import "time"

// SetPollSchedule makes this node's watches end at its own phase of a period that all nodes share. Without a
// schedule, watches that end on the same change would continue in step, and all nodes would miss the next change
// together.
func (c *Core) SetPollSchedule(period, phase time.Duration) {
	c.pollPeriod, c.pollPhase = period, phase
}

// pauseUntilPoll ends a pause at this node's scheduled poll, if less than minimumWatchDuration would be left for a
// watch between the two. It reports whether it does. Peers depend on the announcement that follows each scheduled
// poll.
func (c *Core) pauseUntilPoll(clock, pause time.Duration) (until time.Duration, scheduled bool) {
	if c.pollPeriod == 0 {
		return pause, false
	}
	if wait := c.pollPeriod - (clock-c.pollPhase)%c.pollPeriod; wait < pause+minimumWatchDuration {
		return wait, true
	}
	return pause, false
}

// watchDuration returns the time until this node's next scheduled poll; the clocks of the nodes agree well enough for
// that. It returns Settings.WatchDuration if there is no schedule or no peer has confirmed its copy recently.
func (c *Core) watchDuration(clock time.Duration, state CopyState) time.Duration {
	if c.pollPeriod == 0 || state.PeersSilent {
		return c.settings.WatchDuration
	}
	wait := c.pollPeriod - (clock-c.pollPhase)%c.pollPeriod
	if wait < minimumWatchDuration {
		wait += c.pollPeriod
	}
	return wait
}
