package standin

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"stiletrail/internal/clock"
)

// Network is a network in memory: connections deliver what is written after a delay, and never hold a writer up. Its time is that of the
// standard library, so that it runs on a test's virtual clock.
type Network struct {
	delay clock.Ms
	// rate of a connection in bytes a second; 0 for no limit.
	rate int

	mu        sync.Mutex
	listeners map[string]*listener
	open      []*stream
	dialled   int
}

// NewNetwork returns a network without listeners. Delay is the way of a byte.
func NewNetwork(delay clock.Ms) *Network {
	return &Network{delay: delay, listeners: map[string]*listener{}}
}

// WithRate returns a network like this one, without listeners, whose connections carry so many bytes a second.
func (n *Network) WithRate(rate int) *Network {
	limited := NewNetwork(n.delay)
	limited.rate = rate
	return limited
}

// Listen takes connections to an address, which must be free.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "memory", Addr: place(address), Err: syscall.EADDRINUSE}
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
		return nil, &net.OpError{Op: "dial", Net: "memory", Addr: place(address), Err: syscall.ECONNREFUSED}
	}
	there, back := newStream(n), newStream(n)
	select {
	case l.incoming <- &end{in: there, out: back, local: place(address), remote: "dialler", closed: make(chan struct{})}:
	default:
		return nil, &net.OpError{Op: "dial", Net: "memory", Addr: place(address), Err: syscall.ETIMEDOUT}
	}
	n.open = append(n.open, there, back)
	n.dialled++
	return &end{in: back, out: there, local: "dialler", remote: place(address), closed: make(chan struct{})}, nil
}

// Dialled counts the connections opened so far.
func (n *Network) Dialled() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dialled
}

// Silence has all connections that are open carry nothing any more, in both directions and for good. Neither end is told: writes succeed,
// reads wait. Connections opened later are sound.
func (n *Network) Silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.open {
		s.change(func() { s.silent = true })
	}
	n.open = nil
}

// Silence has one connection of a Network carry nothing any more, as Network.Silence does with all.
func Silence(c net.Conn) {
	if e, ok := c.(*end); ok {
		e.in.change(func() { e.in.silent = true })
		e.out.change(func() { e.out.silent = true })
	}
}

func (n *Network) forget(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.listeners, address)
}

// place is an address on a Network.
type place string

// Network implements net.Addr.
func (place) Network() string { return "memory" }

// String implements net.Addr.
func (p place) String() string { return string(p) }

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
func (l *listener) Addr() net.Addr { return place(l.address) }

// stream is one direction of a connection.
type stream struct {
	delay clock.Ms
	rate  int

	mu     sync.Mutex
	pieces []piece
	// ended: the writer has closed, after all pieces. silent: nothing arrives any more, the end neither.
	ended  bool
	silent bool
	// free is when the last byte written so far has left.
	free time.Time
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// piece is what one write has sent, to be read from a moment on.
type piece struct {
	at   time.Time
	data []byte
}

func newStream(n *Network) *stream {
	return &stream{delay: n.delay, rate: n.rate, changed: make(chan struct{})}
}

func (s *stream) change(what func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	what()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) write(data []byte) {
	s.change(func() {
		if s.silent {
			return
		}
		if now := time.Now(); s.free.Before(now) {
			s.free = now
		}
		if s.rate > 0 {
			s.free = s.free.Add(time.Duration(len(data)) * time.Second / time.Duration(s.rate))
		}
		s.pieces = append(s.pieces, piece{s.free.Add(s.delay.Duration()), append([]byte(nil), data...)})
	})
}

// take reads what has arrived. With nothing there it returns when to look again, if that is known, and what to wait for.
func (s *stream) take(data []byte) (n int, next time.Time, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return 0, time.Time{}, s.changed, nil
	}
	if len(s.pieces) == 0 {
		if s.ended {
			return 0, time.Time{}, nil, io.EOF
		}
		return 0, time.Time{}, s.changed, nil
	}
	first := &s.pieces[0]
	if time.Now().Before(first.at) {
		return 0, first.at, s.changed, nil
	}
	n = copy(data, first.data)
	if first.data = first.data[n:]; len(first.data) == 0 {
		s.pieces = s.pieces[1:]
	}
	return n, time.Time{}, nil, nil
}

// end is one end of a connection.
type end struct {
	in, out       *stream
	local, remote place
	once          sync.Once
	closed        chan struct{}

	mu       sync.Mutex
	deadline time.Time
}

// Read implements net.Conn.
func (e *end) Read(data []byte) (int, error) {
	for {
		if e.isClosed() {
			return 0, net.ErrClosed
		}
		deadline := e.readDeadline()
		if !deadline.IsZero() && !time.Now().Before(deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		n, next, changed, err := e.in.take(data)
		if n > 0 || err != nil || len(data) == 0 {
			return n, err
		}
		e.wait(earlier(next, deadline), changed)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// wait waits for a change, for the end to be closed, or for a moment if that is not zero.
func (e *end) wait(until time.Time, changed <-chan struct{}) {
	if until.IsZero() {
		select {
		case <-changed:
		case <-e.closed:
		}
		return
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
	case <-e.closed:
	case <-timer.C:
	}
}

func (e *end) isClosed() bool {
	select {
	case <-e.closed:
		return true
	default:
		return false
	}
}

// Write implements net.Conn.
func (e *end) Write(data []byte) (int, error) {
	if e.isClosed() {
		return 0, net.ErrClosed
	}
	if e.peerClosed() {
		return 0, &net.OpError{Op: "write", Net: "memory", Err: syscall.EPIPE}
	}
	e.out.write(data)
	return len(data), nil
}

func (e *end) peerClosed() bool {
	e.in.mu.Lock()
	defer e.in.mu.Unlock()
	return e.in.ended && !e.in.silent && len(e.in.pieces) == 0
}

// Close implements net.Conn.
func (e *end) Close() error {
	err := errors.New("closed twice")
	e.once.Do(func() {
		err = nil
		close(e.closed)
		e.out.change(func() { e.out.ended = true })
	})
	return err
}

// LocalAddr implements net.Conn.
func (e *end) LocalAddr() net.Addr { return e.local }

// RemoteAddr implements net.Conn.
func (e *end) RemoteAddr() net.Addr { return e.remote }

func (e *end) readDeadline() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.deadline
}

// SetDeadline implements net.Conn. Writes never wait, so it bounds reads only.
func (e *end) SetDeadline(t time.Time) error { return e.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (e *end) SetReadDeadline(t time.Time) error {
	e.mu.Lock()
	e.deadline = t
	e.mu.Unlock()
	e.in.change(func() {})
	return nil
}

// SetWriteDeadline implements net.Conn.
func (e *end) SetWriteDeadline(time.Time) error { return nil }
