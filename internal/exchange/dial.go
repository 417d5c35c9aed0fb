package exchange

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is how long written bytes may stay unacknowledged before the connection fails.
	userTimeout = 2 * time.Second
	// defaultVerificationMargin is the time in which a back end at its connection limit notices the new connection
	// and closes it.
	defaultVerificationMargin = 2 * time.Millisecond
)

// errRejected is returned if the back end closed a new connection before anything was sent on it, as a back end at
// its connection limit does.
var errRejected = errors.New("the back end closed the new connection at once")

// staysSilent reports whether a new connection stays open without receiving a byte for the given time.
func staysSilent(socket net.Conn, length time.Duration) bool {
	if err := socket.SetReadDeadline(time.Now().Add(length)); err != nil {
		return false
	}
	var buffer [1]byte
	_, err := socket.Read(buffer[:])
	return errors.Is(err, os.ErrDeadlineExceeded)
}

func (p *Pool) open(ctx context.Context, request Request) (*connection, error) {
	timeout := min(request.ConnectTimeout, time.Until(request.Deadline))
	started := time.Now()
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: setUserTimeout}
	socket, err := dialer.DialContext(ctx, "tcp4", request.Address)
	if err != nil {
		return nil, err
	}
	took := time.Since(started)
	if p.OnConnected != nil {
		p.OnConnected(took)
	}
	p.OpenedTotal.Add(1)
	if request.VerifyConnection && !staysSilent(socket, took+p.verificationMargin) {
		_ = socket.Close()
		return nil, errRejected
	}
	p.OpenCount.Add(1)
	return newConnection(socket, func() { p.OpenCount.Add(-1) }), nil
}

// BackEndCrashed reports whether no process serves at an address any more. After a crash, connections are refused,
// or a proxy in front of the back end closes them at once.
//
// The check takes one or two round trips, and opens one connection if a process still serves. If full is set, a
// back end at its connection limit, which closes new connections at once, counts as serving.
func (p *Pool) BackEndCrashed(ctx context.Context, address string, timeout time.Duration, full bool) bool {
	started := time.Now()
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	socket, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.OpenedTotal.Add(1)
	defer func() { _ = socket.Close() }()
	return !full && !staysSilent(socket, time.Since(started)+p.verificationMargin)
}

// setUserTimeout makes a connection to a back end that has stopped acknowledging fail instead of hanging.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
