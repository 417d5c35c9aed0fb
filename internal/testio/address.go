package testio

import (
	"net"
	"testing"
)

// FreeAddress returns an address of this machine on which nobody listened a moment ago.
func FreeAddress(t testing.TB) string {
	t.Helper()
	return FreeAddresses(t, 1)[0]
}

// FreeAddresses returns so many different addresses of this machine on which nobody listened a moment ago.
func FreeAddresses(t testing.TB, count int) []string {
	t.Helper()
	addresses := make([]string, count)
	for i := range addresses {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		addresses[i] = listener.Addr().String()
	}
	return addresses
}
