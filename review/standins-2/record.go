package main

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// record collects what was sent, answered and run. It is written to a file at the end.
type record struct {
	mu      sync.Mutex
	started time.Time
	lines   []line
}

// line is one event with its moment, counted from the start of the record.
type line struct {
	at   time.Duration
	text string
}

func newRecord() *record { return &record{started: time.Now()} }

// now returns the time since the start of the record.
func (r *record) now() time.Duration { return time.Since(r.started) }

func (r *record) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line{r.now(), fmt.Sprintf(format, arguments...)})
}

// write writes all lines to a file, in the order of their moments.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.SliceStable(r.lines, func(i, j int) bool { return r.lines[i].at < r.lines[j].at })
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	for _, l := range r.lines {
		if _, err := fmt.Fprintf(file, "%9.3f %s\n", l.at.Seconds(), l.text); err != nil {
			return err
		}
	}
	return file.Close()
}
