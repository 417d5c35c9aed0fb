// Package serving listens for callers, says whether the node is ready, serves its metrics, and stops it as planned.
//
// It owns the listeners and callers' connections, and tells of one what the machine knows (caller.go); what is served is a
// Node and the handlers handed to Start. Its times are the standard library's: a planned stop takes no longer than the caller of
// Stop allows.
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

// Node is what is served.
type Node interface {
	Ready() bool
	// Leave makes Ready false; the node serves on.
	Leave()
	// FinishInFlight answers all requests under way at once.
	FinishInFlight()
	InFlight() int64
	// Limits of what callers may send, false while unknown.
	Limits() (routing.Limits, bool)
}

// Addresses to listen at. Metrics may be empty.
type Addresses struct {
	Callers string
	Ready   string
	Metrics string
}

// Times of a planned stop and of callers' connections.
const (
	// noticeTime is how long after a stop began requests still come, sent by those that have not noticed.
	minimumDrainTime = 2500 * time.Millisecond
	// lastPart of a stop's time, one in so many, is kept for the last answers and the end of the process: what still
	// runs then is given up.
	finalPart = 6
	// shutdownTime bounds the writing of the last answers.
	shutdownTimeout = 300 * time.Millisecond
	// checkInterval is the pause between looks whether a stop may end.
	stopPollInterval = 50 * time.Millisecond
	// The defaults hold until a configuration states others.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	defaultHeaderBytes   = 64 << 10
)

// Server serves one node.
type Server struct {
	node    Node
	callers *callerListener
	// others serve readiness and metrics.
	auxiliary []*http.Server
	// connections of callers that are open.
	connections atomic.Int64
	stopping    atomic.Bool
	failed      chan error
}

// Start listens at all addresses. What net/http has to say of callers' connections is written to errors.
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

// Failed delivers the failure of a listener.
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
		return nil, failure.Wrap(err, failure.SettingsInvalid, "cannot listen at "+address)
	}
	return listener, nil
}

func (s *Server) listenAuxiliary(address string, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
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

// Connections of callers that are open.
func (s *Server) Connections() int64 { return s.connections.Load() }

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.node.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Stop stops the node within the given time: it says that it is not ready, serves what still comes, and ends when nobody is
// connected any more or the time is over. It reports whether nothing was cut short.
func (s *Server) Stop(within time.Duration) bool {
	started := time.Now()
	s.node.Leave()
	for elapsed := time.Duration(0); elapsed < within-within/finalPart; elapsed = time.Since(started) {
		if elapsed > minimumDrainTime && s.node.InFlight() == 0 && s.Connections() == 0 {
			break
		}
		time.Sleep(stopPollInterval)
	}
	whole := s.node.InFlight() == 0
	s.node.FinishInFlight()
	bounded, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	s.stopping.Store(true)
	s.callers.shutdown(bounded)
	for _, server := range s.auxiliary {
		_ = server.Close()
	}
	return whole
}
