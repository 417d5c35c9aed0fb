package gateway

import (
	"sync"
	"time"

	"stiletrail/internal/clock"
)

// suspensions wakes goroutines that wait on timers after the machine was suspended. Timers stand still during a suspension
// and would otherwise fire late by its length.
type suspensions struct {
	mu sync.Mutex
	// total is the time for which the machine had been suspended in all at the last check.
	total time.Duration
	// noticed is closed when the next suspension is detected. It is nil if nobody waits for one.
	noticed chan struct{}
}

// next returns a channel that is closed when the next suspension is detected.
func (s *suspensions) next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.noticed == nil {
		s.noticed = make(chan struct{})
	}
	return s.noticed
}

// notice is passed the time for which the machine has been suspended in all. It returns the increase since its last call.
func (s *suspensions) notice(total time.Duration) clock.Ms {
	s.mu.Lock()
	defer s.mu.Unlock()
	length := total - s.total
	if length <= 0 {
		return 0
	}
	s.total = total
	if s.noticed != nil {
		close(s.noticed)
		s.noticed = nil
	}
	return clock.FromDuration(length)
}
