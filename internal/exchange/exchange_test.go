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

// server answers each request on a connection by a function, and counts requests and connections.
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
		AnswerMatches: func(int, http.Header) bool { return true },
	}
}

func respond(socket net.Conn, header string) {
	_, _ = fmt.Fprintf(socket, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", header)
}

// TestNeverSentTwice: a GET on a kept connection that the server closes after reading it is not sent again.
func TestNeverSentTwice(t *testing.T) {
	s := serve(t, func(socket net.Conn, number int64) bool {
		if number == 1 {
			respond(socket, "")
			return true
		}
		return false
	})
	pool := exchange.NewPool()
	if result := pool.Do(context.Background(), request(s.address())); result.Stage != exchange.Answered {
		t.Fatalf("the first: %+v", result)
	}
	if result := pool.Do(context.Background(), request(s.address())); result.Stage != exchange.Sent {
		t.Errorf("the second is %v: it was written and may have run", result.Stage)
	}
	if s.requests.Load() != 2 {
		t.Errorf("%d requests arrived for two exchanges", s.requests.Load())
	}
}

// TestClosedWhileIdle: a connection that was closed while idle is not used, and nothing is lost by it.
func TestClosedWhileIdle(t *testing.T) {
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
			// The close crossed the request; that may have run, and says so.
			continue
		}
		if result.Stage != exchange.Answered {
			t.Fatalf("exchange %d: %+v", i, result)
		}
		<-closed
	}
}

// TestUnreachable: without a connection nothing was sent.
func TestUnreachable(t *testing.T) {
	address := testio.FreeAddress(t)
	if result := exchange.NewPool().Do(context.Background(), request(address)); result.Stage != exchange.NotSent || result.Err == nil {
		t.Errorf("%+v", result)
	}
}

// TestNothingToSend: where the request cannot be prepared any more, nothing is sent and the connection is kept.
func TestNothingToSend(t *testing.T) {
	s := serve(t, func(socket net.Conn, _ int64) bool {
		respond(socket, "")
		return true
	})
	pool := exchange.NewPool()
	late := request(s.address())
	late.Prepare = func() (*http.Request, error) { return nil, context.DeadlineExceeded }
	if result := pool.Do(context.Background(), late); result.Stage != exchange.NotSent {
		t.Errorf("%+v", result)
	}
	pool.Do(context.Background(), request(s.address()))
	if s.requests.Load() != 1 || s.connections.Load() != 1 {
		t.Errorf("%d requests, %d connections", s.requests.Load(), s.connections.Load())
	}
}

// TestWithdrawn: when the context ends, the connection is closed.
func TestWithdrawn(t *testing.T) {
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
		t.Errorf("%+v", result)
	}
	<-ended
}

// TestKeptFor: a connection is not used beyond the time the server gives it, nor where the server says that it closes.
func TestKeptFor(t *testing.T) {
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
			t.Errorf("with %q: %d connections, want %d", header, s.connections.Load(), connections)
		}
	}
}

// TestMaximumIdle: no more connections rest than may; one more is closed after its answer.
func TestMaximumIdle(t *testing.T) {
	s := serve(t, func(socket net.Conn, _ int64) bool {
		respond(socket, "")
		return true
	})
	for resting := range int64(2) {
		pool := exchange.NewPool()
		limited := request(s.address())
		limited.MaximumIdle = int(resting)
		if result := pool.Do(context.Background(), limited); result.Stage != exchange.Answered {
			t.Errorf("%+v", result)
		}
		if got := pool.OpenCount.Load(); got != resting {
			t.Errorf("%d connections rest, %d may", got, resting)
		}
	}
}

// TestIdleConnectionIsNotTrustedOnce: a request that cannot be sent again takes no connection that has been idle for long enough to have fallen
// silent unseen; others do, and so does it where the connection has just carried an answer.
func TestIdleConnectionIsNotTrustedOnce(t *testing.T) {
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
			t.Fatalf("%+v", result)
		}
		if got := s.connections.Load(); got != c.connections {
			t.Errorf("%+v: %d connections", c, got)
		}
	}
}

// TestIdleFor: a connection that has been idle as long as the request allowed is not used again.
func TestIdleFor(t *testing.T) {
	for restFor, connections := range map[time.Duration]int64{time.Nanosecond: 2, time.Hour: 1, 0: 1} {
		s := serve(t, func(socket net.Conn, _ int64) bool {
			respond(socket, "")
			return true
		})
		pool := exchange.NewPool()
		bounded := request(s.address())
		bounded.IdleTimeout = restFor
		pool.Do(context.Background(), bounded)
		pool.Do(context.Background(), bounded)
		if got := s.connections.Load(); got != connections {
			t.Errorf("resting for %s: %d connections, want %d", restFor, got, connections)
		}
	}
}

// TestPrune: connections to addresses out of use are closed.
func TestPrune(t *testing.T) {
	s := serve(t, func(socket net.Conn, _ int64) bool {
		respond(socket, "")
		return true
	})
	pool := exchange.NewPool()
	pool.Do(context.Background(), request(s.address()))
	pool.Prune(func(exchange.Endpoint) bool { return true })
	if pool.OpenCount.Load() != 1 {
		t.Error("a connection in use was closed")
	}
	pool.Prune(func(exchange.Endpoint) bool { return false })
	if pool.OpenCount.Load() != 0 {
		t.Error("a connection out of use was kept")
	}
}

// TestOtherProcess: a connection at rest to the process that an address had before is not used for the one that has it now.
func TestOtherProcess(t *testing.T) {
	s := serve(t, func(socket net.Conn, _ int64) bool {
		respond(socket, "")
		return true
	})
	pool := exchange.NewPool()
	for opened, process := range []string{"x@1", "x@1", "x@2"} {
		r := request(s.address())
		r.Process = process
		if result := pool.Do(context.Background(), r); result.Stage != exchange.Answered {
			t.Fatalf("%v", result.Err)
		}
		if want := int64(max(opened, 1)); pool.OpenedTotal.Load() != want {
			t.Errorf("%d connections opened after a request to %s, want %d", pool.OpenedTotal.Load(), process, want)
		}
	}
	pool.Prune(func(e exchange.Endpoint) bool { return e.Process == "x@2" })
	if pool.OpenCount.Load() != 1 {
		t.Errorf("%d connections are open, want that to the process in use", pool.OpenCount.Load())
	}
}

// TestAnswerTooLarge: an answer beyond the limit is no whole answer.
func TestAnswerTooLarge(t *testing.T) {
	s := serve(t, func(socket net.Conn, _ int64) bool {
		_, _ = fmt.Fprintf(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n%2000d", 1)
		return true
	})
	if result := exchange.NewPool().Do(context.Background(), request(s.address())); result.Stage != exchange.Sent {
		t.Errorf("%+v", result.Stage)
	}
}
