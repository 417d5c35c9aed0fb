// Package backend sends attempts to back ends over the connect protocol and decides the result of each attempt. An
// attempt is one request to one back end.
//
// It verifies that an answer is complete and belongs to its attempt (answer.go). For an attempt without an answer it
// states whether any byte of the request may have been written, and whether the back end's process has crashed.
//
// It uses HTTP/1.1 because net/http then resends a POST without an idempotency key only if nothing of the request was
// written. An attempt therefore reaches a back end at most once; TestNoSilentResend checks this.
//
// The package owns the connections to back ends and the cancel functions of the attempts in flight. A Client does
// I/O, has a lock of its own and may be used by many goroutines.
package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"

	stiletrailv1 "stiletrail/api/stiletrail/v1"
	"stiletrail/api/stiletrail/v1/stiletrailv1connect"
	"stiletrail/internal/query"
)

// Limits of requests to back ends.
const (
	// maximumAnswer is the largest size of an answer, in bytes. An answer must fit into one frame to the root node of
	// the search, together with the answers of other back ends.
	maximumAnswer = 4 << 20
	// maximumHead is the largest head of an answer, in bytes.
	maximumHead     = 64 << 10
	dialTimeout     = 500 * time.Millisecond
	idleConnTimeout = 90 * time.Second
	describeTimeout = time.Second
)

// Client sends attempts to back ends.
type Client struct {
	client *http.Client

	mutex sync.Mutex
	// clients has the client of each back end by the back end's address.
	clients map[string]stiletrailv1connect.BackEndServiceClient
	// cancels has the cancel function of each attempt in flight by the attempt's number.
	cancels map[uint64]context.CancelFunc
}

// NewClient returns a client that opens at most the given number of connections to each back end.
func NewClient(connectionsPerBackEnd int) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		DialContext: dialer.DialContext, Protocols: protocols, MaxConnsPerHost: connectionsPerBackEnd,
		MaxIdleConnsPerHost: connectionsPerBackEnd, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: maximumHead,
	}
	return &Client{
		client:  &http.Client{Transport: transport},
		clients: map[string]stiletrailv1connect.BackEndServiceClient{}, cancels: map[uint64]context.CancelFunc{},
	}
}

func (c *Client) clientFor(address string) stiletrailv1connect.BackEndServiceClient {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	found := c.clients[address]
	if found == nil {
		found = stiletrailv1connect.NewBackEndServiceClient(c.client, "http://"+address, connect.WithReadMaxBytes(maximumAnswer))
		c.clients[address] = found
	}
	return found
}

// Register registers an attempt and returns the context that Run must be called with. From now on Cancel can cancel the
// attempt, even before Run is called.
func (c *Client) Register(parent context.Context, attempt uint64, remaining time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(parent, remaining)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cancels[attempt] = cancel
	return ctx
}

// Cancel cancels an attempt. Its connection is closed, which a back end treats as the cancellation of the request.
func (c *Client) Cancel(attempt uint64) {
	c.mutex.Lock()
	cancel := c.cancels[attempt]
	c.mutex.Unlock()
	if cancel != nil {
		cancel()
	}
}

// release removes an attempt that has ended and releases its context.
func (c *Client) release(attempt uint64) {
	c.mutex.Lock()
	cancel := c.cancels[attempt]
	delete(c.cancels, attempt)
	c.mutex.Unlock()
	cancel()
}

// Run sends an attempt to its back end and returns its result. ctx must come from Register.
func (c *Client) Run(ctx context.Context, attempt query.Attempt) query.AttemptResult {
	defer c.release(attempt.Number)
	var written atomic.Bool
	var connection atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connection.Store(&info.Conn)
		written.Store(true)
	}}
	deadline, _ := ctx.Deadline()
	remaining := time.Until(deadline)
	if remaining <= 0 || ctx.Err() != nil {
		return query.AttemptResult{Attempt: attempt.Number, Status: query.StatusNotSent}
	}
	request := &stiletrailv1.QueryRequest{
		Generation: attempt.Generation, Attempt: attempt.Number, Service: attempt.Service, Shards: attempt.Shards,
		Version: attempt.Snapshot.Version, Epoch: attempt.Snapshot.Epoch, Query: attempt.Body, Execute: attempt.Execute,
		RemainingMilliseconds: uint32(max(remaining.Milliseconds(), 1)),
	}
	response, err := c.clientFor(attempt.BackEnd).Query(httptrace.WithClientTrace(ctx, trace), connect.NewRequest(request))
	if err != nil {
		return resultWithoutAnswer(ctx, attempt, written.Load())
	}
	result := checkAnswer(attempt, response.Msg)
	if used := connection.Load(); result.Status == query.StatusInvalid && used != nil {
		// Later answers on this connection cannot be trusted either.
		_ = (*used).Close()
	}
	return result
}

// resultWithoutAnswer returns the result of an attempt that got no answer. The status is StatusNotSent if the attempt
// never had a connection, so that nothing of it can have been written and the back end did not run it.
func resultWithoutAnswer(ctx context.Context, attempt query.Attempt, written bool) query.AttemptResult {
	if !written {
		return query.AttemptResult{Attempt: attempt.Number, Status: query.StatusNotSent}
	}
	crashed := ctx.Err() == nil && refusesConnections(ctx, attempt.BackEnd)
	return query.AttemptResult{Attempt: attempt.Number, Status: query.StatusLost, BackEndCrashed: crashed}
}

// refusesConnections reports whether connections to the address are refused, because the process that listened there
// has ended.
func refusesConnections(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = connection.Close()
	return false
}

// Describe asks a back end which shards and snapshots of a service it has. The second result is false if the back end
// does not answer.
func (c *Client) Describe(ctx context.Context, service, address string) (query.Holding, bool) {
	ctx, cancel := context.WithTimeout(ctx, describeTimeout)
	defer cancel()
	response, err := c.clientFor(address).Describe(ctx, connect.NewRequest(&stiletrailv1.DescribeRequest{Service: service}))
	if err != nil || response.Msg.GetHolding() == nil {
		return query.Holding{}, false
	}
	return holdingOf(response.Msg.GetHolding()), true
}

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }
