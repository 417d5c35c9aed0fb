package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"stiletrail/internal/membership"
	"stiletrail/internal/message"
)

// beginCall sets the time of a call to the engine and detects that the process was frozen. It is the first step of
// every exported method that changes state.
func (e *Engine) beginCall(now time.Duration) {
	if now < e.now {
		panic("engine: the time of a call is before that of the previous call")
	}
	frozen := now-e.now > freezeGap
	e.now = now
	if frozen {
		e.resume()
	}
}

// freezeGap is the time without any call after which the process is taken to have been frozen. Ticks normally come
// every 100 ms.
const freezeGap = 2 * time.Second

// resume makes a node that was frozen join the other nodes again before it accepts new work. It discards the
// descriptions of back ends. Until they describe themselves again, sub-queries are refused as not run.
func (e *Engine) resume() {
	e.Counters.Freezes++
	if e.gossip.Ready() {
		e.gossip.MarkNotReady()
	}
	e.store.next = e.now
	e.performDispatch(e.dispatcher.ForgetHoldings(e.now))
}

// endCall delivers the messages that the node sent to itself during the call, and returns the collected output.
func (e *Engine) endCall() Output {
	e.deliverLocal()
	e.refreshPlacement()
	e.deliverLocal()
	if e.readyAt == 0 && e.serving() {
		e.readyAt = e.now
	}
	output := e.output
	e.output = Output{}
	return output
}

// deliverLocal processes the messages of this node to itself, including those that are sent while doing so.
func (e *Engine) deliverLocal() {
	for len(e.local) > 0 {
		m := e.local[0]
		e.local = e.local[1:]
		e.receive(e.Address(), m)
	}
}

// send sends a message to a node, which may be this one.
func (e *Engine) send(to string, m message.Message) {
	if to == e.Address() {
		e.local = append(e.local, m)
		return
	}
	e.output.Sends = append(e.output.Sends, Envelope{To: to, Message: m})
}

// sendAll sends the messages that membership or gossip has returned.
func (e *Engine) sendAll(sends []membership.OutgoingMessage) {
	for _, s := range sends {
		e.send(s.To, s.Message)
	}
}

// nextNumber returns a number that is unique within this process.
func (e *Engine) nextNumber() uint64 {
	e.sequence++
	return e.sequence
}

// sortedKeys returns the keys of a map in order, so that the simulation is reproducible from its seed.
func sortedKeys[Key cmp.Ordered, Value any](m map[Key]Value) []Key {
	if len(m) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(m))
}
