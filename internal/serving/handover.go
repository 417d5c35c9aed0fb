package serving

import (
	"net"
	"sync"
)

// handoverListener is a listener that returns connections which another listener has accepted.
type handoverListener struct {
	address     net.Addr
	connections chan net.Conn
	closeOnce   sync.Once
	done        chan struct{}
}

// Accept implements net.Listener.
func (h *handoverListener) Accept() (net.Conn, error) {
	select {
	case connection := <-h.connections:
		return connection, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handoverListener) Close() error {
	h.closeOnce.Do(func() { close(h.done) })
	return nil
}

// Addr implements net.Listener.
func (h *handoverListener) Addr() net.Addr { return h.address }
