package serving

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"stiletrail/internal/routing"
)

// delayedListener leaves connections in the kernel's accept queue until startAccepting is closed.
type delayedListener struct {
	net.Listener
	startAccepting chan struct{}
}

// Accept implements net.Listener.
func (l *delayedListener) Accept() (net.Conn, error) {
	<-l.startAccepting
	return l.Listener.Accept()
}

// serveAfterDelay serves callers on the loopback address once startAccepting is called.
func serveAfterDelay(t *testing.T, handler http.Handler) (address string, startAccepting func()) {
	t.Helper()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &delayedListener{inner, make(chan struct{})}
	c := newCallerListener(l, handler, nil, io.Discard)
	go func() { _ = c.accept(func() (routing.Limits, bool) { return routing.Limits{}, false }) }()
	t.Cleanup(func() { c.shutdown(context.Background()) })
	return inner.Addr().String(), func() { close(l.startAccepting) }
}

// send opens a connection and writes a request.
func send(t *testing.T, address string) net.Conn {
	t.Helper()
	socket, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	if _, err := io.WriteString(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return socket
}

// TestUnreadTimeOfRequest: the node knows how long a request stayed in the kernel's receive buffer before it was
// read. This holds on a new connection and on a kept one.
func TestUnreadTimeOfRequest(t *testing.T) {
	// The kernel counts in ticks of up to ten milliseconds.
	const unread, tick = 200 * time.Millisecond, 10 * time.Millisecond
	waited := make(chan time.Duration, 2)
	hold := make(chan struct{}, 2)
	address, startAccepting := serveAfterDelay(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		waited <- CallerOf(r.Context()).UnreadFor()
		<-hold
	}))
	socket := send(t, address)
	time.Sleep(unread)
	startAccepting()
	if got := <-waited; got < unread-tick {
		t.Errorf("a request on a connection that was accepted %v late was unread for %v, want at least the delay", unread, got)
	}
	// The next request on the connection is read once the first has been answered.
	_, _ = io.WriteString(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(unread)
	hold <- struct{}{}
	if got := <-waited; got < unread-tick {
		t.Errorf("a request that was read %v late was unread for %v, want at least the delay", unread, got)
	}
	hold <- struct{}{}
}

// TestDisconnectedCallerIsDetected: a disconnected caller is detected before its request is served, even if nothing
// has read its connection since. A caller that waits counts as connected.
func TestDisconnectedCallerIsDetected(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(net.Conn)
		want  bool
	}{
		{"closed", func(socket net.Conn) { _ = socket.Close() }, true},
		{"reset", func(socket net.Conn) {
			_ = socket.(*net.TCPConn).SetLinger(0)
			_ = socket.Close()
		}, true},
		{"waits", func(net.Conn) {}, false},
		{"sends more", func(socket net.Conn) { _, _ = io.WriteString(socket, "GET /more HTTP/1.1\r\nHost: h\r\n\r\n") }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			disconnected := make(chan bool, 2)
			address, startAccepting := serveAfterDelay(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { disconnected <- CallerOf(r.Context()).Disconnected() }))
			c.leave(send(t, address))
			// Once a later connection has been established, the caller's last action has reached the kernel.
			later, err := net.Dial("tcp4", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = later.Close() }()
			startAccepting()
			if got := <-disconnected; got != c.want {
				t.Errorf("the caller is reported as disconnected: %v, want the opposite", got)
			}
		})
	}
}

// TestCallerWithoutSocket: the state of a connection without a socket is unknown.
func TestCallerWithoutSocket(t *testing.T) {
	near, far := net.Pipe()
	_ = far.Close()
	for _, unknown := range []Caller{NewCaller(near), CallerOf(context.Background())} {
		if unknown.Disconnected() || unknown.UnreadFor() != 0 {
			t.Error("a connection without a socket has a state, want none")
		}
	}
}

// TestClosedConnectionCountsAsDisconnected: nobody receives an answer on a connection that the node itself has closed.
// Nothing is known of a connection without a socket.
func TestClosedConnectionCountsAsDisconnected(t *testing.T) {
	near, far := testConnection(t)
	caller := NewCaller(near)
	if caller.Disconnected() {
		t.Error("an open connection counts as disconnected")
	}
	_ = near.Close()
	if !caller.Disconnected() {
		t.Error("a connection that the node has closed does not count as disconnected")
	}
	_ = far.Close()
	if (Caller{}).Disconnected() {
		t.Error("a connection of unknown state counts as disconnected")
	}
}

// testConnection returns both ends of a connection over the loopback address.
func testConnection(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if far, err = net.Dial("tcp4", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if near, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	return near, far
}
