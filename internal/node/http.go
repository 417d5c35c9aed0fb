package node

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"stiletrail/api/stiletrail/v1/stiletrailv1connect"
	"stiletrail/internal/engine"
	"stiletrail/internal/failure"
)

// Limits of requests from callers and operators. Sizes are in bytes.
const (
	maximumRequest    = 1 << 20
	maximumIntent     = 5 << 20
	maximumHeader     = 16 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
)

// serveHTTP starts the HTTP server. It serves the query service to callers, the operator service, the metrics, and the
// liveness and readiness checks.
func (n *Node) serveHTTP() {
	mux := http.NewServeMux()
	mux.Handle(stiletrailv1connect.NewQueryServiceHandler(queryServer{n}, connect.WithReadMaxBytes(maximumRequest)))
	mux.Handle(stiletrailv1connect.NewOperatorServiceHandler(operatorServer{n}, connect.WithReadMaxBytes(maximumIntent)))
	mux.Handle("/metrics", n.metricsHandler())
	mux.HandleFunc("/live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/ready", n.serveReady)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	n.http = &http.Server{
		Handler: mux, Protocols: protocols, MaxHeaderBytes: maximumHeader,
		ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
	}
	n.tasks.Go(func() { _ = n.http.Serve(n.listener) })
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready := false
	n.Inspect(func(e *engine.Engine) { ready = e.Ready() })
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// pendingRequests has the channel of each request that waits for its answer. The node's lock must be held to use it.
type pendingRequests[Answer any] map[engine.Caller]chan Answer

// deliver sends an answer to the request that waits for it. The channel has a buffer of one, so that this never blocks.
func (p pendingRequests[Answer]) deliver(caller engine.Caller, answer Answer) {
	if channel := p[caller]; channel != nil {
		channel <- answer
		delete(p, caller)
	}
}

// engineCall passes a request to the engine. The answer is in the returned output or in a later one.
type engineCall func(now time.Duration, caller engine.Caller) engine.Output

// submit passes a request to the engine and waits for its answer. If the caller disconnects before, submit returns an
// error and the engine ends the request at the request's own deadline.
func submit[Answer any](ctx context.Context, n *Node, pending pendingRequests[Answer], call engineCall) (Answer, error) {
	channel := make(chan Answer, 1)
	n.step(func(now time.Duration) engine.Output {
		n.lastCaller++
		pending[n.lastCaller] = channel
		return call(now, n.lastCaller)
	})
	select {
	case answer := <-channel:
		return answer, nil
	case <-ctx.Done():
		var none Answer
		return none, failure.Wrap(ctx.Err(), failure.DeadlineExceeded,
			"the caller disconnected, or its deadline passed, before the answer was ready")
	}
}
