// Package testio holds what tests of several packages need around their I/O: an output that is read while it is written, and
// addresses on which nobody listens. Only tests import it.
package testio

import (
	"strings"
	"sync"
)

// Output collects what is written to it. It may be read meanwhile.
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

// String returns all that was written so far.
func (o *Output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}
