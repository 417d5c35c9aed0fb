package testio

import (
	"net"
	"testing"
)

// FreeAddress returns a loopback address whose port was free just before. Another process may take the port meanwhile.
func FreeAddress(t testing.TB) string {
	t.Helper()
	return FreeAddresses(t, 1)[0]
}

// FreeAddresses returns count different loopback addresses whose ports were free just before.
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
