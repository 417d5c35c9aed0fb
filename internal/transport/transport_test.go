package transport

import (
	"net"
	"os"
	"testing"
	"time"

	"stiletrail/internal/message"
	"stiletrail/internal/testio"
)

const patience = time.Minute

// events collects what happens on a transport.
type events struct {
	messages    chan message.Message
	undelivered chan bool
	lost        chan string
	malformed   chan error
}

func newEvents() *events {
	return &events{
		messages: make(chan message.Message, 100), undelivered: make(chan bool, 100),
		lost: make(chan string, 100), malformed: make(chan error, 100),
	}
}

// Message implements Handler.
func (e *events) Message(_ string, m message.Message) { e.messages <- m }

// Undelivered implements Handler.
func (e *events) Undelivered(_ string, _ message.Message, written bool) { e.undelivered <- written }

// Silent implements Handler.
func (e *events) Silent(string) {}

// Disconnected implements Handler.
func (e *events) Disconnected(peer string) { e.lost <- peer }

// Malformed implements Handler.
func (e *events) Malformed(_ string, err error) { e.malformed <- err }

func start(t *testing.T) (*Transport, *events) {
	t.Helper()
	started, err := Listen("127.0.0.1:0", "")
	if err != nil {
		t.Fatal(err)
	}
	handler := newEvents()
	started.Serve(handler)
	t.Cleanup(started.Close)
	return started, handler
}

func receive[Value any](t *testing.T, what string, from chan Value) Value {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(patience):
		t.Fatalf("never came: %s", what)
		panic("unreachable")
	}
}

func subQuery(remaining uint64) *message.SubQuery {
	return &message.SubQuery{Service: "lookup", RemainingMicroseconds: remaining}
}

// TestDelivery in order, and the time left shortened by the wait.
func TestDelivery(t *testing.T) {
	sender, _ := start(t)
	receiver, got := start(t)
	for group := range uint32(50) {
		sub := subQuery(60_000_000)
		sub.Group = group
		sender.Send(receiver.Address(), sub)
	}
	for group := range uint32(50) {
		sub := receive(t, "a sub-query", got.messages).(*message.SubQuery)
		if sub.Group != group || sub.RemainingMicroseconds > 60_000_000 {
			t.Fatalf("got group %d with %d left, want group %d", sub.Group, sub.RemainingMicroseconds, group)
		}
	}
}

// TestUndelivered tells of a peer that is not there, of work whose time ran out, and of what is too large, as not written.
func TestUndelivered(t *testing.T) {
	nobody := testio.FreeAddress(t)
	receiver, got := start(t)
	large := subQuery(60_000_000)
	large.Body = make([]byte, message.MaximumPayload+1)
	cases := []struct {
		name string
		to   string
		sub  *message.SubQuery
	}{
		{"nobody there", nobody, subQuery(60_000_000)},
		{"no time left", receiver.Address(), subQuery(0)},
		{"too large", receiver.Address(), large},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sender, told := start(t)
			sender.Send(c.to, c.sub)
			if receive(t, "undelivered", told.undelivered) {
				t.Error("reported as perhaps written")
			}
		})
	}
	if len(got.messages) > 0 {
		t.Error("something was delivered")
	}
}

// TestLostConnection is reported to the side that sent queries on it.
func TestLostConnection(t *testing.T) {
	sender, told := start(t)
	receiver, got := start(t)
	sender.Send(receiver.Address(), subQuery(60_000_000))
	receive(t, "the sub-query", got.messages)
	receiver.Close()
	if peer := receive(t, "the loss", told.lost); peer != receiver.Address() {
		t.Errorf("lost %s", peer)
	}
}

// TestMalformedInput closes the connection it came on, and others go on.
func TestMalformedInput(t *testing.T) {
	receiver, got := start(t)
	inputs := map[string][]byte{
		"no frame":       []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		"no hello first": message.Encode(&message.SubCancel{}),
		"broken payload": append(message.Encode(&message.Hello{Address: "a"}), append(message.Encode(&message.SubCancel{})[:message.HeaderSize], []byte("not the payload!")...)...),
	}
	for name, input := range inputs {
		t.Run(name, func(t *testing.T) {
			connection, err := net.Dial("tcp", receiver.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = connection.Close() }()
			if _, err := connection.Write(input); err != nil {
				t.Fatal(err)
			}
			_ = connection.SetReadDeadline(time.Now().Add(patience))
			if _, err := connection.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
				t.Errorf("the connection was not closed: %v", err)
			}
		})
	}
	sender, _ := start(t)
	sender.Send(receiver.Address(), subQuery(60_000_000))
	receive(t, "a sub-query after malformed input", got.messages)
}
