package exchange

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
)

// TestWrittenRequests checks each byte of some requests: targets are written as they are, also those that net/http would
// change, and nothing is added to the headers but the host and the length.
func TestWrittenRequests(t *testing.T) {
	for _, c := range []struct {
		method, target, body, want string
	}{
		{"GET", "//a/b?x=1", "", "GET //a/b?x=1 HTTP/1.1\r\nHost: h\r\nX-Kept: yes\r\n\r\n"},
		{"GET", "http://h//a/../%2F", "", "GET http://h//a/../%2F HTTP/1.1\r\nHost: h\r\nX-Kept: yes\r\n\r\n"},
		{"GET", "/\xff?", "", "GET /\xff? HTTP/1.1\r\nHost: h\r\nX-Kept: yes\r\n\r\n"},
		{"PURGE", "/", "book", "PURGE / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nX-Kept: yes\r\n\r\nbook"},
		{"POST", "/", "", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nX-Kept: yes\r\n\r\n"},
	} {
		message := &http.Request{Method: c.method, URL: &url.URL{Opaque: c.target}, Host: "h", Header: http.Header{"X-Kept": {"yes"}, "Content-Length": {"7"}, "Host": {"other"}}}
		if c.body != "" {
			message.Body, message.ContentLength = io.NopCloser(strings.NewReader(c.body)), int64(len(c.body))
		}
		var written bytes.Buffer
		w := bufio.NewWriter(&written)
		if err := writeRequest(w, message); err != nil {
			t.Fatal(err)
		}
		_ = w.Flush()
		if written.String() != c.want {
			t.Errorf("written %q, want %q", written.String(), c.want)
		}
	}
}

// TestShortBody: a body that ends before its stated length is an error, so that the connection is not used again.
func TestShortBody(t *testing.T) {
	message := &http.Request{Method: "PUT", URL: &url.URL{Opaque: "/"}, Body: io.NopCloser(strings.NewReader("bo")), ContentLength: 4}
	if err := writeRequest(bufio.NewWriter(io.Discard), message); err == nil {
		t.Error("a body of 2 bytes was written as one of 4 without an error")
	}
}
