package limit

import (
	"math"
	"time"
)

// ConcurrencyWindow bounds the attempts in flight at one back end. It never exceeds its ceiling, the node's part of the
// back end's slots; it is halved when the back end sheds and grows by one slot per window of good answers.
type ConcurrencyWindow struct {
	ceiling  float64
	size     float64
	inFlight int
	// lastCut limits cuts to one per round trip.
	lastCut time.Duration
}

// minimumWindow keeps one attempt going, by which recovery is noticed.
const minimumWindow = 1

// NewConcurrencyWindow returns a window that starts at one and may grow to the ceiling.
func NewConcurrencyWindow(ceiling int) ConcurrencyWindow {
	return ConcurrencyWindow{ceiling: float64(ceiling), size: math.Min(minimumWindow, float64(ceiling))}
}

// Restart puts the window back to one attempt, for a back end that comes back from an ejection.
func (w *ConcurrencyWindow) Restart() { w.size = math.Min(minimumWindow, w.ceiling) }

// SetCold keeps a back end that says it is cold at one attempt.
func (w *ConcurrencyWindow) SetCold() { w.Restart() }

// SetCeiling changes the part of the slots; attempts in flight stay counted.
func (w *ConcurrencyWindow) SetCeiling(ceiling int) {
	w.ceiling = float64(ceiling)
	w.size = math.Min(math.Max(w.size, minimumWindow), w.ceiling)
}

// Ceiling is the largest size.
func (w *ConcurrencyWindow) Ceiling() int { return int(w.ceiling) }

// Size is the number of attempts allowed at once.
func (w *ConcurrencyWindow) Size() int { return int(w.size) }

// InFlight is the number of attempts under way.
func (w *ConcurrencyWindow) InFlight() int { return w.inFlight }

// HasRoom reports whether another attempt may start.
func (w *ConcurrencyWindow) HasRoom() bool { return w.inFlight < int(w.size) }

// Start counts an attempt in.
func (w *ConcurrencyWindow) Start() { w.inFlight++ }

// Finish counts an attempt out.
func (w *ConcurrencyWindow) Finish() {
	if w.inFlight == 0 {
		panic("limit: attempt finished that was not started")
	}
	w.inFlight--
}

// Succeeded grows the window after an answer.
func (w *ConcurrencyWindow) Succeeded() {
	w.size = math.Min(w.ceiling, w.size+1/math.Max(w.size, 1))
}

// Shed halves the window after the back end refused for lack of slots, at most once per round trip.
func (w *ConcurrencyWindow) Shed(now, roundTrip time.Duration) {
	if w.lastCut > 0 && now-w.lastCut < roundTrip {
		return
	}
	w.lastCut = now
	w.size = math.Max(math.Min(minimumWindow, w.ceiling), w.size/2)
}
