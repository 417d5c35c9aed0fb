package rehearsal

import (
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/net/netutil"

	"stiletrail/internal/failure"
)

// server is an HTTP server on a port of its own.
type server struct {
	address string
	http    *http.Server
	closing chan struct{}
	once    sync.Once
}

// startServer serves a handler; connections bounds the connections taken, zero for no bound.
func startServer(address string, handler http.Handler, connections int) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, failure.Wrap(err, failure.SettingsInvalid, "the address cannot be listened on")
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
