package serving

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Caller is the state of a caller's connection as the kernel knows it. The process learns of events late: a request
// stays in the kernel's receive buffer until the process reads it, and so does the close of the caller's end. The
// zero value stands for a connection of unknown state.
type Caller struct {
	socket syscall.RawConn
}

// callerKey is the context key of a request's Caller.
type callerKey struct{}

// callerContext returns the context for the requests of a connection.
func callerContext(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, NewCaller(connection))
}

// NewCaller returns the Caller of a connection.
func NewCaller(connection net.Conn) Caller {
	withSocket, ok := connection.(syscall.Conn)
	if !ok {
		return Caller{}
	}
	socket, err := withSocket.SyscallConn()
	if err != nil {
		return Caller{}
	}
	return Caller{socket}
}

// CallerOf returns the Caller stored in a request's context.
func CallerOf(ctx context.Context) Caller {
	caller, _ := ctx.Value(callerKey{}).(Caller)
	return caller
}

// UnreadFor returns the time since the caller's last bytes arrived, or 0 if the kernel does not report it. The kernel
// counts in whole milliseconds, and not while the machine is suspended.
func (c Caller) UnreadFor() time.Duration {
	var waited time.Duration
	c.withDescriptor(func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			waited = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return waited
}

// Disconnected reports whether the caller has closed its end, the connection has broken or this node has closed it, so
// that nobody would receive an answer. A caller with further unread bytes counts as connected.
func (c Caller) Disconnected() (disconnected bool) {
	open := c.withDescriptor(func(fd int) {
		var next [1]byte
		n, _, err := unix.Recvfrom(fd, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		disconnected = n == 0 && err == nil || err != nil && err != unix.EAGAIN && err != unix.EINTR
	})
	return disconnected || !open
}

// withDescriptor calls at with the connection's file descriptor, unless this node has closed the connection. It reports
// whether the connection is open; one of unknown state counts as open.
func (c Caller) withDescriptor(at func(fd int)) (open bool) {
	if c.socket == nil {
		return true
	}
	return c.socket.Control(func(fd uintptr) { at(int(fd)) }) == nil
}
