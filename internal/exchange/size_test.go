package exchange_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"

	"stiletrail/internal/exchange"
)

// TestAnswerHeadTooLarge guards against a back end that fills the memory of the process with the head of one answer. An
// answer whose head is longer than the limit counts as none, and its connection is closed.
func TestAnswerHeadTooLarge(t *testing.T) {
	const end = "Content-Length: 2\r\n\r\nok"
	beyond := strings.Repeat("x", 2*exchange.MaximumHead)
	for name, answer := range map[string]string{
		"a status line": "HTTP/1.1 200 " + beyond + "\r\n" + end,
		"one header":    "HTTP/1.1 200 OK\r\nX: " + beyond + "\r\n" + end,
		"many headers":  "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", exchange.MaximumHead/2) + end,
		"many interim answers": strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", exchange.MaximumHead/16) +
			"HTTP/1.1 200 OK\r\n" + end,
	} {
		s := serve(t, func(socket net.Conn, _ int64) bool {
			_, _ = socket.Write([]byte(answer))
			return true
		})
		pool := exchange.NewPool()
		result := pool.Do(context.Background(), request(s.address()))
		if result.Stage != exchange.Sent || !exchange.IsTooLarge(result.Err) {
			t.Errorf("%s beyond the limit: the exchange ended in stage %v with error %v, want Sent and the size limit", name, result.Stage, result.Err)
		}
		if pool.OpenCount.Load() != 0 || pool.OversizedTotal.Load() != 1 {
			t.Errorf("%s beyond the limit: %d connections are open and %d answers were counted, want none and 1", name, pool.OpenCount.Load(), pool.OversizedTotal.Load())
		}
	}
}

// TestAnswerHeadWithinLimit: heads up to the limit are accepted on each answer of a connection, whatever its body takes.
func TestAnswerHeadWithinLimit(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", exchange.MaximumHead-100) + "\r\nContent-Length: 900\r\n\r\n"
	s := serve(t, func(socket net.Conn, _ int64) bool {
		_, _ = fmt.Fprintf(socket, "%s%900d", head, 1)
		return true
	})
	pool := exchange.NewPool()
	for range 3 {
		if result := pool.Do(context.Background(), request(s.address())); result.Stage != exchange.Answered || len(result.Body) != 900 {
			t.Fatalf("the exchange ended in stage %v with error %v, want Answered", result.Stage, result.Err)
		}
	}
	if s.connections.Load() != 1 {
		t.Errorf("%d connections were opened, want 1", s.connections.Load())
	}
}

// TestMemoryOfAnnouncedBody guards against memory being taken for a body that is announced but never sent.
func TestMemoryOfAnnouncedBody(t *testing.T) {
	const announced = 64 << 20
	s := serve(t, func(socket net.Conn, _ int64) bool {
		_, _ = fmt.Fprintf(socket, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nonly a few bytes", announced)
		return false
	})
	r := request(s.address())
	r.MaximumBody = announced
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	result := exchange.NewPool().Do(context.Background(), r)
	runtime.ReadMemStats(&after)
	if result.Stage != exchange.Sent {
		t.Errorf("the exchange ended in stage %v, want Sent: the body ended early", result.Stage)
	}
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > announced/8 {
		t.Errorf("%d bytes were allocated for a body of which a few bytes came", allocated)
	}
}

// TestBodyOfEachLength checks that bodies of all lengths arrive complete, with and without an announced length.
func TestBodyOfEachLength(t *testing.T) {
	for _, length := range []int{0, 1, 511, 512, 513, 4096, 100_000, 1 << 20} {
		body := strings.Repeat("b", length)
		for _, head := range []string{fmt.Sprintf("Content-Length: %d\r\n", length), "Connection: close\r\n"} {
			s := serve(t, func(socket net.Conn, _ int64) bool {
				_, _ = socket.Write([]byte("HTTP/1.1 200 OK\r\n" + head + "\r\n" + body))
				return false
			})
			r := request(s.address())
			r.MaximumBody = 1 << 20
			if result := exchange.NewPool().Do(context.Background(), r); result.Stage != exchange.Answered || string(result.Body) != body {
				t.Errorf("a body of %d bytes with %q: the exchange ended in stage %v with %d bytes", length, head, result.Stage, len(result.Body))
			}
		}
	}
}
