// Package serving accepts callers' connections, reports whether the node is ready, serves its metrics, and stops
// the node in a planned way.
//
// The package owns the listeners and the callers' connections. It also reports what the kernel knows of a
// connection (caller.go). It relies on a Node, and on the handlers passed to Start, for the content that it serves.
// It measures time with the standard library. A planned stop takes no longer than the caller of Stop allows.
package serving

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"stiletrail/internal/failure"
	"stiletrail/internal/routing"
)

// Node is the node that a Server serves.
type Node interface {
	Ready() bool
	// Leave makes Ready return false. The node continues to serve requests that end before finishIn has passed.
	Leave(finishIn time.Duration)
	// FinishInFlight answers all requests in flight at once.
	FinishInFlight()
	InFlight() int64
	// Limits returns the limits of callers' requests. It returns false while they are unknown.
	Limits() (routing.Limits, bool)
}

// Addresses holds the addresses to listen on. Metrics may be empty.
type Addresses struct {
	Callers string
	Ready   string
	Metrics string
}

// Times of a planned stop, and default limits of callers' connections.
const (
	// minimumDrainTime is how long after the start of a stop callers may still send requests because they have not
	// noticed it.
	minimumDrainTime = 2500 * time.Millisecond
	// finalPart is n where the last n-th of the time for a stop is reserved for the last answers and the end of the
	// process. Requests still in flight at its start are answered at once.
	finalPart = 6
	// shutdownTimeout bounds the writing of the last answers.
	shutdownTimeout = 300 * time.Millisecond
	// stopPollInterval is the time between two checks whether a stop may end.
	stopPollInterval = 50 * time.Millisecond
	// The defaults apply until a configuration sets other values.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	defaultHeaderBytes   = 64 << 10
)

// Server serves one node.
type Server struct {
	node    Node
	callers *callerListener
	// auxiliary holds the servers for readiness and metrics.
	auxiliary []*http.Server
	// connections is the number of open connections of callers.
	connections atomic.Int64
	stopping    atomic.Bool
	failed      chan error
}

// Start listens on all addresses and serves the node. The messages of net/http about callers' connections are
// written to errors.
func Start(node Node, addresses Addresses, callers, metrics http.Handler, errors io.Writer) (*Server, error) {
	s := &Server{node: node, failed: make(chan error, 3)}
	if err := s.listenForCallers(addresses.Callers, callers, errors); err != nil {
		return nil, err
	}
	if err := s.listenAuxiliary(addresses.Ready, http.HandlerFunc(s.serveReady)); err != nil {
		return nil, err
	}
	if addresses.Metrics == "" {
		return s, nil
	}
	return s, s.listenAuxiliary(addresses.Metrics, metrics)
}

// Failed returns the channel on which the failure of a listener is reported.
func (s *Server) Failed() <-chan error { return s.failed }

func (s *Server) listenForCallers(address string, handler http.Handler, errors io.Writer) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	s.callers = newCallerListener(listener, handler, s.countConnection, errors)
	go func() {
		if err := s.callers.accept(s.node.Limits); !s.stopping.Load() {
			s.failed <- err
		}
	}()
	return nil
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, failure.Wrap(err, failure.SettingsInvalid, "cannot listen on "+address)
	}
	return listener, nil
}

func (s *Server) listenAuxiliary(address string, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: defaultHeaderBytes}
	listener, err := listen(address)
	if err != nil {
		return err
	}
	s.auxiliary = append(s.auxiliary, server)
	go func() {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			s.failed <- failure.Wrap(err, failure.Internal, "the listener at "+address+" failed")
		}
	}()
	return nil
}

func (s *Server) countConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.connections.Add(-1)
	}
}

// Connections returns the number of open connections of callers.
func (s *Server) Connections() int64 { return s.connections.Load() }

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.node.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Stop stops the node within the given time. The node reports that it is not ready, serves the requests that still
// arrive, and ends once no caller is connected or the time is over. Stop reports whether all requests were
// completed.
func (s *Server) Stop(within time.Duration) bool {
	started, finishIn := time.Now(), within-within/finalPart
	s.node.Leave(finishIn)
	for elapsed := time.Duration(0); elapsed < finishIn; elapsed = time.Since(started) {
		if elapsed > minimumDrainTime && s.node.InFlight() == 0 && s.Connections() == 0 {
			break
		}
		time.Sleep(stopPollInterval)
	}
	completed := s.node.InFlight() == 0
	s.node.FinishInFlight()
	bounded, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	s.stopping.Store(true)
	s.callers.shutdown(bounded)
	for _, server := range s.auxiliary {
		_ = server.Close()
	}
	return completed
}
