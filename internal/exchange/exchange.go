// Package exchange sends one HTTP/1.1 request over one connection and reads its answer, at most once.
//
// net/http's Transport sends some requests a second time on its own when a reused connection turns out to be closed. Here a
// request is written to exactly one connection, and the caller learns whether any byte of it was written. Requests are written
// and answers parsed by net/http.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
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
	// Unused: the connection ended before it had carried a single answer, as one over the back end's limit does.
	Unused bool
}

// Request to be sent.
type Request struct {
	Address string
	// Deadline bounds the exchange.
	Deadline time.Time
	// ConnectTimeout bounds the opening of a connection.
	ConnectTimeout time.Duration
	// Prove has a new connection wait for a way there and back before it is used: a back end at its limit has closed it by then.
	Prove bool
	// Once: the request cannot be sent again if nothing comes back. It goes over a connection that has carried an answer within provenWithin, or
	// over a new one: a connection that has been idle for longer may have fallen silent.
	Once bool
	// Prepare builds the message at the moment at which it is written, when the connection is there.
	Prepare func() (*http.Request, error)
	// MaximumBody bounds the answer in bytes.
	MaximumBody int64
	// MaximumIdle is how many connections to the address may be kept idle for later requests; one more is closed after its answer.
	MaximumIdle int
	// IdleFor bounds how long it is idle, beside what the back end says; 0 does not.
	IdleFor time.Duration
	// Trusted reports whether an answer belongs to the request; the connection is not used again if it does not.
	Trusted func(status int, header http.Header) bool
}

// Buffer sizes of a connection, in bytes.
const (
	readBuffer  = 2048
	writeBuffer = 1024
)

// Do carries out one exchange. When the context ends the connection is closed, so that the back end stops working.
func (p *Pool) Do(ctx context.Context, request Request) Result {
	connection, err := p.connect(ctx, request)
	if err != nil {
		return Result{
			Stage: NotSent, Err: failure.Wrap(err, failure.NoReplica, "no connection to the back end"), Unused: errors.Is(err, errTurnedAway),
		}
	}
	stop := context.AfterFunc(ctx, connection.abort)
	result, reusable := connection.roundTrip(request)
	result.Unused = connection.answers == 0
	if !stop() || !reusable {
		connection.close()
		return result
	}
	p.put(request, connection)
	return result
}

// connection to a back end, used by one exchange at a time.
type connection struct {
	socket  net.Conn
	reader  *bufio.Reader
	counted *countingWriter
	writer  *bufio.Writer
	// idleSince, on the pool's clock, and idleFor bound how long it may be idle, as the back end said.
	idleSince time.Duration
	idleFor   time.Duration
	closed    func()
	// answers that it has carried.
	answers int
}

// countingWriter knows whether anything was written.
type countingWriter struct {
	net.Conn
	written atomic.Int64
}

// Write implements io.Writer. Bytes count as written before the call, since a failed call may have sent some.
func (w *countingWriter) Write(data []byte) (int, error) {
	w.written.Add(int64(len(data)))
	return w.Conn.Write(data)
}

func newConnection(socket net.Conn, closed func()) *connection {
	counted := &countingWriter{Conn: socket}
	return &connection{
		socket: socket, counted: counted, reader: bufio.NewReaderSize(socket, readBuffer),
		writer: bufio.NewWriterSize(counted, writeBuffer), idleFor: defaultIdle, closed: closed,
	}
}

func (c *connection) abort() { _ = c.socket.Close() }

func (c *connection) close() {
	_ = c.socket.Close()
	if c.closed != nil {
		c.closed()
	}
}

// roundTrip writes the request and reads the answer. The connection is reusable only if nothing is left in doubt: the whole
// request was written, a whole answer with a stated length was read, and nothing came after it.
func (c *connection) roundTrip(request Request) (result Result, reusable bool) {
	c.counted.written.Store(0)
	message, err := request.Prepare()
	if err != nil {
		return Result{Stage: NotSent, Err: err}, true
	}
	if err := c.socket.SetDeadline(request.Deadline); err != nil {
		return Result{Stage: NotSent, Err: failure.Wrap(err, failure.NoReplica, "the connection is closed")}, false
	}
	written := c.write(message)
	response, err := c.readHead(message)
	if err != nil {
		return Result{Stage: c.stage(), Err: failure.Wrap(err, failure.OutcomeUnknown, "no answer")}, false
	}
	body, err := readBody(message, response, request.MaximumBody)
	if err != nil {
		return Result{Stage: c.stage(), Err: failure.Wrap(err, failure.OutcomeUnknown, "the answer broke off")}, false
	}
	c.answers++
	result = Result{Stage: Answered, Status: response.StatusCode, Header: response.Header, Body: body}
	reusable = written() && c.framed(response) && request.Trusted(response.StatusCode, response.Header)
	return result, reusable
}

// write sends the request. A request with a body is written beside the reading of the answer, which may come before the body
// was read. The function returned reports, without waiting, whether all of it was written.
func (c *connection) write(message *http.Request) func() bool {
	if message.Body == nil || message.Body == http.NoBody {
		err := c.writeAll(message)
		return func() bool { return err == nil }
	}
	var whole atomic.Bool
	go func() { whole.Store(c.writeAll(message) == nil) }()
	return whole.Load
}

func (c *connection) writeAll(message *http.Request) error {
	if err := message.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

func (c *connection) stage() Stage {
	if c.counted.written.Load() == 0 {
		return NotSent
	}
	return Sent
}

// readHead reads the head of the final answer; interim ones are passed over.
func (c *connection) readHead(message *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, message)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

var errTooLarge = errors.New("the answer is larger than allowed")

func readBody(message *http.Request, response *http.Response, maximum int64) ([]byte, error) {
	if message.Method == http.MethodHead {
		return nil, nil
	}
	if response.ContentLength > maximum {
		return nil, errTooLarge
	}
	if response.ContentLength >= 0 {
		body := make([]byte, response.ContentLength)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	var buffer bytes.Buffer
	read, err := io.Copy(&buffer, io.LimitReader(response.Body, maximum+1))
	if err == nil && read > maximum {
		err = errTooLarge
	}
	return buffer.Bytes(), err
}

// framed: the answer said where it ends, the back end keeps the connection, and nothing follows the answer.
func (c *connection) framed(response *http.Response) bool {
	lengthKnown := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	if !lengthKnown || response.Close || c.reader.Buffered() > 0 {
		return false
	}
	c.idleFor = keepAliveTimeout(response.Header)
	return c.idleFor > 0
}
