package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"stiletrail/internal/membership"
	"stiletrail/internal/message"
)

// beginCall starts a call at the given time.
func (e *Engine) beginCall(now time.Duration) {
	if now < e.now {
		panic("engine: time went back")
	}
	frozen := now-e.now > freezeGap
	e.now = now
	if frozen {
		e.resume()
	}
}

// freezeGap without any call means that the process did not run: ticks come every 100 ms.
const freezeGap = 2 * time.Second

// resume makes a node that did not run for a while join again before it takes new work. What back ends said before is forgotten;
// until they are heard again sub-queries are refused as not run.
func (e *Engine) resume() {
	e.Counters.Freezes++
	if e.gossip.Ready() {
		e.gossip.Suspend()
	}
	e.store.next = e.now
	e.performDispatch(e.dispatcher.ForgetHoldings(e.now))
}

// endCall delivers the node's messages to itself and returns what there is to do.
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

// deliverLocal hands this node the messages to itself, and those that come of them.
func (e *Engine) deliverLocal() {
	for len(e.local) > 0 {
		m := e.local[0]
		e.local = e.local[1:]
		e.receive(e.Address(), m)
	}
}

// send sends a message to a node, this one included.
func (e *Engine) send(to string, m message.Message) {
	if to == e.Address() {
		e.local = append(e.local, m)
		return
	}
	e.output.Sends = append(e.output.Sends, Envelope{To: to, Message: m})
}

func (e *Engine) sendAll(sends []membership.Send) {
	for _, s := range sends {
		e.send(s.To, s.Message)
	}
}

// nextNumber returns a number that this node never gave out before.
func (e *Engine) nextNumber() uint64 {
	e.sequence++
	return e.sequence
}

// sortedKeys returns the keys of a map in order, so that a seed gives one trace.
func sortedKeys[Key cmp.Ordered, Value any](m map[Key]Value) []Key {
	if len(m) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(m))
}
