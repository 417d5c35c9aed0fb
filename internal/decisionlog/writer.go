package decisionlog

import (
	"io"
	"sync"
	"time"
)

// Limits of the buffer.
const (
	// bufferLimit is the largest size of the lines that wait to be written, in bytes.
	bufferLimit = 64 << 10
	// flushInterval is how long lines are collected for one write.
	flushInterval = 200 * time.Millisecond
)

// Writer collects lines in a buffer and writes them in the background.
type Writer struct {
	mutex   sync.Mutex
	waiting []byte
	// spare is the buffer of the last write. It collects the lines that arrive during the next write.
	spare   []byte
	dropped uint64
	// wake is signalled when the buffer gets its first line, closed is closed by Close, and done is closed when the last
	// lines are written.
	wake   chan struct{}
	closed chan struct{}
	done   chan struct{}
	once   sync.Once
}

// NewWriter starts a writer to the given output. Writes to the output may block for any time.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{})}
	go w.run(output)
	return w
}

// Write implements io.Writer. Each call passes whole lines. It never waits for the output and never fails: lines for
// which the buffer has no room are dropped and counted.
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

// Dropped returns the number of lines dropped because the buffer was full.
func (w *Writer) Dropped() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.dropped
}

// Close writes the waiting lines. It returns after the given time even if the output has not accepted them all.
func (w *Writer) Close(timeout time.Duration) {
	w.once.Do(func() { close(w.closed) })
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *Writer) run(output io.Writer) {
	defer close(w.done)
	for {
		select {
		case <-w.wake:
			w.collect()
			w.flush(output)
		case <-w.closed:
			w.flush(output)
			return
		}
	}
}

// collect waits for the flush interval, or until the writer is closed, so that more lines go into the same write.
func (w *Writer) collect() {
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
