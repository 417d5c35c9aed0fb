package gateway

import (
	"sync"
	"time"

	"stiletrail/internal/clock"
)

// wakes tells those that wait on timers when the machine was suspended: timers stand still meanwhile, and would come late by
// that.
type wakes struct {
	mu sync.Mutex
	// suspended is for how long the machine had been suspended at the last look.
	suspended time.Duration
	woke      chan struct{}
}

// next returns a channel that is closed when the next suspension is noticed.
func (w *wakes) next() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.woke == nil {
		w.woke = make(chan struct{})
	}
	return w.woke
}

// look takes in for how long the machine has been suspended in all, and returns by how much that has grown since the last look.
func (w *wakes) look(suspended time.Duration) clock.Ms {
	w.mu.Lock()
	defer w.mu.Unlock()
	length := suspended - w.suspended
	if length <= 0 {
		return 0
	}
	w.suspended = suspended
	if w.woke != nil {
		close(w.woke)
		w.woke = nil
	}
	return clock.Of(length)
}
