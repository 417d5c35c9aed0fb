package exchange

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"stiletrail/internal/clock"
)

// Limits of connections.
const (
	// defaultIdle is how long a connection is idle where the back end names no time.
	defaultIdle = 4 * time.Second
	// idleMargin is kept before the time a back end names, so that a request does not cross its close.
	idleMargin = 500 * time.Millisecond
	// userTimeout is how long written bytes may stay unacknowledged before a connection is given up.
	userTimeout = 2 * time.Second
	// defaultProvenWithin is how long after an answer a connection counts as sound for a request that cannot be sent again. A new connection costs it a way
	// there and back, 1 to 25 ms; without an answer it is lost.
	defaultProvenWithin = 250 * time.Millisecond
	// defaultProofSlack is enough for a back end to notice a connection over its limit and to close it.
	defaultProofSlack = 2 * time.Millisecond
)

// errTurnedAway: the back end closed a new connection before anything was sent on it.
var errTurnedAway = errors.New("the back end closed the new connection at once")

// quiet reports whether nothing comes on a new connection, neither a byte nor its end, for some time.
func quiet(socket net.Conn, length time.Duration) bool {
	if err := socket.SetReadDeadline(time.Now().Add(length)); err != nil {
		return false
	}
	var buffer [1]byte
	_, err := socket.Read(buffer[:])
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	// clock counts how long connections are idle, also while the machine is suspended: back ends close them meanwhile.
	clock clock.Clock
	mutex sync.Mutex
	idle  map[string][]*connection
	// Opened counts connections opened since the start; Open is how many there are.
	Opened atomic.Int64
	Open   atomic.Int64
	// Connected, where set, is told how long each opening of a connection took.
	Connected func(time.Duration)
	// proofSlack is waited beyond a way there and back where a new connection must prove itself.
	proofSlack time.Duration
	// provenWithin is how long after an answer a connection counts as sound for a request that cannot be sent again.
	provenWithin time.Duration
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{clock: clock.Start(), idle: map[string][]*connection{}, proofSlack: defaultProofSlack, provenWithin: defaultProvenWithin}
}

// connect takes an idle connection that is still sound, or opens one.
func (p *Pool) connect(ctx context.Context, request Request) (*connection, error) {
	for {
		kept := p.take(request.Address)
		if kept == nil {
			return p.open(ctx, request)
		}
		now := p.clock.Elapsed()
		if kept.sound(now) && !(request.Once && now-kept.idleSince > p.provenWithin) {
			return kept, nil
		}
		kept.close()
	}
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
	if p.Connected != nil {
		p.Connected(took)
	}
	p.Opened.Add(1)
	if request.Prove && !quiet(socket, took+p.proofSlack) {
		_ = socket.Close()
		return nil, errTurnedAway
	}
	p.Open.Add(1)
	return newConnection(socket, func() { p.Open.Add(-1) }), nil
}

// Ended reports whether nobody serves at an address any more, as after the end of a process, whether its connections are refused or closed at once by
// what stands in front of it. It takes one or two ways there and back, and costs a connection where somebody does. Full says that a back end which is
// at its limit of connections, and closes new ones, counts as serving.
func (p *Pool) Ended(ctx context.Context, address string, timeout time.Duration, full bool) bool {
	started := time.Now()
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	socket, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.Opened.Add(1)
	defer func() { _ = socket.Close() }()
	return !full && !quiet(socket, time.Since(started)+p.proofSlack)
}

// setUserTimeout has a connection to a peer that fell silent fail instead of hanging.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

func (p *Pool) take(address string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	last := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	return last
}

// put keeps a connection idle, or closes it where as many are idle already as may be.
func (p *Pool) put(request Request, c *connection) {
	c.idleSince = p.clock.Elapsed()
	_ = c.socket.SetDeadline(time.Time{})
	if request.IdleFor > 0 {
		c.idleFor = min(c.idleFor, request.IdleFor)
	}
	p.mutex.Lock()
	kept := len(p.idle[request.Address]) < request.MaximumIdle
	if kept {
		p.idle[request.Address] = append(p.idle[request.Address], c)
	}
	p.mutex.Unlock()
	if !kept {
		c.close()
	}
}

// Prune closes connections that have been idle as long as they may, and all to addresses that are no longer in use.
func (p *Pool) Prune(inUse func(address string) bool) {
	now := p.clock.Elapsed()
	var stale []*connection
	p.mutex.Lock()
	for address, idle := range p.idle {
		used := inUse(address)
		kept := idle[:0]
		for _, c := range idle {
			if used && !c.idleTooLong(now) {
				kept = append(kept, c)
			} else {
				stale = append(stale, c)
			}
		}
		clear(idle[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mutex.Unlock()
	for _, c := range stale {
		c.close()
	}
}

func (c *connection) idleTooLong(now time.Duration) bool {
	return now-c.idleSince >= c.idleFor
}

// sound reports whether a connection may carry another request: it has not been idle too long, the back end has not closed it,
// and no byte came that belongs to no request.
func (c *connection) sound(now time.Duration) bool {
	if c.idleTooLong(now) {
		return false
	}
	raw, err := c.socket.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
	})
	return err == nil && quiet
}

// keepAliveTimeout is how long a connection may be idle by what the back end says.
func keepAliveTimeout(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle
}
