// Package networktest provides an in-memory network for tests. Its connections have a latency and optionally a limited bandwidth,
// and can start to drop all data, as when a network path is lost. Only tests import it.
//
// A Network owns its listeners and connections and guards them with mutexes. The package starts no goroutines. It uses the clock
// of package time, so that it works with the virtual time of testing/synctest.
package networktest

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"stiletrail/internal/clock"
)

// Network is an in-memory network. Its connections deliver written data after a delay. Writes never block.
type Network struct {
	delay clock.Ms
	// rate is the bandwidth of a connection in one direction, in bytes per second. 0 means no limit.
	rate int

	mu        sync.Mutex
	listeners map[string]*listener
	streams   []*stream
	dialled   int
}

// New returns a network without listeners. delay is the one-way latency of its connections.
func New(delay clock.Ms) *Network {
	return &Network{delay: delay, listeners: map[string]*listener{}}
}

// WithRate returns a new network without listeners. It has the same latency, and its connections carry rate bytes per second in
// each direction.
func (n *Network) WithRate(rate int) *Network {
	limited := New(n.delay)
	limited.rate = rate
	return limited
}

// Listen returns a listener on the address. The error is EADDRINUSE if the address has a listener already.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "memory", Addr: addr(address), Err: syscall.EADDRINUSE}
	}
	l := &listener{network: n, address: address, incoming: make(chan net.Conn, backlog), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// backlog is the maximum number of connections that wait to be accepted. Dial fails with ETIMEDOUT when it is full.
const backlog = 1024

// Dial opens a connection after one round trip. The error is ECONNREFUSED if the address has no listener, ETIMEDOUT if too many
// connections wait to be accepted, or the context's error.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	select {
	case <-time.After(2 * n.delay.Duration()):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[address]
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "memory", Addr: addr(address), Err: syscall.ECONNREFUSED}
	}
	there, back := newStream(n), newStream(n)
	select {
	case l.incoming <- &conn{in: there, out: back, local: addr(address), remote: "dialler", closed: make(chan struct{})}:
	default:
		return nil, &net.OpError{Op: "dial", Net: "memory", Addr: addr(address), Err: syscall.ETIMEDOUT}
	}
	n.streams = append(n.streams, there, back)
	n.dialled++
	return &conn{in: back, out: there, local: "dialler", remote: addr(address), closed: make(chan struct{})}, nil
}

// Dialled returns the number of connections opened so far.
func (n *Network) Dialled() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dialled
}

// Silence makes all open connections drop all data from now on, in both directions. Neither end is told: writes
// succeed and reads block. Connections opened later are not affected.
func (n *Network) Silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.streams {
		s.change(func() { s.silent = true })
	}
	n.streams = nil
}

func (n *Network) removeListener(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.listeners, address)
}

// addr is an address on a Network.
type addr string

// Network implements net.Addr.
func (addr) Network() string { return "memory" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }

type listener struct {
	network  *Network
	address  string
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.removeListener(l.address)
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }
