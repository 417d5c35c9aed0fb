package membership

import (
	"math"
	"slices"
	"time"

	"stiletrail/internal/message"
)

// Tick performs the actions that are due. The caller calls it several times per probe interval. If the time since
// the last tick shows that the process was frozen, no member is suspected because of that time.
func (c *Core) Tick(now time.Duration) (sends []OutgoingMessage) {
	wasFrozen := c.lastTick > 0 && now-c.lastTick > freezeIntervals*c.settings.ProbeInterval
	c.lastTick = now
	if wasFrozen {
		c.pending = nil
		c.nextProbe = now
		c.nextSync = now
		c.restartSuspicions(now)
	}
	sends = append(sends, c.checkPending(now)...)
	if now >= c.nextProbe {
		c.nextProbe = now + c.settings.ProbeInterval
		sends = append(sends, c.startProbe(now)...)
		c.expireMembers(now)
	}
	if now >= c.nextSync {
		c.nextSync = now + c.syncInterval()
		sends = append(sends, c.startSync()...)
	}
	return sends
}

// restartSuspicions gives all suspected members the full time to refute again. After a freeze, refutations may
// still be unread in this process's sockets.
func (c *Core) restartSuspicions(now time.Duration) {
	for _, found := range c.records {
		if found.member.State == Suspect {
			found.stateSince = now
		}
	}
}

// syncInterval returns the time until the next exchange of views. While the view grows by more than one member in
// growthDivisor, as after a start or after a partition, it is the probe interval, or a fraction of it while the
// node joins. Then it doubles with each exchange up to the interval for a settled view.
func (c *Core) syncInterval() time.Duration {
	settled := max(time.Duration(len(c.records))*c.settings.SyncPerMember, c.settings.MinimumSyncInterval)
	grown := len(c.records) - c.sizeAtLastSync
	c.sizeAtLastSync = len(c.records)
	growing := len(c.records) == 0 || grown > len(c.records)/growthDivisor
	switch {
	case growing && !c.joined:
		c.syncDelay = c.settings.ProbeInterval / joinSyncsPerProbe
	case growing:
		c.syncDelay = c.settings.ProbeInterval
	default:
		c.joined = c.joined || c.viewReceived
		c.syncDelay = min(2*c.syncDelay, settled)
	}
	return c.syncDelay
}

// Joined reports whether the view is complete enough to work with: it has been compared with a peer's view and has
// stopped growing. A node without a complete view continues after joinTimeout with the members that it has found,
// since all of its peers may be unreachable.
func (c *Core) Joined(now time.Duration) bool {
	alone := len(c.seeds) == 0 && len(c.records) == 0
	return c.joined || alone || now-c.startedAt > joinTimeout
}

// checkPending requests indirect probes if the direct probe is not answered in time. It suspects the target if
// those are not answered in time either.
func (c *Core) checkPending(now time.Duration) []OutgoingMessage {
	if c.pending == nil {
		return nil
	}
	scale := time.Duration(1 + c.healthScore)
	waited := now - c.pending.sentAt
	if !c.pending.indirect && waited >= c.settings.ProbeTimeout*scale {
		c.pending.indirect = true
		return c.requestIndirectProbes()
	}
	if waited < c.settings.ProbeInterval*scale {
		return nil
	}
	target := c.records[c.pending.target]
	c.pending = nil
	c.healthScore = min(c.healthScore+1, maximumHealthScore)
	if target != nil && target.member.State == Alive {
		suspect := target.member
		suspect.State = Suspect
		c.apply(suspect, now)
	}
	return nil
}

func (c *Core) requestIndirectProbes() []OutgoingMessage {
	var sends []OutgoingMessage
	target := c.pending.target
	helpers := c.pick(c.settings.IndirectProbes, func(m Member) bool { return m.State == Alive && m.Address != target })
	for _, helper := range helpers {
		request := &message.ProbeRequest{Sequence: c.pending.sequence, Target: target, Updates: c.piggyback()}
		sends = append(sends, OutgoingMessage{To: helper, Message: request})
	}
	return sends
}

