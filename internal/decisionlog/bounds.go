package decisionlog

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// requestsPerSecond is how many lines about requests are written in a second; others are left out.
	requestsPerSecond = 200
	// ordinarySampleEvery ordinary requests get one line.
	ordinarySampleEvery = 20
)

// rate allows requestsPerSecond lines in each second.
type rate struct {
	mutex  sync.Mutex
	second int64
	count  int
}

func (r *rate) allow(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if second := now.Unix(); second != r.second {
		r.second, r.count = second, 0
	}
	r.count++
	return r.count <= requestsPerSecond
}

// ordinal picks one in ordinarySampleEvery.
type ordinal struct{ count atomic.Uint64 }

func (o *ordinal) sampled() bool { return o.count.Add(1)%ordinarySampleEvery == 1 }

// lostStore knows whether the store is lost.
type lostStore struct{ lost atomic.Bool }

func (s *lostStore) lose() bool   { return !s.lost.Swap(true) }
func (s *lostStore) regain() bool { return s.lost.Load() && s.lost.Swap(false) }
