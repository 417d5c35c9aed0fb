// Package backend reaches back ends over connect. It decides what came of an attempt: it matches every answer to its attempt and
// checks it (answer.go), and states for each attempt that got none whether a byte of it was written, and whether the back end has
// ended.
//
// HTTP/1.1 is used on purpose: a POST without an idempotency key is resent by net/http only where nothing of it was written, so
// an attempt reaches a back end at most once. TestNoSilentResend proves it.
//
// It owns the connections to back ends and the means to cancel attempts. A Client does I/O, has a lock of its own and may be used
// by many goroutines.
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

// Bounds of requests to back ends.
const (
	// maximumAnswer in bytes: an answer must fit into a frame to the root with what others answer beside it.
	maximumAnswer   = 4 << 20
	dialTimeout     = 500 * time.Millisecond
	idleConnTimeout = 90 * time.Second
	describeTimeout = time.Second
)

// Client sends attempts to back ends.
type Client struct {
	client *http.Client

	mutex   sync.Mutex
	clients map[string]stiletrailv1connect.BackEndServiceClient
	cancels map[uint64]context.CancelFunc
}

// NewClient returns a client that keeps at most so many connections to each back end.
func NewClient(connectionsPerBackEnd int) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		DialContext: dialer.DialContext, Protocols: protocols, MaxConnsPerHost: connectionsPerBackEnd,
		MaxIdleConnsPerHost: connectionsPerBackEnd, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
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

// Register registers an attempt, so that Cancel finds it from now on, and returns the context to Run it with.
func (c *Client) Register(parent context.Context, attempt uint64, remaining time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(parent, remaining)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cancels[attempt] = cancel
	return ctx
}

// Cancel gives up an attempt; its connection is closed, which back ends take as a cancellation.
func (c *Client) Cancel(attempt uint64) {
	c.mutex.Lock()
	cancel := c.cancels[attempt]
	c.mutex.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (c *Client) end(attempt uint64) {
	c.mutex.Lock()
	cancel := c.cancels[attempt]
	delete(c.cancels, attempt)
	c.mutex.Unlock()
	cancel()
}

// Run sends an attempt and returns what came of it.
func (c *Client) Run(ctx context.Context, attempt query.Attempt) query.AttemptResult {
	defer c.end(attempt.Number)
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
		return withoutAnswer(ctx, attempt, written.Load())
	}
	result := check(attempt, response.Msg)
	if held := connection.Load(); result.Status == query.StatusInvalid && held != nil {
		// Whatever else comes on this connection cannot be trusted either.
		_ = (*held).Close()
	}
	return result
}

// withoutAnswer says what came of an attempt that got no answer: where nothing of it may have been written it did not run.
func withoutAnswer(ctx context.Context, attempt query.Attempt, written bool) query.AttemptResult {
	if !written {
		return query.AttemptResult{Attempt: attempt.Number, Status: query.StatusNotSent}
	}
	ended := ctx.Err() == nil && refuses(ctx, attempt.BackEnd)
	return query.AttemptResult{Attempt: attempt.Number, Status: query.StatusLost, BackEndCrashed: ended}
}

// refuses reports whether nobody takes connections at an address any more, as after the end of a process.
func refuses(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = connection.Close()
	return false
}

// Describe asks a back end what it holds for a service; false where it does not answer.
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
