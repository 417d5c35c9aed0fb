package exchange_test

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"testing"
	"time"

	"stiletrail/internal/exchange"
)

// requestWithID returns a request to the server with an id that its answers name.
func requestWithID(s *server, id string) exchange.Request {
	r := request(s.address())
	r.ID = id
	return r
}

// respondToAll answers each request.
func respondToAll(socket net.Conn, _ int64) bool {
	respond(socket, "")
	return true
}

// TestLateCopyOfAnswer guards against the late copy of a back end's refusal being taken for the answer to the next attempt
// at the same request. The server sends the copy when the next request arrives on the connection that carried the refusal.
func TestLateCopyOfAnswer(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n"
	var refusedOn net.Conn
	s := serve(t, func(socket net.Conn, number int64) bool {
		if number == 1 {
			refusedOn = socket
			_, _ = fmt.Fprint(socket, refusal)
			return true
		}
		if socket == refusedOn {
			_, _ = fmt.Fprint(socket, refusal)
		}
		respond(socket, "")
		return true
	})
	pool := exchange.NewPool()
	if first := pool.Do(context.Background(), requestWithID(s, "a")); first.Status != 503 {
		t.Fatalf("the first attempt was answered %d, want the refusal", first.Status)
	}
	if second := pool.Do(context.Background(), requestWithID(s, "a")); second.Status != 200 {
		t.Errorf("the second attempt ended with status %d (%v), want its own answer, 200", second.Status, second.Err)
	}
}

// TestConnectionCarriesEachIDOnce checks over how many connections the requests of some ids are sent, one after the other,
// and that no more than one connection stays open.
func TestConnectionCarriesEachIDOnce(t *testing.T) {
	for _, c := range []struct {
		ids         []string
		connections int64
	}{
		{[]string{"a", "b", "c"}, 1},
		{[]string{"a", "a"}, 2},
		{[]string{"a", "b", "a"}, 2},
		{[]string{"a", "a", "b", "a"}, 3},
		{[]string{"", ""}, 1},
	} {
		s := serve(t, respondToAll)
		pool := exchange.NewPool()
		for _, id := range c.ids {
			if result := pool.Do(context.Background(), requestWithID(s, id)); result.Stage != exchange.Answered {
				t.Fatalf("%q: the exchange ended with %+v, want Answered", c.ids, result)
			}
		}
		if got := s.connections.Load(); got != c.connections || pool.OpenCount.Load() != 1 {
			t.Errorf("%q: %d connections were opened and %d are open, want %d and 1", c.ids, got, pool.OpenCount.Load(), c.connections)
		}
	}
}

// TestOtherIdleConnectionIsUsed: of several idle connections a request uses one that has not carried it.
func TestOtherIdleConnectionIsUsed(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	s := serve(t, func(socket net.Conn, _ int64) bool {
		arrived <- struct{}{}
		<-release
		respond(socket, "")
		return true
	})
	pool := exchange.NewPool()
	done := make(chan struct{})
	for _, id := range []string{"a", "b"} {
		go func() {
			pool.Do(context.Background(), requestWithID(s, id))
			done <- struct{}{}
		}()
		<-arrived
	}
	close(release)
	<-done
	<-done
	go func() {
		for range arrived {
		}
	}()
	for _, id := range []string{"a", "b"} {
		pool.Do(context.Background(), requestWithID(s, id))
	}
	if got := s.connections.Load(); got != 2 {
		t.Errorf("%d connections were opened, want 2: each request has one that the other has used", got)
	}
}

// TestReplacingConnectionIsVerified: the connection that replaces one which carried the request is verified, since a back
// end that has just refused the request may reject new connections. The rejection proves that nothing was sent.
func TestReplacingConnectionIsVerified(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	s := &server{listener: listener}
	go func() {
		first, err := listener.Accept()
		if err != nil {
			return
		}
		go s.connection(first, respondToAll)
		for {
			rejected, err := listener.Accept()
			if err != nil {
				return
			}
			_ = rejected.Close()
		}
	}()
	pool := exchange.NewPool()
	pool.SetVerificationMargin(time.Minute)
	pool.Do(context.Background(), requestWithID(s, "a"))
	second := pool.Do(context.Background(), requestWithID(s, "a"))
	if second.Stage != exchange.NotSent || !second.ConnectionUnused {
		t.Errorf("the second attempt ended with %+v, want NotSent over a rejected connection", second)
	}
}

// TestMaximumRequests: a connection is closed after a number of requests, so that what it remembers of them is bounded.
func TestMaximumRequests(t *testing.T) {
	s := serve(t, respondToAll)
	pool := exchange.NewPool()
	for i := range exchange.MaximumRequests {
		pool.Do(context.Background(), requestWithID(s, strconv.Itoa(i)))
	}
	if pool.OpenCount.Load() != 0 || s.connections.Load() != 1 {
		t.Errorf("after %d requests %d connections are open of %d, want none of 1", exchange.MaximumRequests, pool.OpenCount.Load(), s.connections.Load())
	}
}
