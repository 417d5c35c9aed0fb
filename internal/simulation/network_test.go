package simulation

import (
	"time"

	"stiletrail/internal/engine"
	"stiletrail/internal/message"
)

// zoneOf returns a zone by name.
func (w *World) zoneOf(name string) Zone {
	for _, zone := range w.options.Zones {
		if zone.Name == name {
			return zone
		}
	}
	return Zone{}
}

// reachable reports whether two zones can communicate now. The empty name stands for the platform.
func (w *World) reachable(a, b string) bool {
	if a == b {
		return true
	}
	if w.isolated[a] || w.isolated[b] {
		return false
	}
	return !w.regionsPartitioned || w.zoneOf(a).Region == w.zoneOf(b).Region || a == "" || b == ""
}

func (w *World) distance(a, b string) time.Duration {
	switch {
	case a == b:
		return w.options.Distances.SameZone
	case w.zoneOf(a).Region == w.zoneOf(b).Region:
		return w.options.Distances.OtherZone
	}
	return w.options.Distances.OtherRegion
}

// jitter adds up to a tenth to a latency, at random.
func (w *World) jitter(latency time.Duration) time.Duration {
	return latency + time.Duration(w.random.Int64N(int64(latency)/10+1))
}

// sendPeer delivers a message to another node, as over a TCP connection. Where the node is dead or unreachable, the sender is told
// that the message was not delivered.
func (w *World) sendPeer(n *simNode, to string, m message.Message) {
	w.record("send", n.address, to, m.Kind())
	// The message is encoded and decoded as on a real connection.
	frame := message.Encode(m)
	target := w.nodes[to]
	if target == nil || target.dead || !w.reachable(n.zone.Name, target.zone.Name) {
		w.undelivered(n, to, m)
		return
	}
	delay := w.jitter(w.distance(n.zone.Name, target.zone.Name))
	if w.chance(w.FaultProbabilities.MessageLost) {
		w.Faults++
		if w.random.IntN(2) == 0 {
			w.schedule(delay*2, func() {
				w.step(n, func() engine.Output { return n.engine.Undelivered(w.now, to, m, true) })
			})
		}
		return
	}
	if w.chance(w.FaultProbabilities.MessageDelayed) {
		w.Faults++
		delay += time.Duration(w.random.Int64N(int64(w.FaultProbabilities.MaximumDelay)))
	}
	w.deliver(n, target, frame, delay)
	if w.chance(w.FaultProbabilities.MessageDuplicated) {
		w.Faults++
		w.deliver(n, target, frame, delay+time.Duration(w.random.Int64N(int64(100*time.Millisecond))))
	}
}

func (w *World) deliver(n, target *simNode, frame []byte, delay time.Duration) {
	from := n.address
	w.schedule(delay, func() {
		header, err := message.DecodeHeader(frame)
		if err != nil {
			panic("simulation: frame does not decode: " + err.Error())
		}
		m, err := message.DecodePayload(header, frame[message.HeaderSize:])
		if err != nil {
			panic("simulation: frame does not decode: " + err.Error())
		}
		w.step(target, func() engine.Output { return target.engine.Receive(w.now, from, m) })
	})
}

// undelivered tells the sender that a message was not delivered: after one round trip where the peer's machine refuses the
// connection, otherwise after the dial time-out.
func (w *World) undelivered(n *simNode, to string, m message.Message) {
	delay := dialTimeout
	target := w.nodes[to]
	if target != nil && target.dead && w.reachable(n.zone.Name, target.zone.Name) {
		delay = 2 * w.distance(n.zone.Name, target.zone.Name)
	}
	written := delay == dialTimeout
	w.schedule(delay, func() {
		w.step(n, func() engine.Output { return n.engine.Undelivered(w.now, to, m, written) })
	})
}
