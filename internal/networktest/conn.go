package networktest

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is one end of a connection. It reads from one stream and writes to the other.
type conn struct {
	in, out       *stream
	local, remote addr
	once          sync.Once
	closed        chan struct{}

	mu       sync.Mutex
	deadline time.Time
}

// Silence makes one connection of a Network drop all data in both directions, without telling either end.
// Connections of another type are ignored.
func Silence(connection net.Conn) {
	if c, ok := connection.(*conn); ok {
		c.in.change(func() { c.in.silent = true })
		c.out.change(func() { c.out.silent = true })
	}
}

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) {
	for {
		if c.isClosed() {
			return 0, net.ErrClosed
		}
		deadline := c.readDeadline()
		if !deadline.IsZero() && !time.Now().Before(deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		n, next, changed, err := c.in.read(data)
		if n > 0 || err != nil || len(data) == 0 {
			return n, err
		}
		c.wait(earlier(next, deadline), changed)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// wait returns when the stream changes, when this end is closed, or at the given time. A zero time means no time limit.
func (c *conn) wait(until time.Time, changed <-chan struct{}) {
	if until.IsZero() {
		select {
		case <-changed:
		case <-c.closed:
		}
		return
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
	case <-c.closed:
	case <-timer.C:
	}
}

func (c *conn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	if c.peerClosed() {
		return 0, &net.OpError{Op: "write", Net: "memory", Err: syscall.EPIPE}
	}
	c.out.write(data)
	return len(data), nil
}

func (c *conn) peerClosed() bool {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return c.in.ended && !c.in.silent && len(c.in.segments) == 0
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := errors.New("the connection is already closed")
	c.once.Do(func() {
		err = nil
		close(c.closed)
		c.out.change(func() { c.out.ended = true })
	})
	return err
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) readDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline
}

// SetDeadline implements net.Conn. It applies to reads only, since writes never block.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	c.in.change(func() {})
	return nil
}

// SetWriteDeadline implements net.Conn. It has no effect, since writes never block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
