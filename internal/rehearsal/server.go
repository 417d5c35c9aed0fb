package rehearsal

import (
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/net/netutil"

	"stiletrail/internal/failure"
)

// server is an HTTP server with its own listener.
type server struct {
	address string
	http    *http.Server
	closing chan struct{}
	once    sync.Once
}

// startServer starts to serve a handler on the address. connections limits the open connections; zero means no limit.
func startServer(address string, handler http.Handler, connections int) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, failure.Wrap(err, failure.SettingsInvalid, "cannot listen on the address of the HTTP server")
	}
	const readHeaderTimeout = 5 * time.Second
	s := &server{
		address: listener.Addr().String(), closing: make(chan struct{}),
		http: &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout},
	}
	go func() { _ = s.http.Serve(limitListener(listener, connections)) }()
	return s, nil
}

func (s *server) close() {
	s.once.Do(func() {
		close(s.closing)
		_ = s.http.Close()
	})
}

func limitListener(listener net.Listener, connections int) net.Listener {
	if connections <= 0 {
		return listener
	}
	return netutil.LimitListener(listener, connections)
}
