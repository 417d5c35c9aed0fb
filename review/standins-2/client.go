package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// request is what a client sends.
type request struct {
	id, host, path, key string
	deadline            time.Duration
}

func newRequestID() string { return fmt.Sprintf("r%08d", lastRequest.Add(1)) }

// send sends a request to an address over a connection of its own and returns the status of the answer, or 0 if there was no
// whole answer in time.
func send(r *record, address string, q request) int {
	client := http.Client{Timeout: q.deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	message, err := http.NewRequest(http.MethodGet, "http://"+address+q.path, nil)
	if err != nil {
		return 0
	}
	message.Host = q.host
	message.Header.Set("Request-Id", q.id)
	message.Header.Set("Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.key != "" {
		message.Header.Set("Key", q.key)
	}
	r.add("sent id=%s to=%s", q.id, address)
	response, err := client.Do(message)
	if err != nil {
		r.add("no answer id=%s", q.id)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadAll(response.Body); err != nil {
		r.add("cut answer id=%s", q.id)
		return 0
	}
	r.add("answer id=%s status=%d", q.id, response.StatusCode)
	return response.StatusCode
}
