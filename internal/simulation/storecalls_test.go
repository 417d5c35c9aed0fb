package simulation

import (
	"time"

	"stiletrail/internal/engine"
	"stiletrail/internal/platform"
	"stiletrail/internal/rollout"
)

// storeDelay returns the round-trip time of a request to the store, and false if the store cannot be reached.
func (w *World) storeDelay(n *simNode) (time.Duration, bool) {
	if w.storeDown || !w.reachable(n.zone.Name, "") {
		return 0, false
	}
	return w.jitter(storeLatency) + w.storeSlow, true
}

func (w *World) readStore(n *simNode, read engine.StoreRead) {
	delay, reached := w.storeDelay(n)
	if !reached || delay > storeTimeout {
		w.schedule(w.failureDelay(), func() {
			w.step(n, func() engine.Output {
				return n.engine.StoreReadDone(w.now, read.Operation, rollout.Refused, platform.Entry{})
			})
		})
		return
	}
	w.schedule(delay, func() {
		entry, _ := w.store.Get(platform.ServicePrefix + read.Service)
		w.step(n, func() engine.Output { return n.engine.StoreReadDone(w.now, read.Operation, rollout.Done, entry) })
	})
}

// failureDelay returns how long a failing request to the store takes: a refused connection or a time-out, at random.
func (w *World) failureDelay() time.Duration {
	if w.random.IntN(2) == 0 {
		return storeLatency
	}
	return storeTimeout
}

func (w *World) writeStore(n *simNode, write engine.StoreWrite) {
	delay, reached := w.storeDelay(n)
	done := func(after time.Duration, outcome rollout.Outcome, swapped bool) {
		w.schedule(after, func() {
			w.step(n, func() engine.Output { return n.engine.StoreWriteDone(w.now, write.Operation, outcome, swapped) })
		})
	}
	if !reached {
		done(w.failureDelay(), rollout.Unknown, false)
		return
	}
	late := w.chance(w.FaultProbabilities.StoreWriteDelayed)
	if late {
		w.Faults++
		delay += storeTimeout + time.Duration(w.random.Int64N(int64(3*time.Second)))
	}
	if delay > storeTimeout {
		done(storeTimeout, rollout.Unknown, false)
	}
	lost := w.chance(w.FaultProbabilities.StoreAnswerLost)
	w.schedule(delay, func() {
		swapped := w.swap(write)
		switch {
		case delay > storeTimeout:
		case lost:
			w.Faults++
			done(0, rollout.Unknown, false)
		default:
			done(0, rollout.Done, swapped)
		}
	})
}

// swap carries out a write and sends the event to the watching nodes.
func (w *World) swap(write engine.StoreWrite) bool {
	entry, swapped := w.store.CompareAndSwap(platform.ServicePrefix+write.Document.Service, write.Base, write.Document.Encode())
	w.record("swap", write.Document.Service, write.Document.Version, swapped)
	if !swapped {
		return false
	}
	w.Checker.documentWritten(write.Document)
	for _, address := range w.live {
		n := w.nodes[address]
		if !n.engine.IsRelay() || w.chance(w.FaultProbabilities.WatchEventLost) || !w.reachable(n.zone.Name, "") {
			continue
		}
		w.schedule(w.jitter(storeLatency), func() {
			w.step(n, func() engine.Output { return n.engine.StoreChanged(w.now, entry) })
		})
	}
	return true
}

func (w *World) listStore(n *simNode) {
	delay, reached := w.storeDelay(n)
	if !reached || delay > storeTimeout {
		w.schedule(w.failureDelay(), func() {
			w.step(n, func() engine.Output { return n.engine.StoreListDone(w.now, nil, false) })
		})
		return
	}
	w.schedule(delay/2, func() {
		entries := w.store.List(platform.ServicePrefix)
		for i := range entries {
			entries[i].Value = nil
		}
		w.schedule(delay/2, func() {
			w.step(n, func() engine.Output { return n.engine.StoreListDone(w.now, entries, true) })
		})
	})
}
