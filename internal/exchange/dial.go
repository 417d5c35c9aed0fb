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
	// userTimeout is how long written bytes may stay unacknowledged before a connection is given up.
	userTimeout = 2 * time.Second
	// defaultProofSlack is enough for a back end to notice a connection over its limit and to close it.
	defaultVerificationMargin = 2 * time.Millisecond
)

// errTurnedAway: the back end closed a new connection before anything was sent on it.
var errRejected = errors.New("the back end closed the new connection at once")

// quiet reports whether nothing comes on a new connection, neither a byte nor its end, for some time.
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

// BackEndCrashed reports whether nobody serves at an address any more, as after the end of a process, whether its connections
// are refused or closed at once by what stands in front of it. It takes one or two ways there and back, and costs a
// connection where somebody does. Full says that a back end which is at its limit of connections, and closes new ones,
// counts as serving.
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

// setUserTimeout has a connection to a peer that fell silent fail instead of hanging.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
