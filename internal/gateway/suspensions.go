package gateway

import (
	"sync"
	"time"

	"stiletrail/internal/clock"
)

// suspensions tells those that wait on timers when the machine was suspended: timers stand still meanwhile, and would come late
// by that.
type suspensions struct {
	mu sync.Mutex
	// total is for how long the machine had been suspended at the last look.
	total time.Duration
	// noticed is closed when the next suspension is; nil where nobody waits for one.
	noticed chan struct{}
}

// next returns a channel that is closed when the next suspension is noticed.
func (s *suspensions) next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.noticed == nil {
		s.noticed = make(chan struct{})
	}
	return s.noticed
}

// notice takes in for how long the machine has been suspended in all, and returns by how much that has grown since the last look.
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