func (c *Core) startProbe(now time.Duration) []OutgoingMessage {
	if c.pending != nil {
		return nil
	}
	c.probes++
	target := c.nextTarget()
	if target == "" {
		return nil
	}
	c.pending = &probe{target: target, sequence: c.nextSequence(), sentAt: now}
	updates := c.piggyback()
	if found := c.records[target]; found != nil && found.member.State != Alive {
		// The target is told its state in this node's view, so that it can refute it.
		updates = append(updates, toUpdate(found.member))
	}
	return []OutgoingMessage{{To: target, Message: &message.Probe{Sequence: c.pending.sequence, Updates: updates}}}
}

// nextTarget returns the member to probe. Usually that is the next one of a shuffled round through this node's
// zone. Occasionally it is a member of another zone or a dead member.
func (c *Core) nextTarget() string {
	if c.probes%deadProbeEvery == 0 {
		if dead := c.pick(1, func(m Member) bool { return m.State == Dead }); len(dead) > 0 {
			return dead[0]
		}
	}
	if c.probes%c.settings.RemoteEvery == 0 {
		if remote := c.pick(1, func(m Member) bool { return m.Usable() && m.Zone != c.self.Zone }); len(remote) > 0 {
			return remote[0]
		}
	}
	for attempts := 0; attempts < 2; attempts++ {
		for len(c.zoneOrder) > 0 {
			target := c.zoneOrder[0]
			c.zoneOrder = c.zoneOrder[1:]
			if found := c.records[target]; found != nil && found.member.Usable() {
				return target
			}
		}
		c.zoneOrder = c.matchingAddresses(func(m Member) bool { return m.Usable() && m.Zone == c.self.Zone })
		c.random.Shuffle(len(c.zoneOrder), func(i, j int) {
			c.zoneOrder[i], c.zoneOrder[j] = c.zoneOrder[j], c.zoneOrder[i]
		})
	}
	if remote := c.pick(1, func(m Member) bool { return m.Usable() }); len(remote) > 0 {
		return remote[0]
	}
	return ""
}

// expireMembers declares members dead that have not refuted a suspicion in time. It forgets members that have been
// dead for ForgetAfter.
func (c *Core) expireMembers(now time.Duration) {
	limit := c.suspicionTimeout()
	for _, address := range c.matchingAddresses(func(m Member) bool { return m.State == Suspect || m.State == Leaving }) {
		found := c.records[address]
		wait := limit
		if found.member.State == Leaving {
			wait = leavingIntervals * c.settings.ProbeInterval
		}
		if now-found.stateSince >= wait {
			dead := found.member
			dead.State = Dead
			c.apply(dead, now)
		}
	}
	c.order = slices.DeleteFunc(c.order, func(address string) bool {
		found := c.records[address]
		forgotten := found.member.State == Dead && now-found.stateSince > c.settings.ForgetAfter
		if forgotten {
			delete(c.records, address)
		}
		return forgotten
	})
	for sequence, relayed := range c.relayed {
		if now-relayed.at > relayIntervals*c.settings.ProbeInterval {
			delete(c.relayed, sequence)
		}
	}
}

func (c *Core) suspicionTimeout() time.Duration {
	scale := math.Max(1, math.Log10(float64(c.zoneAlive+1)))
	timeout := c.settings.SuspicionMultiplier * scale * float64(c.settings.ProbeInterval)
	return time.Duration(timeout) * time.Duration(1+c.healthScore/2)
}

func (c *Core) answerProbe(from string, m *message.Probe) []OutgoingMessage {
	updates := c.piggyback()
	if known := c.records[from]; known != nil && known.member.State != Alive {
		updates = append(updates, toUpdate(known.member))
	}
	return []OutgoingMessage{{To: from, Message: &message.ProbeAck{Sequence: m.Sequence, Updates: updates}}}
}

func (c *Core) receiveAck(from string, m *message.ProbeAck) []OutgoingMessage {
	if relayed, ok := c.relayed[m.Sequence]; ok {
		delete(c.relayed, m.Sequence)
		return []OutgoingMessage{{To: relayed.origin, Message: &message.ProbeAck{Sequence: relayed.sequence, Updates: c.piggyback()}}}
	}
	if c.pending == nil || m.Sequence != c.pending.sequence {
		return nil
	}
	if from == c.pending.target {
		c.healthScore = max(c.healthScore-1, 0)
	}
	c.pending = nil
	return nil
}
