package dispatch

import "time"

// drainSignal is a source that says a back end is leaving. One is enough; each takes back only what it said itself.
type drainSignal uint8

// The sources of a drain.
const (
	// drainByAttempt is a refusal of work; health may not take it back for drainBelief.
	drainByAttempt drainSignal = 1 << iota
	drainByHealth
	drainByMachineList
	drainByCatalog
)

// drainBelief is how long the refusal of an attempt outweighs health that claims otherwise.
const drainBelief = time.Minute

func (b *backEnd) setDraining(signal drainSignal, draining bool) {
	if draining {
		b.draining |= signal
	} else {
		b.draining &^= signal
	}
}
