package serving

import (
	"net"
	"sync"
)

// handedOver is a listener whose connections another one accepted.
type handedOver struct {
	address     net.Addr
	connections chan net.Conn
	closeOnce   sync.Once
	done        chan struct{}
}

// Accept implements net.Listener.
func (h *handedOver) Accept() (net.Conn, error) {
	select {
	case connection := <-h.connections:
		return connection, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handedOver) Close() error {
	h.closeOnce.Do(func() { close(h.done) })
	return nil
}

// Addr implements net.Listener.
func (h *handedOver) Addr() net.Addr { return h.address }
