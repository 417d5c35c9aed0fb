package networktest_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"stiletrail/internal/networktest"
)

// dial opens a connection to a listener and returns the dialling end (near) and the accepted end (far).
func dial(t *testing.T, n *networktest.Network, l net.Listener) (near, far net.Conn) {
	t.Helper()
	near, err := n.Dial(context.Background(), l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if far, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	return near, far
}

// TestNetwork checks that bytes arrive in order after the delay, followed by the end of the connection, that a silenced
// connection delivers neither, and that a connection opened later works.
func TestNetwork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := networktest.New(10)
		l, err := n.Listen("a")
		if err != nil {
			t.Fatal(err)
		}
		near, far := dial(t, n, l)
		began := time.Now()
		for _, text := range []string{"one ", "two"} {
			if _, err := near.Write([]byte(text)); err != nil {
				t.Fatal(err)
			}
		}
		_ = near.Close()
		if text, err := io.ReadAll(far); string(text) != "one two" || err != nil || time.Since(began) != 10*time.Millisecond {
			t.Errorf("read %q, error %v, after %v, want \"one two\" after 10 ms", text, err, time.Since(began))
		}
		near, far = dial(t, n, l)
		n.Silence()
		if _, err := near.Write([]byte("lost")); err != nil {
			t.Errorf("write on a silenced connection: error %v, want none", err)
		}
		_ = near.Close()
		_ = far.SetReadDeadline(time.Now().Add(time.Hour))
		if _, err := far.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("read on a silenced connection: error %v, want the deadline to pass", err)
		}
		near, far = dial(t, n, l)
		if _, err := near.Write([]byte("x")); err != nil {
			t.Error(err)
		}
		if count, err := far.Read(make([]byte, 8)); count != 1 || err != nil {
			t.Errorf("read on a connection opened after Silence: %d bytes, want 1; error %v", count, err)
		}
	})
}
