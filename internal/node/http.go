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

// Limits of what callers and operators may send, sizes in bytes.
const (
	maximumRequest    = 1 << 20
	maximumIntent     = 5 << 20
	maximumHeader     = 16 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
)

// serveHTTP serves callers, operators, metrics, and whether the node lives and is ready.
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

// waiting holds the channel of each request that waits for its answer. It is used under the node's lock.
type waiting[Answer any] map[engine.Caller]chan Answer

// deliver hands an answer to the request that waits for it; its channel has room for one.
func (w waiting[Answer]) deliver(caller engine.Caller, answer Answer) {
	if channel := w[caller]; channel != nil {
		channel <- answer
		delete(w, caller)
	}
}

// engineCall takes a request to the engine; its answer comes in a later output, or in this one.
type engineCall func(now time.Duration, caller engine.Caller) engine.Output

// ask runs a request through the engine and waits for its answer. A caller that goes away gets none; the engine ends the
// request at its own deadline.
func ask[Answer any](ctx context.Context, n *Node, answers waiting[Answer], call engineCall) (Answer, error) {
	channel := make(chan Answer, 1)
	n.step(func(now time.Duration) engine.Output {
		n.caller++
		answers[n.caller] = channel
		return call(now, n.caller)
	})
	select {
	case answer := <-channel:
		return answer, nil
	case <-ctx.Done():
		var none Answer
		return none, failure.Wrap(ctx.Err(), failure.DeadlineExceeded, "the caller went away")
	}
}
