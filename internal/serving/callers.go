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

// callerListener takes callers' connections and gives each to a server with the limits in force when it came. net/http reads a
// server's limits at any time, so they can't be changed on a running one: when they change, a new server takes the connections
// from then on, and the old one serves those it has.
type callerListener struct {
	listener net.Listener
	handler  http.Handler
	onState  func(net.Conn, http.ConnState)
	errorLog *log.Logger

	mutex  sync.Mutex
	limits routing.Limits
	// current takes connections for the newest of the servers.
	current *handoverListener
	servers []*http.Server
	closed  bool
}

func newCallerListener(listener net.Listener, handler http.Handler, onState func(net.Conn, http.ConnState), errorLog io.Writer) *callerListener {
	c := &callerListener{listener: listener, handler: handler, onState: onState, errorLog: log.New(errorLog, "", 0)}
	c.startServer()
	return c
}

// open starts a server with the limits as they are; the lock is held, or nobody else knows the listener yet.
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

// use applies limits to connections that come from now on.
func (c *callerListener) applyLimits(limits routing.Limits) {
	// The limit of bodies is not the server's, which need not change with it.
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

// Pauses after the machine had nothing left for another connection, each twice as long as the one before. A node that
// is ready must take connections again as soon as it can.
const (
	firstAcceptPause   = 5 * time.Millisecond
	longestAcceptPause = 500 * time.Millisecond
)

// accept hands connections over until the listener is closed.
func (c *callerListener) accept(limits func() (routing.Limits, bool)) error {
	wait := firstAcceptPause
	for {
		connection, err := c.listener.Accept()
		if resourcesExhausted(err) {
			c.errorLog.Printf("no connection can be taken: %v; tried again after %v", err, wait)
			time.Sleep(wait)
			wait = min(2*wait, longestAcceptPause)
			continue
		}
		if err != nil {
			return failure.Wrap(err, failure.Internal, "the listener for callers failed")
		}
		wait = firstAcceptPause
		if known, ok := limits(); ok {
			c.applyLimits(known)
		}
		c.handOver(connection)
	}
}

// exhausted reports whether the machine lacks what a connection takes, which passes.
func resourcesExhausted(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// handOver gives a connection to the server with the limits in force. After shutdown nobody takes it.
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

// shutdown stops taking connections, and ends those there are when they are idle or the context ends.
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
