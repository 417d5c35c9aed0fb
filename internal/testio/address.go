package testio

import (
	"net"
	"strconv"
	"syscall"
	"testing"
)

// FreeAddress returns a loopback address that is kept for the test until it ends; see [FreeAddresses].
func FreeAddress(t testing.TB) string {
	t.Helper()
	return FreeAddresses(t, 1)[0]
}

// FreeAddresses returns count different loopback addresses that are kept for the test until it ends. The test and the
// processes that it starts can listen at each of them, also again and again. Nobody else gets its port: not a listener
// that lets the system choose one, and not an outgoing connection. Until somebody listens, connections are refused.
func FreeAddresses(t testing.TB, count int) []string {
	t.Helper()
	addresses := make([]string, count)
	for i := range addresses {
		addresses[i] = reserve(t)
	}
	return addresses
}

// reserve binds a socket to a free port and never listens with it. The system gives a bound port to nobody who asks for
// any port, while the option to reuse addresses, which listeners of package net set as well, lets one be bound beside it.
func reserve(t testing.TB) string {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(socket) })
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		t.Fatal(err)
	}
	loopback := [4]byte{127, 0, 0, 1}
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: loopback}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*syscall.SockaddrInet4).Port))
}
