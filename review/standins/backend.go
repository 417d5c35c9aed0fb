package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Capacity of a back end.
const (
	slots       = 4
	queueLength = 4
)

// backEnd is a stand-in back end. It works on some requests at a time, queues a few more, and refuses what is beyond with
// 503 and Not-Executed.
type backEnd struct {
	id, service, zone string
	listener          net.Listener
	record            *record
	admitted          chan struct{}
	working           chan struct{}
	// work is how long a request takes at least, and workSpread how much longer it may take.
	work, workSpread time.Duration
	// surplusPercent is the share of its answers, in percent, that a faulty back end sends a second time, late.
	surplusPercent atomic.Int64
	// surplusSent counts these, and surplusRefusals those of them that are refusals.
	surplusSent, surplusRefusals atomic.Int64
	// earlyPercent is the share of its new connections, in percent, on which a faulty back end sends bytes that are no answer
	// before it reads. earlySent counts these.
	earlyPercent, earlySent atomic.Int64
	// endlessPercent is the share of its answers, in percent, in whose place a faulty back end sends bytes without an end.
	endlessPercent atomic.Int64
}

// Range of the time after an answer at which its surplus copy is sent.
const (
	surplusAfter  = 30 * time.Millisecond
	surplusSpread = 170 * time.Millisecond
)

func newBackEnd(id, service, zone string, work, workSpread time.Duration, written *record) *backEnd {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	b := &backEnd{
		id: id, service: service, zone: zone, listener: listener, record: written, work: work, workSpread: workSpread,
		admitted: make(chan struct{}, slots+queueLength), working: make(chan struct{}, slots),
	}
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(socket)
		}
	}()
	return b
}

// entry is the back end's entry in the store.
func (b *backEnd) entry() map[string]any {
	return map[string]any{
		"Service": b.service, "Address": b.listener.Addr().String(), "Zone": b.zone, "Version": "v1", "Slots": slots,
		"State": "ready", "WarmupLeftMs": 0, "CallSeq": 1,
	}
}

// serve serves one request at a time on a connection.
func (b *backEnd) serve(socket net.Conn) {
	defer func() { _ = socket.Close() }()
	if rand.Int64N(100) < b.earlyPercent.Load() {
		b.earlySent.Add(1)
		if _, err := io.WriteString(socket, "\x00\x17garbled\r\n"); err != nil {
			return
		}
	}
	reader := bufio.NewReader(socket)
	var writing sync.Mutex
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if rand.Int64N(100) < b.endlessPercent.Load() {
			b.sendWithoutEnd(socket, request.Header.Get("Request-Id"))
			return
		}
		answer, refusal := b.answer(request)
		writing.Lock()
		_, err = io.WriteString(socket, answer)
		writing.Unlock()
		if err != nil {
			return
		}
		if rand.Int64N(100) < b.surplusPercent.Load() {
			b.sendSurplus(socket, &writing, answer, refusal)
		}
	}
}

// endlessBytesPerSecond is a third of what a link of 1,000 Mbit/s carries.
const endlessBytesPerSecond = 40_000_000

// sendWithoutEnd sends bytes that are no answer until the connection is closed.
func (b *backEnd) sendWithoutEnd(socket net.Conn, id string) {
	b.record.requestSpoiled(id, b.id)
	const interval = 10 * time.Millisecond
	bytes := []byte(strings.Repeat("x", int(endlessBytesPerSecond*interval/time.Second)))
	for {
		if _, err := socket.Write(bytes); err != nil {
			return
		}
		time.Sleep(interval)
	}
}

// sendSurplus sends an answer a second time, late.
func (b *backEnd) sendSurplus(socket net.Conn, writing *sync.Mutex, answer string, refusal bool) {
	b.surplusSent.Add(1)
	if refusal {
		b.surplusRefusals.Add(1)
	}
	time.AfterFunc(surplusAfter+rand.N(surplusSpread), func() {
		writing.Lock()
		defer writing.Unlock()
		_, _ = io.WriteString(socket, answer)
	})
}

// answer works on a request, or refuses it, and returns the bytes of the answer.
func (b *backEnd) answer(request *http.Request) (answer string, refusal bool) {
	id := request.Header.Get("Request-Id")
	deadline := time.Now().Add(time.Hour)
	if ms, err := strconv.Atoi(request.Header.Get("Deadline-Ms")); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	if target := request.Header.Get("Target-Instance"); target != "" && target != b.id {
		return notExecuted(id, http.StatusMisdirectedRequest), true
	}
	select {
	case b.admitted <- struct{}{}:
		defer func() { <-b.admitted }()
	default:
		return notExecuted(id, http.StatusServiceUnavailable), true
	}
	b.working <- struct{}{}
	defer func() { <-b.working }()
	if !time.Now().Before(deadline) {
		return notExecuted(id, http.StatusServiceUnavailable), true
	}
	b.record.requestRan(id, b.id)
	time.Sleep(b.work + rand.N(b.workSpread))
	body := "done " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n%s", id, b.id, id, len(body), body), false
}

// notExecuted returns the bytes of an answer that says that the request did not run.
func notExecuted(id string, status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), id)
}
