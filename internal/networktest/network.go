// Package networktest is a network in memory for tests: connections with a delay and, if asked, a rate, which can fall silent as
// when a path is lost. Only tests import it.
//
// It owns its listeners and connections, each under a mutex, starts no goroutine, and takes its time from the standard library,
// so that it runs on the virtual clock of testing/synctest.
package networktest

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"stiletrail/internal/clock"
)

// Network is a network in memory: connections deliver what is written after a delay, and never hold a writer up.
type Network struct {
	delay clock.Ms
	// rate of a connection in bytes a second; 0 for no limit.
	rate int

	mu        sync.Mutex
	listeners map[string]*listener
	open      []*stream
	dialled   int
}

// New returns a network without listeners. Delay is the way of a byte.
func New(delay clock.Ms) *Network {
	return &Network{delay: delay, listeners: map[string]*listener{}}
}

// WithRate returns a network like this one, without listeners, whose connections carry so many bytes a second.
func (n *Network) WithRate(rate int) *Network {
	limited := New(n.delay)
	limited.rate = rate
	return limited
}

// Listen takes connections to an address, which must be free.
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

// backlog is how many connections wait to be accepted at most.
const backlog = 1024

// Dial opens a connection. The error is ECONNREFUSED where nobody listens, or the context's.
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
	n.open = append(n.open, there, back)
	n.dialled++
	return &conn{in: back, out: there, local: "dialler", remote: addr(address), closed: make(chan struct{})}, nil
}

// Dialled counts the connections opened so far.
func (n *Network) Dialled() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dialled
}

// Silence has all connections that are open carry nothing any more, in both directions and for good. Neither end is told: writes
// succeed, reads wait. Connections opened later are sound.
func (n *Network) Silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.open {
		s.change(func() { s.silent = true })
	}
	n.open = nil
}

func (n *Network) forget(address string) {
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
		l.network.forget(l.address)
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }
