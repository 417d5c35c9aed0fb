package transport

import (
	"net"
	"os"
	"testing"
	"time"

	"stiletrail/internal/message"
	"stiletrail/internal/testio"
)

const testTimeout = time.Minute

// events collects the events of a transport.
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
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for %s", what)
		panic("unreachable")
	}
}

func subQuery(remaining uint64) *message.SubQuery {
	return &message.SubQuery{Service: "lookup", RemainingMicroseconds: remaining}
}

// TestMessagesAreDeliveredInOrder: messages arrive in the order in which they were sent. The remaining time of a
// sub-query is reduced by the time for which it waited.
func TestMessagesAreDeliveredInOrder(t *testing.T) {
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
			t.Fatalf("got group %d with %d microseconds left, want group %d and at most 60 s", sub.Group, sub.RemainingMicroseconds, group)
		}
	}
}

// TestUndeliveredMessagesAreReported: a message is reported as not written if the peer cannot be reached, if the
// time of the sub-query has run out, or if the message is too large.
func TestUndeliveredMessagesAreReported(t *testing.T) {
	nobody := testio.FreeAddress(t)
	receiver, got := start(t)
	large := subQuery(60_000_000)
	large.Body = make([]byte, message.MaximumPayload+1)
	cases := []struct {
		name string
		to   string
		sub  *message.SubQuery
	}{
		{"unreachable peer", nobody, subQuery(60_000_000)},
		{"no time left", receiver.Address(), subQuery(0)},
		{"message too large", receiver.Address(), large},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sender, senderEvents := start(t)
			sender.Send(c.to, c.sub)
			if receive(t, "undelivered", senderEvents.undelivered) {
				t.Error("the message is reported as possibly received by the peer")
			}
		})
	}
	if len(got.messages) > 0 {
		t.Error("a message was delivered")
	}
}

// TestLostConnectionIsReported: the loss of a connection is reported to the side that sent queries on it.
func TestLostConnectionIsReported(t *testing.T) {
	sender, senderEvents := start(t)
	receiver, got := start(t)
	sender.Send(receiver.Address(), subQuery(60_000_000))
	receive(t, "the sub-query", got.messages)
	receiver.Close()
	if peer := receive(t, "the loss of the connection", senderEvents.lost); peer != receiver.Address() {
		t.Errorf("the lost connection was to %s, want the receiver", peer)
	}
}

// TestMalformedInputClosesConnection: malformed input closes the connection on which it arrived. Other connections
// continue.
func TestMalformedInputClosesConnection(t *testing.T) {
	receiver, got := start(t)
	inputs := map[string][]byte{
		"not a frame":    []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		"no hello first": message.Encode(&message.SubCancel{}),
		"wrong checksum": append(message.Encode(&message.Hello{Address: "a"}), append(message.Encode(&message.SubCancel{})[:message.HeaderSize], []byte("not the payload!")...)...),
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
			_ = connection.SetReadDeadline(time.Now().Add(testTimeout))
			if _, err := connection.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
				t.Errorf("the connection was not closed: %v", err)
			}
		})
	}
	sender, _ := start(t)
	sender.Send(receiver.Address(), subQuery(60_000_000))
	receive(t, "a sub-query after malformed input", got.messages)
}
