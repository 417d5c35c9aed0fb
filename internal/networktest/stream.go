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

	mu     sync.Mutex
	pieces []piece
	// ended: the writer has closed, after all pieces. silent: nothing arrives any more, the end neither.
	ended  bool
	silent bool
	// free is when the last byte written so far has left.
	free time.Time
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// piece is what one write has sent, to be read from a moment on.
type piece struct {
	at   time.Time
	data []byte
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
		if now := time.Now(); s.free.Before(now) {
			s.free = now
		}
		if s.rate > 0 {
			s.free = s.free.Add(time.Duration(len(data)) * time.Second / time.Duration(s.rate))
		}
		s.pieces = append(s.pieces, piece{s.free.Add(s.delay.Duration()), append([]byte(nil), data...)})
	})
}

// take reads what has arrived. With nothing there it returns when to look again, if that is known, and what to wait for.
func (s *stream) take(data []byte) (n int, next time.Time, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return 0, time.Time{}, s.changed, nil
	}
	if len(s.pieces) == 0 {
		if s.ended {
			return 0, time.Time{}, nil, io.EOF
		}
		return 0, time.Time{}, s.changed, nil
	}
	first := &s.pieces[0]
	if time.Now().Before(first.at) {
		return 0, first.at, s.changed, nil
	}
	n = copy(data, first.data)
	if first.data = first.data[n:]; len(first.data) == 0 {
		s.pieces = s.pieces[1:]
	}
	return n, time.Time{}, nil, nil
}
