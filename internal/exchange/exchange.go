// Package exchange sends one HTTP/1.1 request over one connection and reads its answer, at most once.
//
// The Transport of net/http sends some requests a second time if a reused connection turns out to be closed. This
// package writes a request to exactly one connection and tells the caller whether any byte of it was written. It
// writes requests itself (write.go) and uses net/http to parse answers.
//
// The package owns the connections to back ends. During an exchange, a connection belongs to that exchange
// (connection.go). Between exchanges it belongs to the pool, which closes it once its idle time is over (pool.go).
// A connection in an uncertain state is closed. Each connection carries the id of a request once (carried.go), and the
// head and body of an answer have a largest size (size.go). Request.ConnectTimeout bounds the opening of a connection.
// Request.Deadline and the context bound the whole exchange. userTimeout bounds the time for which written bytes
// may stay unacknowledged. The package reads the machine's clocks and does network I/O. A Pool has its own lock,
// which is not held during I/O.
package exchange

import (
	"context"
	"errors"
	"net/http"
	"time"

	"stiletrail/internal/failure"
	"stiletrail/internal/membudget"
)

// Stage is how far an exchange has progressed.
type Stage int

// The stages.
const (
	// NotSent: no byte of the request was written.
	NotSent Stage = iota
	// Sent: at least a part of the request was written, so the back end may have executed it.
	Sent
	// Answered: a complete answer was read.
	Answered
)

// Result is the outcome of an exchange.
type Result struct {
	Stage  Stage
	Status int
	Header http.Header
	Body   []byte
	Err    error
	// ConnectionUnused is set if the connection ended before it had carried any answer. A back end at its
	// connection limit ends connections in this way.
	ConnectionUnused bool
	// FirstAnswer is set if the answer is the first on its connection, so that it cannot belong to an earlier request.
	FirstAnswer bool
}

// Request is a request and the conditions under which it is sent.
type Request struct {
	Endpoint
	// ID is the id by which the back end's answer names the request. A connection carries each id at most once. Requests
	// without an id may use any connection.
	ID string
	// Deadline is the time at which the exchange ends.
	Deadline time.Time
	// ConnectTimeout is the time limit for opening a connection.
	ConnectTimeout time.Duration
	// VerifyConnection delays the use of a new connection by one round trip. A back end at its connection limit has
	// closed the connection by then.
	VerifyConnection bool
	// NotRepeatable marks a request that must not be sent again if no answer arrives. It is sent over a new
	// connection or over one that has carried an answer within recentAnswerWithin. A connection that has been idle
	// for longer may have stopped working unnoticed.
	NotRepeatable bool
	// Prepare builds the HTTP request. It is called when the connection is open, immediately before the request is
	// written. The target is URL.Opaque, the length of the body ContentLength; nothing is added to the headers but the
	// host and that length.
	Prepare func() (*http.Request, error)
	// MaximumBody is the largest accepted body of an answer, in bytes.
	MaximumBody int64
	// Memory is the account out of which the body of the answer is read. nil sets no limit beside MaximumBody.
	Memory *membudget.Account
	// MaximumIdle is the number of connections to the endpoint that may be kept idle for later requests. A further
	// connection is closed after its answer.
	MaximumIdle int
	// IdleTimeout limits how long the connection may be idle afterwards, in addition to the limit that the back end
	// states. 0 means no additional limit.
	IdleTimeout time.Duration
	// AnswerMatches reports whether an answer belongs to the request. If it does not, the connection is not used
	// again.
	AnswerMatches func(answer Result) bool
}

// Do carries out one exchange. If the context ends, Do closes the connection, so that the back end stops working on
// the request.
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
	if IsTooLarge(result.Err) {
		p.OversizedTotal.Add(1)
	}
	if !stop() || !reusable {
		connection.close()
		return result
	}
	p.put(request, connection)
	return result
}
