package transport

import (
	"bufio"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"stiletrail/internal/history"
	"stiletrail/internal/message"
	"stiletrail/internal/networktest"
)

// TestConfirmationOfPeerVersion guards against undated confirmations between nodes that can date them: the first message to
// a peer carries no confirmation. It is sent again after its acknowledgement, and carries the reading of the sender's clock
// then, as all messages after it.
func TestConfirmationOfPeerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender, received := pair(t, networktest.New(12))
		confirmation := message.Confirmation{Confirmed: true, AgeMs: 50, At: 7}
		for round, want := range []message.Confirmation{{}, confirmation, confirmation} {
			if round != 1 {
				sender.Send("b:1", &message.StoreDigest{Revision: history.At(1, 1), Confirmation: confirmation})
			}
			if got := receive(t, "a digest", received.messages).(*message.StoreDigest); got.At != want.At || got.Confirmed != want.Confirmed {
				t.Errorf("message %d has the confirmation %+v, want %+v", round, got.Confirmation, want)
			}
			time.Sleep(time.Second)
		}
	})
}

// TestConfirmationOfEarlierRelease guards against frames that a node of an earlier release takes for malformed: a peer that
// acknowledges as such a release does gets ages only, also from a sender that has known a later one at its address.
func TestConfirmationOfEarlierRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := networktest.New(12)
		sender := listenAt(t, network, "a:1")
		sender.Serve(newEvents())
		t.Cleanup(sender.Close)
		digests := acknowledgeAs(t, network, "b:1", message.VersionAges)
		for round, want := range []message.Confirmation{{}, {Confirmed: true, AgeMs: 50}, {Confirmed: true, AgeMs: 50}} {
			if round != 1 {
				sender.Send("b:1", &message.StoreDigest{Revision: history.At(1, 1), Confirmation: message.Confirmation{Confirmed: true, AgeMs: 50, At: 7}})
			}
			if got := receive(t, "a digest", digests); got.At != 0 || got.Confirmed != want.Confirmed {
				t.Errorf("message %d has the confirmation %+v, want %+v", round, got.Confirmation, want)
			}
			time.Sleep(time.Second)
		}
	})
}

// TestPeerVersionIsForgotten guards against frames that a restarted peer takes for malformed: its version is not known any
// more once the connection to it is lost.
func TestPeerVersionIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := networktest.New(12)
		sender := listenAt(t, network, "a:1")
		sender.Serve(newEvents())
		t.Cleanup(sender.Close)
		receiver := listenAt(t, network, "b:1")
		received := newEvents()
		receiver.Serve(received)
		sender.Send("b:1", &message.StoreDigest{Revision: history.At(1, 1)})
		receive(t, "a digest", received.messages)
		time.Sleep(time.Second)
		known := sender.peerVersion("b:1")
		receiver.Close()
		time.Sleep(time.Second)
		if lost := sender.peerVersion("b:1"); known != message.CurrentVersion || lost != message.VersionUnknown {
			t.Errorf("the peer's version is %d while it runs and %d after its end, want %d and %d", known, lost, message.CurrentVersion, message.VersionUnknown)
		}
	})
}

// acknowledgeAs accepts a connection at an address and acknowledges its frames as a node that reads a version. It returns the
// digests that arrive.
func acknowledgeAs(t *testing.T, network Network, address string, version message.Version) chan *message.StoreDigest {
	t.Helper()
	listener, err := network.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	digests := make(chan *message.StoreDigest, 10)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		reader := bufio.NewReader(connection)
		for {
			m, err := readMessage(reader)
			if err != nil {
				return
			}
			if digest, ok := m.(*message.StoreDigest); ok {
				_, _ = connection.Write([]byte{byte(version)})
				digests <- digest
			}
		}
	}()
	return digests
}

func readMessage(reader io.Reader) (message.Message, error) {
	var encoded [message.HeaderSize]byte
	if _, err := io.ReadFull(reader, encoded[:]); err != nil {
		return nil, err
	}
	header, err := message.DecodeHeader(encoded[:])
	if err != nil {
		return nil, err
	}
	payload := make([]byte, header.Length)
	if _, err := io.ReadFull(reader, payload); err != nil {
		return nil, err
	}
	return message.DecodePayload(header, payload)
}
