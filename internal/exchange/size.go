package exchange

import (
	"errors"
	"io"
	"math"
	"net/http"
)

// MaximumHead is the largest head of an answer in bytes, together with the interim answers before it.
const MaximumHead = 64 << 10

// errTooLarge is returned for an answer whose head or body is larger than allowed.
var errTooLarge = errors.New("the back end's answer exceeds the size limit")

// IsTooLarge reports whether an exchange ended because the head or the body of the answer was larger than allowed.
func IsTooLarge(err error) bool { return errors.Is(err, errTooLarge) }

// limitedReader reads from a connection. While a limit is set, it fails with errTooLarge once that many bytes have been
// read.
type limitedReader struct {
	from io.Reader
	// remaining is the number of bytes that may still be read.
	remaining int64
}

func (r *limitedReader) limit(bytes int64) { r.remaining = bytes }

func (r *limitedReader) removeLimit() { r.remaining = math.MaxInt64 }

// exhausted reports whether as many bytes have been read as the limit allows.
func (r *limitedReader) exhausted() bool { return r.remaining <= 0 }

// Read implements io.Reader.
func (r *limitedReader) Read(data []byte) (int, error) {
	if r.exhausted() {
		return 0, errTooLarge
	}
	data = data[:min(int64(len(data)), r.remaining)]
	n, err := r.from.Read(data)
	r.remaining -= int64(n)
	return n, err
}

// readBody reads the whole body of an answer out of the request's account.
func readBody(message *http.Request, response *http.Response, request Request) ([]byte, error) {
	switch {
	case message.Method == http.MethodHead:
		return nil, nil
	case response.ContentLength > request.MaximumBody:
		return nil, errTooLarge
	case response.ContentLength >= 0:
		return request.Memory.Read(response.Body, response.ContentLength)
	}
	body, err := request.Memory.Read(response.Body, request.MaximumBody+1)
	if err == nil && int64(len(body)) > request.MaximumBody {
		err = errTooLarge
	}
	return body, err
}
