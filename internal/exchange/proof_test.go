package exchange_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"stiletrail/internal/exchange"
)

// TestTurnedAway: a back end at its limit closes a new connection at once. One that must prove itself tells so before the request is
// written; one that need not has the request lost.
func TestTurnedAway(t *testing.T) {
	for prove, want := range map[bool]exchange.Stage{true: exchange.NotSent, false: exchange.Sent} {
		s := serve(t, func(net.Conn, int64) bool { return false })
		if prove {
			s = turnAway(t)
		}
		pool := exchange.NewPool()
		pool.SetVerificationMargin(time.Minute)
		r := request(s.address())
		r.VerifyConnection = prove
		result := pool.Do(context.Background(), r)
		if result.Stage != want || !result.ConnectionUnused || result.Err == nil {
			t.Errorf("prove %v: %+v", prove, result)
		}
	}
}

// turnAway returns a server that closes each connection at once.
func turnAway(t *testing.T) *server {
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

// TestProved: a connection that stays quiet is used, and a kept one that has carried an answer is not an unused one when it ends.
func TestProved(t *testing.T) {
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
		t.Fatalf("first %+v", first)
	}
	if second := pool.Do(context.Background(), r); second.Stage != exchange.Sent || second.ConnectionUnused {
		t.Errorf("second %+v", second)
	}
	if opened := pool.OpenedTotal.Load(); opened != 1 {
		t.Errorf("%d connections opened", opened)
	}
}
