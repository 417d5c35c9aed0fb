package dispatch

import "time"

// DrainSignal is a source that says a back end is leaving. One is enough; each takes back only what it said itself.
type DrainSignal uint8

// The sources of a drain.
const (
	// DrainByAttempt is a refusal of work; health may not take it back for drainBelief.
	DrainByAttempt DrainSignal = 1 << iota
	DrainByHealth
	DrainByMachineList
	DrainByCatalog
)

// drainBelief is how long the refusal of an attempt outweighs health that claims otherwise.
const drainBelief = time.Minute

func (b *backEnd) setDraining(signal DrainSignal, draining bool) {
	if draining {
		b.draining |= signal
	} else {
		b.draining &^= signal
	}
}
