package exchange

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// scriptedSocket is a connection on which a script decides when bytes arrive. It records the bytes that it has accepted.
type scriptedSocket struct {
	net.Conn
	// arriving is what the back end sends, and failure how the connection ends after it. Both come once afterWrites writes
	// have been accepted, or at once when the socket is closed.
	arriving    *bytes.Reader
	failure     error
	afterWrites int

	mutex    sync.Mutex
	changed  *sync.Cond
	writes   int
	accepted int
	closed   bool
	onClose  func()
}

func newScriptedSocket(arriving string, failure error, afterWrites int) *scriptedSocket {
	s := &scriptedSocket{arriving: bytes.NewReader([]byte(arriving)), failure: failure, afterWrites: afterWrites, onClose: func() {}}
	s.changed = sync.NewCond(&s.mutex)
	return s
}

// Read implements net.Conn.
func (s *scriptedSocket) Read(data []byte) (int, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for s.writes < s.afterWrites && !s.closed {
		s.changed.Wait()
	}
	if s.closed {
		return 0, net.ErrClosed
	}
	if n, _ := s.arriving.Read(data); n > 0 {
		return n, nil
	}
	return 0, s.failure
}

// Write implements net.Conn. Like a socket, it accepts nothing once it is closed.
func (s *scriptedSocket) Write(data []byte) (int, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return 0, net.ErrClosed
	}
	s.writes++
	s.accepted += len(data)
	s.changed.Broadcast()
	return len(data), nil
}

// Close implements net.Conn.
func (s *scriptedSocket) Close() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.closed {
		s.closed = true
		s.changed.Broadcast()
		s.onClose()
	}
	return nil
}

// SetDeadline implements net.Conn.
func (s *scriptedSocket) SetDeadline(time.Time) error { return nil }

func (s *scriptedSocket) acceptedBytes() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.accepted
}

// heldBody is the body of a request that cannot be read before it is released.
type heldBody struct {
	io.Reader
	released chan struct{}
	// finished is closed when the writer of the request has read the body to its end.
	finished chan struct{}
}

// Read implements io.Reader.
func (b heldBody) Read(data []byte) (int, error) {
	<-b.released
	return b.Reader.Read(data)
}

// Close implements io.Closer.
func (b heldBody) Close() error {
	close(b.finished)
	return nil
}

func requestWithBody(body io.ReadCloser, length int) Request {
	return Request{
		Deadline: time.Now().Add(time.Hour), MaximumBody: 1000,
		Prepare: func() (*http.Request, error) {
			return &http.Request{Method: http.MethodPost, URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{}, Body: body, ContentLength: int64(length)}, nil
		},
		AnswerMatches: func(Result) bool { return true },
	}
}

// TestNotSentIsFinal guards against a request that is written after it was reported as not sent, and then runs at two back
// ends. The back end sends bytes that are no answer before the request's writer has written anything; the writer goes on
// when the verdict has been drawn, or when the connection is closed.
func TestNotSentIsFinal(t *testing.T) {
	socket := newScriptedSocket("no answer\r\n", io.EOF, 0)
	var once sync.Once
	body := heldBody{strings.NewReader("book"), make(chan struct{}), make(chan struct{})}
	release := func() { once.Do(func() { close(body.released) }) }
	socket.onClose = release
	result, _ := newConnection(socket, nil).roundTrip(requestWithBody(body, 4))
	release()
	<-body.finished
	if sent := socket.acceptedBytes(); result.Stage != NotSent || sent > 0 {
		t.Errorf("the exchange ended in stage %v, and %d bytes were sent; want NotSent and none", result.Stage, sent)
	}
}

// TestDrawnVerdicts draws when bytes that are no answer, a refusal, the end or a reset of the connection arrive while a
// request is written, and when the exchange is cancelled. A request that is reported as not sent was not sent and is not
// sent later; one that was sent to its end is reported as sent.
func TestDrawnVerdicts(t *testing.T) {
	arriving := map[string]string{
		"bytes that are no answer": "no answer\r\n",
		"a refusal":                "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
		"a part of an answer":      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
		"nothing":                  "",
	}
	rapid.Check(t, func(t *rapid.T) {
		what := rapid.SampledFrom([]string{"bytes that are no answer", "a refusal", "a part of an answer", "nothing"}).Draw(t, "arriving")
		end := rapid.SampledFrom([]error{io.EOF, errors.New("connection reset by peer")}).Draw(t, "end")
		length := rapid.SampledFrom([]int{0, 4, 1000, 5000}).Draw(t, "length of the body")
		socket := newScriptedSocket(arriving[what], end, rapid.IntRange(0, 6).Draw(t, "writes before"))
		body := heldBody{strings.NewReader(strings.Repeat("b", length)), make(chan struct{}), make(chan struct{})}
		close(body.released)
		request := requestWithBody(body, length)
		if length == 0 {
			request = requestWithBody(http.NoBody, 0)
			close(body.finished)
		}
		cancelled := make(chan struct{})
		if rapid.Bool().Draw(t, "cancelled") || socket.afterWrites > 1 {
			go func() {
				_ = socket.Close()
				close(cancelled)
			}()
		} else {
			close(cancelled)
		}
		result, _ := newConnection(socket, nil).roundTrip(request)
		reported := socket.acceptedBytes()
		<-body.finished
		<-cancelled
		sent := socket.acceptedBytes()
		if result.Stage == NotSent && sent > 0 {
			t.Fatalf("reported as not sent, and %d bytes were sent (%d when it was reported)", sent, reported)
		}
		if result.Stage == Sent && sent == 0 {
			t.Fatalf("reported as sent, and nothing was sent")
		}
		if result.Stage != Answered && sent != reported {
			t.Fatalf("%d bytes were sent after the exchange had ended", sent-reported)
		}
	})
}
