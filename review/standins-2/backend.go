package main

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// backEnd is a sound back end. It runs each request that is addressed to it, at once, and signs its answer.
type backEnd struct {
	id, service, zone, address string
	work                       time.Duration
	record                     *record
	calls                      atomic.Int64
	// onRun, if set, is called when the back end begins to work on a request.
	onRun func(requestID, tenant string)
}

func newBackEnd(r *record, id, service, zone string, work time.Duration) (*backEnd, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backEnd{id: id, service: service, zone: zone, address: listener.Addr().String(), work: work, record: r}
	go func() { _ = http.Serve(listener, b) }()
	return b, nil
}

// entry returns what the back end writes into the store.
func (b *backEnd) entry(state string) map[string]any {
	return map[string]any{
		"Service": b.service, "Address": b.address, "Zone": b.zone, "Version": "v1", "Slots": 64, "State": state,
		"WarmupLeftMs": 0, "CallSeq": b.calls.Add(1),
	}
}

// ServeHTTP implements http.Handler.
func (b *backEnd) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, header := r.Header.Get("Request-Id"), w.Header()
	header.Set("Request-Id", id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != b.id {
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.record.add("run id=%s at=%s tenant=%s", id, b.id, r.Header.Get("Tenant"))
	if b.onRun != nil {
		b.onRun(id, r.Header.Get("Tenant"))
	}
	time.Sleep(b.work)
	header.Set("Server-Stamp", fmt.Sprintf("stamp.%s.%s", b.id, id))
	_, _ = w.Write([]byte("0123456789abcdef"))
}
