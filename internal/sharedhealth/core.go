package sharedhealth

import (
	"slices"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

// OutgoingMessage is a message to another node.
type OutgoingMessage struct {
	To      string
	Message message.Message
}

// Core is one node's part in judging back ends together. It is not safe for concurrent use.
type Core struct {
	self      string
	group     Group
	recorder  *Recorder
	collector *Collector
	received  *receivedVerdicts
}

// New returns the Core of a node, which has no group yet.
func New(self string) *Core {
	return &Core{self: self, recorder: NewRecorder(), collector: NewCollector(), received: newReceivedVerdicts()}
}

// SetNodes sets the nodes of the fleet, including this one.
func (c *Core) SetNodes(now clock.Ms, nodes []Node) {
	collected := c.group.collects()
	c.group = NewGroup(c.self, nodes)
	c.collector.groupSize, c.collector.groupShare = c.group.Size, c.group.regionShare
	if c.group.collects() && !collected {
		verdicts, _ := c.Verdicts(now)
		c.collector.Adopt(now, verdicts)
	}
}

// GroupSize returns the number of nodes that judge together.
func (c *Core) GroupSize() int { return c.group.Size }

// Record counts an attempt of this node at a back end. For an accepted attempt, busy is how long it took, in milliseconds.
func (c *Core) Record(now clock.Ms, service, backEnd uint64, result Result, busy clock.Ms) {
	c.recorder.Record(now, service, backEnd, result, busy)
}

// Idle reports whether Tick has nothing to do until the next call of Record or Receive.
func (c *Core) Idle(now clock.Ms) bool { return !c.recorder.Active(now) && c.collector.Idle() }

// Tick judges the back ends and returns the messages that are to be sent. It is called each Interval while the core is not idle.
func (c *Core) Tick(now clock.Ms, directory Directory) (sends []OutgoingMessage) {
	if m := c.recorder.Next(now); m != nil {
		sends = c.send(now, sends, c.group.Collectors, m)
	}
	c.collector.Judge(now, directory)
	if m := c.collector.NextSums(now); m != nil {
		sends = c.send(now, sends, c.group.SumRecipients, m)
	}
	if m := c.collector.NextVerdicts(now); m != nil {
		sends = c.send(now, sends, c.group.VerdictRecipients, m)
	}
	return sends
}

// send adds a message to nodes. What is for this node itself is received at once.
func (c *Core) send(now clock.Ms, sends []OutgoingMessage, to []string, m message.Message) []OutgoingMessage {
	for _, address := range to {
		if address == c.self {
			c.Receive(now, c.self, m)
			continue
		}
		sends = append(sends, OutgoingMessage{To: address, Message: m})
	}
	return sends
}

// Receive handles a message of another node. Sums are taken only from the collectors whose turn it is to send them, and
// all else only from nodes of the own group. Messages of other kinds are ignored.
func (c *Core) Receive(now clock.Ms, from string, m message.Message) {
	ofGroup := slices.Contains(c.group.nodes, from)
	switch m := m.(type) {
	case *message.AttemptCounts:
		if ofGroup {
			c.collector.ReceiveCounts(now, from, m)
		}
	case *message.AttemptSums:
		if slices.Contains(c.group.SumSources, from) {
			c.collector.ReceiveSums(now, from, m)
		}
	case *message.BackEndVerdicts:
		if ofGroup {
			c.received.Receive(now, from, m)
			c.recorder.Watch(now, m.Watched[:min(len(m.Watched), maximumWatched)])
		}
	}
}

// TakeChanges returns the changes since the last call of what this node holds against back ends as a collector.
func (c *Core) TakeChanges() []Change { return c.collector.TakeChanges() }

// Verdicts returns the verdicts by which this node goes, by the keys of the back ends, and until when they hold.
func (c *Core) Verdicts(now clock.Ms) (verdicts map[uint64]Verdict, until clock.Ms) {
	return c.received.Agreed(now, c.group.Collectors)
}
