package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes what was sent, run and answered into record.txt, and keeps what the checks need of it.
type record struct {
	mutex   sync.Mutex
	started time.Time
	file    *os.File
	writer  *bufio.Writer
	// sent counts the requests of callers.
	sent int
	// runs holds, by the id of a request, the back ends that began to work on it, in order.
	runs map[string][]string
	// answers holds the status of the answer by the id of a request; 0 if the connection ended without one.
	answers map[string]int
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{
		started: time.Now(), file: file, writer: bufio.NewWriter(file), runs: map[string][]string{}, answers: map[string]int{},
	}, nil
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}

// write writes a line with the time since the start in milliseconds. The caller holds the mutex.
func (r *record) write(format string, arguments ...any) {
	_, _ = fmt.Fprintf(r.writer, "%9.1f ", float64(time.Since(r.started).Microseconds())/1000)
	_, _ = fmt.Fprintf(r.writer, format+"\n", arguments...)
}

func (r *record) note(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.write(format, arguments...)
}

func (r *record) requestSent(id, node string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sent++
	r.write("sent %s to %s", id, node)
}

func (r *record) requestRan(id, backEnd string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs[id] = append(r.runs[id], backEnd)
	r.write("ran %s at %s", id, backEnd)
}

// requestSpoiled records that a back end sends bytes that are no answer in place of its answer.
func (r *record) requestSpoiled(id, backEnd string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.write("spoiled the answer to %s at %s", id, backEnd)
}

// hasRun reports whether a back end has begun to work on a request.
func (r *record) hasRun(id string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.runs[id]) > 0
}

func (r *record) requestAnswered(id string, status int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.answers[id] = status
	r.write("answered %s with %d", id, status)
}

// counts returns a summary of the requests.
func (r *record) counts() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	byStatus := map[int]int{}
	for _, status := range r.answers {
		byStatus[status]++
	}
	return fmt.Sprintf("%d requests sent, %d ran, answers by status %v", r.sent, len(r.runs), byStatus)
}

// runsAndRefusals returns the violations of TWICE and REFUSED: requests that may run once at most and ran more often, and
// requests that ran although their answer promises that they did not.
func (r *record) runsAndRefusals() (violations []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for id, at := range r.runs {
		if len(at) > 1 {
			violations = append(violations, fmt.Sprintf("TWICE: %s ran %d times, at %v; answered with %d", id, len(at), at, r.answers[id]))
		}
		switch status := r.answers[id]; status {
		case 408, 421, 429, 503:
			violations = append(violations, fmt.Sprintf("REFUSED: %s was answered with %d and ran at %v", id, status, at))
		}
	}
	return violations
}
