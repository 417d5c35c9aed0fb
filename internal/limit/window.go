package limit

import (
	"math"
	"time"
)

// ConcurrencyWindow bounds the attempts in flight at one back end. It never exceeds its ceiling, which is the node's
// part of the back end's slots. It is halved when the back end refuses for lack of slots, and grows by one for each
// window of successful answers.
type ConcurrencyWindow struct {
	ceiling  float64
	size     float64
	inFlight int
	// lastCut is when the window was last halved. It is halved at most once per round trip.
	lastCut time.Duration
}

// minimumConcurrency keeps one attempt possible, so that the recovery of a back end is noticed.
const minimumConcurrency = 1

// NewConcurrencyWindow returns a window of size 1 that may grow to the ceiling.
func NewConcurrencyWindow(ceiling int) ConcurrencyWindow {
	return ConcurrencyWindow{ceiling: float64(ceiling), size: math.Min(minimumConcurrency, float64(ceiling))}
}

// Restart sets the window back to one attempt, for a back end that returns from an ejection.
func (w *ConcurrencyWindow) Restart() { w.size = math.Min(minimumConcurrency, w.ceiling) }

// SetCold limits a back end that reports that it is cold to one attempt.
func (w *ConcurrencyWindow) SetCold() { w.Restart() }

// SetCeiling changes the ceiling. Attempts in flight stay counted.
func (w *ConcurrencyWindow) SetCeiling(ceiling int) {
	w.ceiling = float64(ceiling)
	w.size = math.Min(math.Max(w.size, minimumConcurrency), w.ceiling)
}

// Ceiling returns the largest size.
func (w *ConcurrencyWindow) Ceiling() int { return int(w.ceiling) }

// Size returns the number of attempts allowed at once.
func (w *ConcurrencyWindow) Size() int { return int(w.size) }

// InFlight returns the number of attempts in flight.
func (w *ConcurrencyWindow) InFlight() int { return w.inFlight }

// HasCapacity reports whether another attempt may start.
func (w *ConcurrencyWindow) HasCapacity() bool { return w.inFlight < int(w.size) }

// Start counts an attempt that begins.
func (w *ConcurrencyWindow) Start() { w.inFlight++ }

// Finish counts an attempt that ends.
func (w *ConcurrencyWindow) Finish() {
	if w.inFlight == 0 {
		panic("limit: attempt finished that was not started")
	}
	w.inFlight--
}

// Succeeded grows the window after a successful answer.
func (w *ConcurrencyWindow) Succeeded() {
	w.size = math.Min(w.ceiling, w.size+1/math.Max(w.size, 1))
}

// Shed halves the window after the back end refused for lack of slots, at most once per round trip.
func (w *ConcurrencyWindow) Shed(now, roundTrip time.Duration) {
	if w.lastCut > 0 && now-w.lastCut < roundTrip {
		return
	}
	w.lastCut = now
	w.size = math.Max(math.Min(minimumConcurrency, w.ceiling), w.size/2)
}
