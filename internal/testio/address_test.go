package testio_test

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"stiletrail/internal/testio"
)

// TestFreeAddressIsKept guards against tests whose processes can't listen, since a connection of another test got the
// port between its choice and its use.
func TestFreeAddressIsKept(t *testing.T) {
	address := testio.FreeAddress(t)
	kept, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := net.Dial("tcp4", address); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a connection to it before somebody listens ends with %v, want it refused", err)
	}
	for range 3 {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			t.Fatalf("the test can't listen at its own address: %v", err)
		}
		_ = listener.Close()
	}
	other, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = other.Close() }()
	if _, err := (&net.Dialer{LocalAddr: kept}).Dial("tcp4", other.Addr().String()); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("a connection from its port ends with %v, want the port in use", err)
	}
}
