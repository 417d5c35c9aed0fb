package serving

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"stiletrail/internal/networktest"
	"stiletrail/internal/routing"
)

// descriptorLimitedListener is a listener of a process that has no file descriptors left for the first accepts.
type descriptorLimitedListener struct {
	net.Listener
	failures int
}

// Accept implements net.Listener.
func (e *descriptorLimitedListener) Accept() (net.Conn, error) {
	if e.failures > 0 {
		e.failures--
		return nil, &net.OpError{Op: "accept", Net: "memory", Err: syscall.EMFILE}
	}
	return e.Listener.Accept()
}

// TestAcceptResumesAfterResourceExhaustion: callers' connections are accepted again once file descriptors are
// available. No connection is lost when the limits change.
func TestAcceptResumesAfterResourceExhaustion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := networktest.New(1)
		l, err := network.Listen("node:1")
		if err != nil {
			t.Fatal(err)
		}
		hello := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) })
		c := newCallerListener(&descriptorLimitedListener{l, 5}, hello, nil, io.Discard)
		ended := make(chan error, 1)
		idle := time.Minute
		go func() {
			ended <- c.accept(func() (routing.Limits, bool) {
				idle += time.Second
				return routing.Limits{IdleTimeout: idle}, true
			})
		}()
		client := http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, to string) (net.Conn, error) { return network.Dial(ctx, to) }, DisableKeepAlives: true}}
		for range 20 {
			response, err := client.Get("http://node:1/")
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
		}
		_ = l.Close()
		if err := <-ended; err == nil {
			t.Error("accept returned no error after its listener was closed")
		}
		c.shutdown(t.Context())
	})
}
