package serving

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
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
	errors   *log.Logger

	mutex   sync.Mutex
	limits  routing.Limits
	current *handedOver
	servers []*http.Server
	closed  bool
}

// handedOver is a listener whose connections another one accepted.
type handedOver struct {
	address     net.Addr
	connections chan net.Conn
	closeOnce   sync.Once
	done        chan struct{}
}

// Accept implements net.Listener.
func (h *handedOver) Accept() (net.Conn, error) {
	select {
	case connection := <-h.connections:
		return connection, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handedOver) Close() error {
	h.closeOnce.Do(func() { close(h.done) })
	return nil
}

// Addr implements net.Listener.
func (h *handedOver) Addr() net.Addr { return h.address }

func newCallerListener(listener net.Listener, handler http.Handler, onState func(net.Conn, http.ConnState), errors io.Writer) *callerListener {
	c := &callerListener{listener: listener, handler: handler, onState: onState, errors: log.New(errors, "", 0)}
	c.open()
	return c
}

// open starts a server with the limits as they are; the lock is held, or nobody else knows the listener yet.
func (c *callerListener) open() {
	server := &http.Server{
		Handler: c.handler, ConnState: c.onState, DisableGeneralOptionsHandler: true, ErrorLog: c.errors,
		ReadHeaderTimeout: orDefault(c.limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       orDefault(c.limits.IdleTimeout, defaultIdleTimeout),
		MaxHeaderBytes:    orDefault(c.limits.HeaderBytes, defaultHeaderBytes),
	}
	c.current = &handedOver{address: c.listener.Addr(), connections: make(chan net.Conn), done: make(chan struct{})}
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
func (c *callerListener) use(limits routing.Limits) {
	limits.BodyBytes = 0
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if limits == c.limits || c.closed {
		return
	}
	c.limits = limits
	previous := c.current
	c.open()
	_ = previous.Close()
}

// accept hands connections over until the listener is closed.
func (c *callerListener) accept(limits func() (routing.Limits, bool)) error {
	for {
		connection, err := c.listener.Accept()
		if err != nil {
			return failure.Wrap(err, failure.Internal, "the listener for callers failed")
		}
		if known, ok := limits(); ok {
			c.use(known)
		}
		c.mutex.Lock()
		current := c.current
		c.mutex.Unlock()
		select {
		case current.connections <- connection:
		case <-current.done:
			_ = connection.Close()
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
