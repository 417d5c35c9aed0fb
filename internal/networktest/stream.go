package networktest

import (
	"io"
	"sync"
	"time"

	"stiletrail/internal/clock"
)

// stream is one direction of a connection.
type stream struct {
	delay clock.Ms
	rate  int

	mu       sync.Mutex
	segments []segment
	// ended says that the writer has closed its end; the reader sees that after all segments. silent says that nothing arrives any
	// more, not even the end.
	ended  bool
	silent bool
	// sentUntil is the time at which the last byte written so far is sent. With a limited rate this is later than the write.
	sentUntil time.Time
	// changed is closed and replaced at each change, to wake waiting readers.
	changed chan struct{}
}

// segment is the data of one write. It can be read from arrivesAt on.
type segment struct {
	arrivesAt time.Time
	data      []byte
}

func newStream(n *Network) *stream {
	return &stream{delay: n.delay, rate: n.rate, changed: make(chan struct{})}
}

func (s *stream) change(what func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	what()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) write(data []byte) {
	s.change(func() {
		if s.silent {
			return
		}
		if now := time.Now(); s.sentUntil.Before(now) {
			s.sentUntil = now
		}
		if s.rate > 0 {
			s.sentUntil = s.sentUntil.Add(time.Duration(len(data)) * time.Second / time.Duration(s.rate))
		}
		s.segments = append(s.segments, segment{s.sentUntil.Add(s.delay.Duration()), append([]byte(nil), data...)})
	})
}

// read reads data that has arrived. If there is none yet, it returns a channel that is closed at the next change and, if known,
// the time at which the next data arrives.
func (s *stream) read(data []byte) (n int, next time.Time, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return 0, time.Time{}, s.changed, nil
	}
	if len(s.segments) == 0 {
		if s.ended {
			return 0, time.Time{}, nil, io.EOF
		}
		return 0, time.Time{}, s.changed, nil
	}
	first := &s.segments[0]
	if time.Now().Before(first.arrivesAt) {
		return 0, first.arrivesAt, s.changed, nil
	}
	n = copy(data, first.data)
	if first.data = first.data[n:]; len(first.data) == 0 {
		s.segments = s.segments[1:]
	}
	return n, time.Time{}, nil, nil
}
