package backend

import (
	"context"
	"net"
	"testing"
	"time"

	"stiletrail/internal/query"
)

// TestEndOfABackEnd: an attempt whose back end has ended says so; one whose connection was reset by a back end that goes on does not.
func TestEndOfABackEnd(t *testing.T) {
	for name, ends := range map[string]bool{"ends": true, "resets": false} {
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
				if ends {
					_ = listener.Close()
				}
				_ = connection.(*net.TCPConn).SetLinger(0)
				_ = connection.Close()
			}()
			client := NewClient(1)
			ctx := client.Register(context.Background(), 1, time.Minute)
			result := client.Run(ctx, query.Attempt{Number: 1, BackEnd: listener.Addr().String(), Shards: []uint32{0}})
			if result.Status != query.StatusLost || result.BackEndCrashed != ends {
				t.Errorf("%+v", result)
			}
		})
	}
}
