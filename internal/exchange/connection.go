package exchange

import (
	"bufio"
	"errors"
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
	// defaultIdleTimeout is how long a connection may be idle if the back end states no time.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the idle time that a back end states, so that no request is sent while the back
	// end closes the connection.
	idleMargin = 500 * time.Millisecond
	// readBuffer and writeBuffer are the sizes of a connection's buffers, in bytes.
	readBuffer  = 2048
	writeBuffer = 1024
	// maximumStatus is the greatest status of HTTP.
	maximumStatus = 599
)

// connection is a connection to a back end. One exchange uses it at a time.
type connection struct {
	socket net.Conn
	// arriving is what reader reads from.
	arriving *limitedReader
	reader   *bufio.Reader
	counter  *countingWriter
	writer   *bufio.Writer
	// idleSince is the time, on the pool's clock, at which the connection became idle. idleTimeout is how long it
	// may stay idle, as the back end stated.
	idleSince   time.Duration
	idleTimeout time.Duration
	// onClose is called when the connection is closed.
	onClose func()
	// carried has the ids of the requests that were sent on the connection.
	carried carriedIDs
	// answersRead is the number of answers read on the connection.
	answersRead int
}

// countingWriter counts the bytes that the connection has accepted, which the back end may get. While a write is in
// progress, the count does not include its bytes.
type countingWriter struct {
	net.Conn
	accepted atomic.Int64
}

// Write implements io.Writer.
func (w *countingWriter) Write(data []byte) (int, error) {
	n, err := w.Conn.Write(data)
	w.accepted.Add(int64(n))
	return n, err
}

func newConnection(socket net.Conn, onClose func()) *connection {
	counter := &countingWriter{Conn: socket}
	arriving := &limitedReader{from: socket}
	return &connection{
		socket: socket, counter: counter, arriving: arriving, reader: bufio.NewReaderSize(arriving, readBuffer),
		writer: bufio.NewWriterSize(counter, writeBuffer), idleTimeout: defaultIdleTimeout, onClose: onClose,
	}
}

func (c *connection) abort() { _ = c.socket.Close() }

func (c *connection) close() {
	_ = c.socket.Close()
	if c.onClose != nil {
		c.onClose()
	}
}

// roundTrip writes the request and reads the answer. The connection is reusable only if the whole request was
// written, a complete answer of a stated length was read, and no byte followed it.
func (c *connection) roundTrip(request Request) (result Result, reusable bool) {
	c.counter.accepted.Store(0)
	message, err := request.Prepare()
	if err != nil {
		return Result{Stage: NotSent, Err: err}, true
	}
	if err := c.socket.SetDeadline(request.Deadline); err != nil {
		return Result{Stage: NotSent, Err: failure.Wrap(err, failure.NoReplica, "cannot set the deadline: the connection to the back end is closed")}, false
	}
	c.carried.add(request.ID)
	writing := c.write(message)
	response, err := c.readHead(message)
	if err != nil {
		return c.unanswered(writing, failure.Wrap(err, failure.OutcomeUnknown, "the connection ended before the back end answered")), false
	}
	body, err := readBody(message, response, request)
	if err != nil {
		return c.unanswered(writing, failure.Wrap(err, failure.OutcomeUnknown, "the connection ended within the back end's answer")), false
	}
	c.answersRead++
	result = Result{Stage: Answered, Status: response.StatusCode, Header: response.Header, Body: body, FirstAnswer: c.answersRead == 1}
	reusable = writing.complete() && c.canKeepAlive(response) && request.AnswerMatches(result)
	return result, reusable
}

// requestWriting is the writing of one request.
type requestWriting struct {
	// done is closed when nothing is written any more. err is set before that.
	done chan struct{}
	err  error
}

// complete reports, without waiting, whether the whole request has been written.
func (w *requestWriting) complete() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// write sends the request. A request with a body is written by a separate goroutine while the answer is read, since
// the back end may answer before it has read the body.
func (c *connection) write(message *http.Request) *requestWriting {
	writing := &requestWriting{done: make(chan struct{})}
	if message.Body == nil || message.Body == http.NoBody {
		c.writeAll(message, writing)
	} else {
		go c.writeAll(message, writing)
	}
	return writing
}

func (c *connection) writeAll(message *http.Request, writing *requestWriting) {
	defer close(writing.done)
	writing.err = writeRequest(c.writer, message)
	if writing.err == nil {
		writing.err = c.writer.Flush()
	}
}

// unanswered returns the result of an exchange that has ended without a complete answer. It closes the socket, which
// ends a write that is in progress, and waits for the writer: until then bytes of the request may be sent.
func (c *connection) unanswered(writing *requestWriting, cause *failure.Failure) Result {
	c.abort()
	<-writing.done
	if c.counter.accepted.Load() == 0 {
		return Result{Stage: NotSent, Err: cause}
	}
	return Result{Stage: Sent, Err: cause}
}

// readHead reads the head of the final answer and skips interim answers. All heads together may take MaximumHead.
func (c *connection) readHead(message *http.Request) (*http.Response, error) {
	c.arriving.limit(MaximumHead)
	defer c.arriving.removeLimit()
	for {
		response, err := http.ReadResponse(c.reader, message)
		if err != nil && c.arriving.exhausted() {
			// The parser takes the line that the limit has cut for a malformed one.
			return nil, errTooLarge
		}
		if err != nil {
			return nil, err
		}
		if !isStatus(response.StatusCode) {
			return nil, errNoStatus
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

// errNoStatus is returned for an answer whose three digits are no status of HTTP. The parser of net/http lets them pass.
var errNoStatus = errors.New("the status of the back end's answer is not from 100 to 599")

// isStatus reports whether a number is a status of HTTP (RFC 9110, section 15).
func isStatus(code int) bool { return code >= http.StatusContinue && code <= maximumStatus }

// canKeepAlive reports whether the answer stated its length, the back end keeps the connection open, no byte followed
// the answer, and the connection may carry more requests.
func (c *connection) canKeepAlive(response *http.Response) bool {
	lengthKnown := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	if !lengthKnown || response.Close || c.reader.Buffered() > 0 || c.carried.full() {
		return false
	}
	c.idleTimeout = keepAliveTimeout(response.Header)
	return c.idleTimeout > 0
}

// keepAliveTimeout returns how long a connection may be idle according to the back end's Keep-Alive header.
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

// canReuse reports whether the connection may carry another request: it has not been idle for too long, the back
// end has not closed it, and no unexpected byte has arrived.
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
