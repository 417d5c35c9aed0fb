package serving

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"stiletrail/internal/failure"
	"stiletrail/internal/routing"
)

// callerListener accepts callers' connections. It hands each one to an HTTP server that has the limits in force at
// that time. net/http may read a server's limits at any time, so the limits of a running server cannot be changed.
// When they change, a new server takes the connections from then on, and the old one keeps serving those that it
// has.
type callerListener struct {
	listener net.Listener
	handler  http.Handler
	onState  func(net.Conn, http.ConnState)
	errorLog *log.Logger

	mutex  sync.Mutex
	limits routing.Limits
	// current is the listener of the newest server.
	current *handoverListener
	servers []*http.Server
	closed  bool
}

func newCallerListener(listener net.Listener, handler http.Handler, onState func(net.Conn, http.ConnState), errorLog io.Writer) *callerListener {
	c := &callerListener{listener: listener, handler: handler, onState: onState, errorLog: log.New(errorLog, "", 0)}
	c.startServer()
	return c
}

// startServer starts a server with the current limits. The caller holds the lock, or no other goroutine has access
// to c yet.
func (c *callerListener) startServer() {
	server := &http.Server{
		Handler: c.handler, ConnState: c.onState, ConnContext: callerContext, DisableGeneralOptionsHandler: true, ErrorLog: c.errorLog,
		ReadHeaderTimeout: orDefault(c.limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       orDefault(c.limits.IdleTimeout, defaultIdleTimeout),
		MaxHeaderBytes:    orDefault(c.limits.HeaderBytes, defaultHeaderBytes),
	}
	c.current = &handoverListener{address: c.listener.Addr(), connections: make(chan net.Conn), done: make(chan struct{})}
	c.servers = append(c.servers, server)
	go func(listener net.Listener) { _ = server.Serve(listener) }(c.current)
}

func orDefault[T time.Duration | int](value, otherwise T) T {
	if value > 0 {
		return value
	}
	return otherwise
}

// applyLimits sets the limits of connections that are accepted from now on.
func (c *callerListener) applyLimits(limits routing.Limits) {
	// The HTTP server does not enforce the body limit, so a change of it needs no new server.
	limits.BodyBytes = 0
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if limits == c.limits || c.closed {
		return
	}
	c.limits = limits
	previous := c.current
	c.startServer()
	_ = previous.Close()
}

// firstAcceptPause and longestAcceptPause bound the pause after an accept failed because the machine lacked
// resources. The pause doubles with each failure. It stays short, since a node that is ready must accept
// connections again as soon as it can.
const (
	firstAcceptPause   = 5 * time.Millisecond
	longestAcceptPause = 500 * time.Millisecond
)

// accept accepts connections and hands them over until the listener is closed.
func (c *callerListener) accept(limits func() (routing.Limits, bool)) error {
	wait := firstAcceptPause
	for {
		connection, err := c.listener.Accept()
		if resourcesExhausted(err) {
			c.errorLog.Printf("cannot accept a connection: %v; next attempt in %v", err, wait)
			time.Sleep(wait)
			wait = min(2*wait, longestAcceptPause)
			continue
		}
		if err != nil {
			return failure.Wrap(err, failure.Internal, "the listener for callers' connections failed")
		}
		wait = firstAcceptPause
		if known, ok := limits(); ok {
			c.applyLimits(known)
		}
		c.handOver(connection)
	}
}

// resourcesExhausted reports whether an accept failed because file descriptors or memory ran out, which is
// temporary.
func resourcesExhausted(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// handOver gives a connection to the server with the limits in force. After shutdown it closes the connection.
func (c *callerListener) handOver(connection net.Conn) {
	for {
		c.mutex.Lock()
		current, closed := c.current, c.closed
		c.mutex.Unlock()
		select {
		case current.connections <- connection:
			return
		case <-current.done:
		}
		if closed {
			_ = connection.Close()
			return
		}
	}
}

// shutdown stops accepting connections. It closes each open connection once it is idle, and returns when all are
// closed or the context ends.
func (c *callerListener) shutdown(ctx context.Context) {
	_ = c.listener.Close()
	c.mutex.Lock()
	c.closed = true
	servers := c.servers
	c.mutex.Unlock()
	for _, server := range servers {
		_ = server.Shutdown(ctx)
	}
}
