// Package testio provides I/O helpers for tests: an output buffer that may be read while it is written, and free loopback
// addresses. Only tests import it.
package testio

import (
	"strings"
	"sync"
)

// Output collects all data written to it. It is safe for concurrent use.
type Output struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (o *Output) Write(data []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(data)
}

// String returns all data written so far.
func (o *Output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}
