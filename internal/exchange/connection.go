package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"stiletrail/internal/failure"
)

const (
	// defaultIdle is how long a connection is idle where the back end names no time.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is kept before the time a back end names, so that a request does not cross its close.
	idleMargin = 500 * time.Millisecond
	// Sizes of the buffers of a connection, in bytes.
	readBuffer  = 2048
	writeBuffer = 1024
)

// connection to a back end, used by one exchange at a time.
type connection struct {
	socket  net.Conn
	reader  *bufio.Reader
	counter *countingWriter
	writer  *bufio.Writer
	// idleSince, on the pool's clock, and idleFor bound how long it may be idle, as the back end said.
	idleSince   time.Duration
	idleTimeout time.Duration
	// closed is told of its end.
	closed func()
	// answers that it has carried.
	answersRead int
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
	counter := &countingWriter{Conn: socket}
	return &connection{
		socket: socket, counter: counter, reader: bufio.NewReaderSize(socket, readBuffer),
		writer: bufio.NewWriterSize(counter, writeBuffer), idleTimeout: defaultIdleTimeout, closed: closed,
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
	c.counter.written.Store(0)
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
	c.answersRead++
	result = Result{Stage: Answered, Status: response.StatusCode, Header: response.Header, Body: body}
	reusable = written() && c.canKeepAlive(response) && request.AnswerMatches(response.StatusCode, response.Header)
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
	if c.counter.written.Load() == 0 {
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
func (c *connection) canKeepAlive(response *http.Response) bool {
	lengthKnown := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	if !lengthKnown || response.Close || c.reader.Buffered() > 0 {
		return false
	}
	c.idleTimeout = keepAliveTimeout(response.Header)
	return c.idleTimeout > 0
}

// keepAliveTimeout is how long a connection may be idle by what the back end says.
func keepAliveTimeout(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}

func (c *connection) idleTooLong(now time.Duration) bool {
	return now-c.idleSince >= c.idleTimeout
}

// sound reports whether a connection may carry another request: it has not been idle too long, the back end has not closed it,
// and no byte came that belongs to no request.
func (c *connection) canReuse(now time.Duration) bool {
	if c.idleTooLong(now) {
		return false
	}
	raw, err := c.socket.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	staysSilent := false
	err = raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		staysSilent = err == unix.EAGAIN
	})
	return err == nil && staysSilent
}
