package decisionlog

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// requestLinesPerSecond is the largest number of lines about requests written in a second. Further ones are not
	// written.
	requestLinesPerSecond = 200
	// judgementLinesPerSecond is the largest number of lines about judged back ends written in a second. Further ones are
	// counted by the metrics only.
	judgementLinesPerSecond = 50
	// successSampleInterval is the number of ordinary successes of which one is written.
	successSampleInterval = 20
)

// rateLimiter allows a number of lines in each second.
type rateLimiter struct {
	limit  int
	mutex  sync.Mutex
	second int64
	count  int
}

func (r *rateLimiter) allow(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if second := now.Unix(); second != r.second {
		r.second, r.count = second, 0
	}
	r.count++
	return r.count <= r.limit
}

// sampler picks one request in successSampleInterval, the first one included.
type sampler struct{ count atomic.Uint64 }

func (s *sampler) sampled() bool { return s.count.Add(1)%successSampleInterval == 1 }

// storeState remembers whether the last call to the store failed. Its methods report whether that has changed.
type storeState struct{ failing atomic.Bool }

func (s *storeState) markFailing() bool   { return !s.failing.Swap(true) }
func (s *storeState) markReachable() bool { return s.failing.Load() && s.failing.Swap(false) }
