package backend

import (
	"context"
	"net"
	"testing"
	"time"

	"stiletrail/internal/query"
)

// TestCrashIsDetected checks that a lost attempt reports a crash if the back end no longer accepts connections, and
// none if the back end only reset the connection and still accepts others.
func TestCrashIsDetected(t *testing.T) {
	for name, crashes := range map[string]bool{"crashes": true, "resets the connection": false} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			go func() {
				connection, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = connection.Read(make([]byte, 1))
				if crashes {
					_ = listener.Close()
				}
				_ = connection.(*net.TCPConn).SetLinger(0)
				_ = connection.Close()
			}()
			client := NewClient(1)
			ctx := client.Register(context.Background(), 1, time.Minute)
			result := client.Run(ctx, query.Attempt{Number: 1, BackEnd: listener.Addr().String(), Shards: []uint32{0}})
			if result.Status != query.StatusLost || result.BackEndCrashed != crashes {
				t.Errorf("result %+v, want status lost, with a crash reported only in the case \"crashes\"", result)
			}
		})
	}
}
