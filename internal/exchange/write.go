package exchange

import (
	"bufio"
	"fmt"
	"io"
	"net/http"

	"stiletrail/internal/failure"
)

const headerContentLength = "Content-Length"

// notCopied are the headers that are written from other fields of a request.
var notCopied = map[string]bool{"Host": true, headerContentLength: true, "Transfer-Encoding": true, "Trailer": true}

// writeRequest writes a request whose target is URL.Opaque, which it does not change, and closes its body. The Write
// method of http.Request puts a scheme before a target that begins with two slashes, and adds a User-Agent. An error of
// the connection may be returned by the Flush after it only.
func writeRequest(w *bufio.Writer, message *http.Request) error {
	if message.Body != nil {
		defer func() { _ = message.Body.Close() }()
	}
	_, _ = fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", message.Method, message.URL.Opaque, message.Host)
	if statesLength(message) {
		_, _ = fmt.Fprintf(w, "%s: %d\r\n", headerContentLength, message.ContentLength)
	}
	_ = message.Header.WriteSubset(w, notCopied)
	_, _ = w.WriteString("\r\n")
	return writeBody(w, message)
}

// statesLength reports whether the head of a request has a Content-Length. Of the requests without a body, only those
// whose method expects one have it.
func statesLength(message *http.Request) bool {
	switch message.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return message.ContentLength > 0
}

// writeBody writes the body of a request, which must have the length that the request states.
func writeBody(w *bufio.Writer, message *http.Request) error {
	if message.ContentLength == 0 {
		return nil
	}
	written, err := io.Copy(w, io.LimitReader(message.Body, message.ContentLength))
	if err == nil && written < message.ContentLength {
		err = failure.New(failure.Internal, "the body of the request is shorter than its stated length")
	}
	return err
}
