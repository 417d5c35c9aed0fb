package serving

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Caller is the connection that a request came by, as the machine knows it. What a process learns by reading may be late: a
// request lies in the machine until the process comes to it, and so does the word that its caller has left. The zero value is of a
// connection of which nothing is known.
type Caller struct {
	socket syscall.RawConn
}

// callerKey is under which a request's context has its Caller.
type callerKey struct{}

// withCaller gives the context of the requests of a connection.
func callerContext(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, NewCaller(connection))
}

// NewCaller returns what the machine knows of a connection.
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

// CallerOf returns the Caller of a request by its context.
func CallerOf(ctx context.Context) Caller {
	caller, _ := ctx.Value(callerKey{}).(Caller)
	return caller
}

// UnreadFor is how long ago the last bytes came that the caller has sent, 0 where the machine does not tell. It counts in whole
// milliseconds, and not while the machine is suspended.
func (c Caller) UnreadFor() time.Duration {
	var waited time.Duration
	c.withDescriptor(func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			waited = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return waited
}

// Disconnected reports whether the caller has closed its end, or the connection has broken: there is nobody to answer. A caller that has
// sent more meanwhile passes for there.
func (c Caller) Disconnected() (gone bool) {
	c.withDescriptor(func(fd int) {
		var next [1]byte
		n, _, err := unix.Recvfrom(fd, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		gone = n == 0 && err == nil || err != nil && err != unix.EAGAIN && err != unix.EINTR
	})
	return gone
}

// look calls a function with the connection's descriptor, unless the connection is closed.
func (c Caller) withDescriptor(at func(fd int)) {
	if c.socket != nil {
		// A connection that this node has closed tells nothing, which is what the caller's zero value says.
		_ = c.socket.Control(func(fd uintptr) { at(int(fd)) })
	}
}
