// Package exchange sends one HTTP/1.1 request over one connection and reads its answer, at most once.
//
// net/http's Transport sends some requests a second time on its own when a reused connection turns out to be closed. Here a
// request is written to exactly one connection, and the caller learns whether any byte of it was written. Requests are written
// and answers parsed by net/http.
//
// It owns the connections to back ends. A connection belongs to the exchange that uses it (connection.go), between
// exchanges to the pool, which closes it when it has been idle for as long as it may (pool.go); one that leaves
// anything in doubt is closed. What bounds the waits: Request.ConnectTimeout the opening of a connection,
// Request.Deadline and the context all of an exchange, userTimeout bytes that nobody acknowledges. It reads the
// machine's clocks and does network I/O; a Pool has a lock of its own, which is not held during I/O.
package exchange

import (
	"context"
	"errors"
	"net/http"
	"time"

	"stiletrail/internal/failure"
)

// Stage says how far an exchange came.
type Stage int

// The stages.
const (
	// NotSent: no byte of the request was written.
	NotSent Stage = iota
	// Sent: some of the request was written; the back end may have run it.
	Sent
	// Answered: a whole answer was read.
	Answered
)

// Result of an exchange.
type Result struct {
	Stage  Stage
	Status int
	Header http.Header
	Body   []byte
	Err    error
	// ConnectionUnused: the connection ended before it had carried a single answer, as one over the back end's limit does.
	ConnectionUnused bool
}

// Request to be sent.
type Request struct {
	Endpoint
	// Deadline bounds the exchange.
	Deadline time.Time
	// ConnectTimeout bounds the opening of a connection.
	ConnectTimeout time.Duration
	// VerifyConnection has a new connection wait for a way there and back before it is used: a back end at its limit has closed it by then.
	VerifyConnection bool
	// NotRepeatable: the request cannot be sent again if nothing comes back. It goes over a connection that has carried an
	// answer within provenWithin, or over a new one: a connection that has been idle for longer may have fallen silent.
	NotRepeatable bool
	// Prepare builds the message at the moment at which it is written, when the connection is there.
	Prepare func() (*http.Request, error)
	// MaximumBody bounds the answer in bytes.
	MaximumBody int64
	// MaximumIdle is how many connections to the endpoint may be kept idle for later requests; one more is closed after its answer.
	MaximumIdle int
	// IdleTimeout bounds how long it is idle, beside what the back end says; 0 does not.
	IdleTimeout time.Duration
	// AnswerMatches reports whether an answer belongs to the request; the connection is not used again if it does not.
	AnswerMatches func(status int, header http.Header) bool
}

// Do carries out one exchange. When the context ends the connection is closed, so that the back end stops working.
func (p *Pool) Do(ctx context.Context, request Request) Result {
	connection, err := p.connect(ctx, request)
	if err != nil {
		return Result{
			Stage: NotSent, Err: failure.Wrap(err, failure.NoReplica, "no connection to the back end"), ConnectionUnused: errors.Is(err, errRejected),
		}
	}
	stop := context.AfterFunc(ctx, connection.abort)
	result, reusable := connection.roundTrip(request)
	result.ConnectionUnused = connection.answersRead == 0
	if !stop() || !reusable {
		connection.close()
		return result
	}
	p.put(request, connection)
	return result
}
