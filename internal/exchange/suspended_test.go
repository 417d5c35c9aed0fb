package exchange_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/exchange"
)

// TestConnectionIdleDuringSuspension: by the monotonic clock a connection has just carried an answer, but it was
// idle while the machine was suspended. A request that must not be repeated does not use it.
func TestConnectionIdleDuringSuspension(t *testing.T) {
	var behind atomic.Int64
	defer clock.ReplaceSuspendedTime(func() time.Duration { return time.Duration(behind.Load()) })()
	s := serve(t, func(socket net.Conn, _ int64) bool {
		respond(socket, "")
		return true
	})
	pool := exchange.NewPool()
	pool.SetRecentAnswerWithin(time.Hour)
	r := request(s.address())
	r.NotRepeatable, r.MaximumIdle = true, 1
	for _, suspended := range []time.Duration{0, 0, 2 * time.Hour} {
		behind.Add(int64(suspended))
		if result := pool.Do(context.Background(), r); result.Stage != exchange.Answered {
			t.Fatalf("the exchange ended with %+v, want Answered", result)
		}
	}
	if opened := pool.OpenedTotal.Load(); opened != 2 {
		t.Errorf("%d connections were opened for three requests, want 2: a new one only after the suspension", opened)
	}
}
