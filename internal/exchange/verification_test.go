package exchange_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"stiletrail/internal/exchange"
)

// TestRejectedConnection: a back end at its limit closes a new connection at once. If the connection is verified,
// this is noticed before the request is written. If it is not verified, the request is lost.
func TestRejectedConnection(t *testing.T) {
	for verify, want := range map[bool]exchange.Stage{true: exchange.NotSent, false: exchange.Sent} {
		s := serve(t, func(net.Conn, int64) bool { return false })
		if verify {
			s = rejectConnections(t)
		}
		pool := exchange.NewPool()
		pool.SetVerificationMargin(time.Minute)
		r := request(s.address())
		r.VerifyConnection = verify
		result := pool.Do(context.Background(), r)
		if result.Stage != want || !result.ConnectionUnused || result.Err == nil {
			t.Errorf("with VerifyConnection %v: the exchange ended with %+v", verify, result)
		}
	}
}

// rejectConnections returns a server that closes each connection at once.
func rejectConnections(t *testing.T) *server {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			_ = socket.Close()
		}
	}()
	return &server{listener: listener}
}

// TestVerifiedConnection: a connection that passes verification is used. If it ends after it has carried an answer,
// it is not reported as unused.
func TestVerifiedConnection(t *testing.T) {
	s := serve(t, func(socket net.Conn, number int64) bool {
		if number > 1 {
			return false
		}
		respond(socket, "")
		return true
	})
	pool := exchange.NewPool()
	pool.SetVerificationMargin(time.Millisecond)
	r := request(s.address())
	r.VerifyConnection = true
	if first := pool.Do(context.Background(), r); first.Stage != exchange.Answered || first.Status != http.StatusOK {
		t.Fatalf("the first exchange ended with %+v, want Answered with status 200", first)
	}
	if second := pool.Do(context.Background(), r); second.Stage != exchange.Sent || second.ConnectionUnused {
		t.Errorf("the second exchange ended with %+v, want Sent on a used connection", second)
	}
	if opened := pool.OpenedTotal.Load(); opened != 1 {
		t.Errorf("%d connections were opened, want 1", opened)
	}
}
