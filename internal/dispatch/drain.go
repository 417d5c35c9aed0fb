package dispatch

import "time"

// drainSignal is a set of sources that report a back end as draining. One source is enough to stop new work. A source
// can only clear its own signal.
type drainSignal uint8

// The sources that can report a back end as draining.
const (
	// drainByAttempt is set when the back end refuses an attempt as draining. A description that says otherwise does
	// not clear it within refusalValidity.
	drainByAttempt drainSignal = 1 << iota
	// drainByHealth is set while the back end describes itself as draining.
	drainByHealth
	// drainByMachineList is set while the machine list reports the back end as leaving.
	drainByMachineList
	// drainByCatalog is set while the service's document marks the back end as draining or no longer contains it.
	drainByCatalog
)

// refusalValidity is how long a refused attempt outweighs a description of the back end that does not say draining.
const refusalValidity = time.Minute

// setDraining sets or clears the signal of one source.
func (b *backEnd) setDraining(signal drainSignal, draining bool) {
	if draining {
		b.draining |= signal
	} else {
		b.draining &^= signal
	}
}
