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

// lateListener has connections lie in the machine until it is told to take them.
type lateListener struct {
	net.Listener
	take chan struct{}
}

// Accept implements net.Listener.
func (l *lateListener) Accept() (net.Conn, error) {
	<-l.take
	return l.Listener.Accept()
}

// serveLate serves callers on the loopback address, from the moment at which take is called.
func serveAfterDelay(t *testing.T, handler http.Handler) (address string, take func()) {
	t.Helper()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &lateListener{inner, make(chan struct{})}
	c := newCallerListener(l, handler, nil, io.Discard)
	go func() { _ = c.accept(func() (routing.Limits, bool) { return routing.Limits{}, false }) }()
	t.Cleanup(func() { c.shutdown(context.Background()) })
	return inner.Addr().String(), func() { close(l.take) }
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

// TestRequestThatLayUnread: the node knows how long a request lay in the machine before it was read, on a new connection and on a kept one.
func TestRequestThatLayUnread(t *testing.T) {
	// The machine counts in ticks of up to ten milliseconds.
	const unread, tick = 200 * time.Millisecond, 10 * time.Millisecond
	waited := make(chan time.Duration, 2)
	hold := make(chan struct{}, 2)
	address, take := serveAfterDelay(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		waited <- CallerOf(r.Context()).UnreadFor()
		<-hold
	}))
	socket := send(t, address)
	time.Sleep(unread)
	take()
	if got := <-waited; got < unread-tick {
		t.Errorf("a request that was taken %v late is known to have waited %v", unread, got)
	}
	// The next one on the connection is read when the first is answered.
	_, _ = io.WriteString(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(unread)
	hold <- struct{}{}
	if got := <-waited; got < unread-tick {
		t.Errorf("a request that was read %v late is known to have waited %v", unread, got)
	}
	hold <- struct{}{}
}

// TestCallerThatLeftUnread: that a caller has left is known before its request is served, also where nobody has read its connection since; one that waits is there.
func TestCallerThatLeftUnread(t *testing.T) {
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
			gone := make(chan bool, 2)
			address, take := serveAfterDelay(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { gone <- CallerOf(r.Context()).Disconnected() }))
			c.leave(send(t, address))
			// What the caller did last lies in the machine once a connection that came later can be had.
			later, err := net.Dial("tcp4", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = later.Close() }()
			take()
			if got := <-gone; got != c.want {
				t.Errorf("gone %v", got)
			}
		})
	}
}

// TestUnknownCaller: of a connection that is no socket nothing is known.
func TestUnknownCaller(t *testing.T) {
	near, far := net.Pipe()
	_ = far.Close()
	for _, unknown := range []Caller{NewCaller(near), CallerOf(context.Background())} {
		if unknown.Disconnected() || unknown.UnreadFor() != 0 {
			t.Error("something is known")
		}
	}
}
