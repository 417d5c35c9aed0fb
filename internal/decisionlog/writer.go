package decisionlog

import (
	"io"
	"sync"
	"time"
)

// Sizes of the buffer.
const (
	// bufferLimit in bytes of lines that wait to be written.
	bufferLimit = 64 << 10
	// flushInterval is how long lines are gathered for one write.
	flushInterval = 200 * time.Millisecond
)

// Writer gathers lines and writes them in the background.
type Writer struct {
	mutex   sync.Mutex
	waiting []byte
	spare   []byte
	dropped uint64
	wake    chan struct{}
	closed  chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewWriter starts a writer to the given output, which may block for as long as it likes.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{})}
	go w.run(output)
	return w
}

// Write implements io.Writer for whole lines. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.waiting)+len(line) > bufferLimit {
		w.dropped++
		return len(line), nil
	}
	first := len(w.waiting) == 0
	w.waiting = append(w.waiting, line...)
	if first {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Dropped is the number of lines that found the buffer full.
func (w *Writer) Dropped() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.dropped
}

// Close writes what waits, as far as the output takes it within the given time.
func (w *Writer) Close(within time.Duration) {
	w.once.Do(func() { close(w.closed) })
	select {
	case <-w.done:
	case <-time.After(within):
	}
}

func (w *Writer) run(output io.Writer) {
	defer close(w.done)
	for {
		select {
		case <-w.wake:
			w.gather()
			w.flush(output)
		case <-w.closed:
			w.flush(output)
			return
		}
	}
}

// gather waits for more lines to share a write with.
func (w *Writer) gather() {
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.closed:
	}
}

func (w *Writer) flush(output io.Writer) {
	w.mutex.Lock()
	lines := w.waiting
	w.waiting = w.spare[:0]
	w.mutex.Unlock()
	if len(lines) > 0 {
		_, _ = output.Write(lines)
	}
	w.mutex.Lock()
	w.spare = lines[:0]
	w.mutex.Unlock()
}
