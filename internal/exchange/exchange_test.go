package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"stiletrail/internal/exchange"
	"stiletrail/internal/testio"
)

// server answers each request on a connection by calling a function. It counts requests and connections.
type server struct {
	listener    net.Listener
	requests    atomic.Int64
	connections atomic.Int64
}

func serve(t *testing.T, handle func(socket net.Conn, number int64) (goOn bool)) *server {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &server{listener: listener}
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.connection(socket, handle)
		}
	}()
	return s
}

func (s *server) connection(socket net.Conn, handle func(net.Conn, int64) bool) {
	defer func() { _ = socket.Close() }()
	reader := bufio.NewReader(socket)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if !handle(socket, s.requests.Add(1)) {
			return
		}
	}
}

func (s *server) address() string { return s.listener.Addr().String() }

func request(address string) exchange.Request {
	return exchange.Request{
		Endpoint: exchange.Endpoint{Address: address}, Deadline: time.Now().Add(time.Minute), ConnectTimeout: time.Minute, MaximumBody: 1000, MaximumIdle: 8,
		Prepare: func() (*http.Request, error) {
			return &http.Request{Method: http.MethodGet, URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{}}, nil
		},
		AnswerMatches: func(exchange.Result) bool { return true },
	}
}

func respond(socket net.Conn, header string) {
	_, _ = fmt.Fprintf(socket, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", header)
}

// TestRequestIsNeverSentTwice: the server closes a kept connection after reading a GET request. The request may
// have been executed, so it is not sent again.
func TestRequestIsNeverSentTwice(t *testing.T) {
	s := serve(t, func(socket net.Conn, number int64) bool {
		if number == 1 {
			respond(socket, "")
			return true
		}
		return false
	})
	pool := exchange.NewPool()
	if result := pool.Do(context.Background(), request(s.address())); result.Stage != exchange.Answered {
		t.Fatalf("the first exchange ended with %+v, want Answered", result)
	}
	if result := pool.Do(context.Background(), request(s.address())); result.Stage != exchange.Sent {
		t.Errorf("the second exchange ended in stage %v, want Sent: the request was written and may have been executed", result.Stage)
	}
	if s.requests.Load() != 2 {
		t.Errorf("%d requests arrived for two exchanges, want 2", s.requests.Load())
	}
}

// TestConnectionClosedWhileIdle: a connection that the server closed while it was idle is not used, and no request
// is lost.
func TestConnectionClosedWhileIdle(t *testing.T) {
	closed := make(chan struct{}, 9)
	s := serve(t, func(socket net.Conn, _ int64) bool {
		respond(socket, "")
		closed <- struct{}{}
		return false
	})
	pool := exchange.NewPool()
	for i := range 3 {
		result := pool.Do(context.Background(), request(s.address()))
		if result.Stage == exchange.Sent {
			// The server closed the connection while the request was being sent. The result reports that the
			// request may have been executed.
			continue
		}
		if result.Stage != exchange.Answered {
			t.Fatalf("exchange %d ended with %+v, want Answered or Sent", i, result)
		}
		<-closed
	}
}

// TestUnreachable: if no connection can be opened, the result reports that nothing was sent.
func TestUnreachable(t *testing.T) {
	address := testio.FreeAddress(t)
	if result := exchange.NewPool().Do(context.Background(), request(address)); result.Stage != exchange.NotSent || result.Err == nil {
		t.Errorf("without a connection the exchange ended with %+v, want NotSent and an error", result)
	}
}

// TestPrepareFails: if the request cannot be prepared any more, nothing is sent and the connection is kept.
func TestPrepareFails(t *testing.T) {
	s := serve(t, func(socket net.Conn, _ int64) bool {
		respond(socket, "")
		return true
	})
	pool := exchange.NewPool()
	late := request(s.address())
	late.Prepare = func() (*http.Request, error) { return nil, context.DeadlineExceeded }
	if result := pool.Do(context.Background(), late); result.Stage != exchange.NotSent {
		t.Errorf("without a request the exchange ended with %+v, want NotSent", result)
	}
	pool.Do(context.Background(), request(s.address()))
	if s.requests.Load() != 1 || s.connections.Load() != 1 {
		t.Errorf("%d requests over %d connections, want 1 of each", s.requests.Load(), s.connections.Load())
	}
}

// TestCancelledExchange: the connection is closed when the context ends, so that the server stops working.
func TestCancelledExchange(t *testing.T) {
	arrived, ended := make(chan struct{}), make(chan struct{})
	s := serve(t, func(socket net.Conn, _ int64) bool {
		close(arrived)
		_, _ = socket.Read(make([]byte, 1))
		close(ended)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	if result := exchange.NewPool().Do(ctx, request(s.address())); result.Stage != exchange.Sent {
		t.Errorf("after the context ended the exchange ended with %+v, want Sent", result)
	}
	<-ended
}

// TestIdleTimeOfBackEnd: a connection is not reused after the idle time that the server stated, nor if the server
// announced that it closes the connection.
func TestIdleTimeOfBackEnd(t *testing.T) {
	for header, connections := range map[string]int64{
		"": 1, "Keep-Alive: timeout=60\r\n": 1, "Keep-Alive: timeout=0\r\n": 2, "Connection: close\r\n": 2,
	} {
		s := serve(t, func(socket net.Conn, _ int64) bool {
			respond(socket, header)
			return true
		})
		pool := exchange.NewPool()
		pool.Do(context.Background(), request(s.address()))
		pool.Do(context.Background(), request(s.address()))
		if s.connections.Load() != connections {
			t.Errorf("after an answer with header %q: %d connections, want %d", header, s.connections.Load(), connections)
		}
	}
}

// TestMaximumIdleConnections: no more connections than MaximumIdle are kept idle. A further connection is closed
// after its answer.
func TestMaximumIdleConnections(t *testing.T) {
	s := serve(t, func(socket net.Conn, _ int64) bool {
		respond(socket, "")
		return true
	})
	for maximumIdle := range int64(2) {
		pool := exchange.NewPool()
		limited := request(s.address())
		limited.MaximumIdle = int(maximumIdle)
		if result := pool.Do(context.Background(), limited); result.Stage != exchange.Answered {
			t.Errorf("the exchange ended with %+v, want Answered", result)
		}
		if got := pool.OpenCount.Load(); got != maximumIdle {
			t.Errorf("%d connections are kept idle, want %d", got, maximumIdle)
		}
	}
}

// TestIdleConnectionForNotRepeatableRequest: a request that must not be repeated is not sent over a connection that
// has been idle long enough to have stopped working unnoticed. Other requests may use that connection, and so may
// this one shortly after an answer.
func TestIdleConnectionForNotRepeatableRequest(t *testing.T) {
	s := serve(t, func(socket net.Conn, _ int64) bool {
		respond(socket, "")
		return true
	})
	pool := exchange.NewPool()
	for _, c := range []struct {
		once        bool
		proven      time.Duration
		connections int64
	}{{false, 0, 1}, {true, time.Hour, 1}, {false, 0, 1}, {true, 0, 2}} {
		pool.SetRecentAnswerWithin(c.proven)
		r := request(s.address())
		r.NotRepeatable = c.once
		if result := pool.Do(context.Background(), r); result.Stage != exchange.Answered {
			t.Fatalf("the exchange ended with %+v, want Answered", result)
		}
		if got := s.connections.Load(); got != c.connections {
			t.Errorf("with %+v: %d connections were opened", c, got)
		}
	}
}

// TestIdleTimeoutOfRequest: a connection that has been idle for the request's IdleTimeout is not reused.
func TestIdleTimeoutOfRequest(t *testing.T) {
	for idleTimeout, connections := range map[time.Duration]int64{time.Nanosecond: 2, time.Hour: 1, 0: 1} {
		s := serve(t, func(socket net.Conn, _ int64) bool {
			respond(socket, "")
			return true
		})
		pool := exchange.NewPool()
		bounded := request(s.address())
		bounded.IdleTimeout = idleTimeout
		pool.Do(context.Background(), bounded)
		pool.Do(context.Background(), bounded)
		if got := s.connections.Load(); got != connections {
			t.Errorf("with an idle timeout of %s: %d connections, want %d", idleTimeout, got, connections)
		}
	}
}

// TestPrune: connections to endpoints that are no longer in use are closed.
func TestPrune(t *testing.T) {
	s := serve(t, func(socket net.Conn, _ int64) bool {
		respond(socket, "")
		return true
	})
	pool := exchange.NewPool()
	pool.Do(context.Background(), request(s.address()))
	pool.Prune(func(exchange.Endpoint) bool { return true })
	if pool.OpenCount.Load() != 1 {
		t.Error("a connection to an endpoint in use was closed")
	}
	pool.Prune(func(exchange.Endpoint) bool { return false })
	if pool.OpenCount.Load() != 0 {
		t.Error("a connection to an endpoint out of use was kept")
	}
}

// TestConnectionToEarlierProcess: an idle connection to an earlier process at an address is not used for the
// process that is there now.
func TestConnectionToEarlierProcess(t *testing.T) {
	s := serve(t, func(socket net.Conn, _ int64) bool {
		respond(socket, "")
		return true
	})
	pool := exchange.NewPool()
	for opened, process := range []string{"x@1", "x@1", "x@2"} {
		r := request(s.address())
		r.Process = process
		if result := pool.Do(context.Background(), r); result.Stage != exchange.Answered {
			t.Fatalf("the exchange failed: %v", result.Err)
		}
		if want := int64(max(opened, 1)); pool.OpenedTotal.Load() != want {
			t.Errorf("%d connections were opened after a request to process %s, want %d", pool.OpenedTotal.Load(), process, want)
		}
	}
	pool.Prune(func(e exchange.Endpoint) bool { return e.Process == "x@2" })
	if pool.OpenCount.Load() != 1 {
		t.Errorf("%d connections are open, want only the one to the process in use", pool.OpenCount.Load())
	}
}

// TestAnswerTooLarge: an answer above the size limit does not count as a complete answer.
func TestAnswerTooLarge(t *testing.T) {
	s := serve(t, func(socket net.Conn, _ int64) bool {
		_, _ = fmt.Fprintf(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n%2000d", 1)
		return true
	})
	if result := exchange.NewPool().Do(context.Background(), request(s.address())); result.Stage != exchange.Sent {
		t.Errorf("with an answer above the limit the exchange ended in stage %+v, want Sent", result.Stage)
	}
}
