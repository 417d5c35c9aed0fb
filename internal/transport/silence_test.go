package transport

import (
	"testing"
	"testing/synctest"
	"time"

	"stiletrail/internal/history"
	"stiletrail/internal/message"
	"stiletrail/internal/networktest"
)

// replacementTimeout is the time within which a message on a silent connection must have led to a new connection.
const replacementTimeout = 3 * time.Second

// TestSilentConnectionIsReplaced: a connection no longer reaches the peer although writes to it succeed. It is
// replaced soon, and messages sent later arrive.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := networktest.New(12)
		sender, received := pair(t, network)
		sender.Send("b:1", &message.StoreDigest{Revision: history.At(1, 1)})
		receive(t, "the first digest", received.messages)
		network.Silence()
		silent := time.Now()
		for len(received.messages) == 0 && time.Since(silent) < time.Minute {
			sender.Send("b:1", &message.StoreDigest{Revision: history.At(1, 2)})
			time.Sleep(300 * time.Millisecond)
		}
		if took := time.Since(silent); took > replacementTimeout {
			t.Errorf("no message arrived for %v after the connection fell silent, want at most 3 s", took)
		}
	})
}

// TestAcknowledgedConnectionIsKept: a connection whose frames are acknowledged stays open. It carries all messages,
// also after idle times and in bursts.
func TestAcknowledgedConnectionIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := networktest.New(300)
		sender, received := pair(t, network)
		for round := range 20 {
			for range 3 * (1 + round%4) {
				sender.Send("b:1", &message.StoreDigest{Revision: history.At(1, 1)})
				<-received.messages
			}
			time.Sleep(time.Duration(round) * time.Second)
		}
		if dialled, silent := network.Dialled(), sender.Counters.SilentConnections.Load(); dialled != 1 || silent != 0 {
			t.Errorf("%d connections were opened and %d closed as silent, want 1 and 0", dialled, silent)
		}
	})
}

// TestLargeFrameOnSlowLinkIsNotSilence: a frame that takes seconds to transmit over a slow link does not make the
// connection count as silent. The frames before and after it are acknowledged meanwhile.
func TestLargeFrameOnSlowLinkIsNotSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := networktest.New(12).WithRate(300 << 10)
		sender, received := pair(t, network)
		large := &message.StoreRecords{Records: []message.StoreRecord{{Key: "k", Revision: history.At(1, 1), Value: make([]byte, 1<<20)}}}
		for _, m := range []message.Message{&message.StoreDigest{Revision: history.At(1, 1)}, large, &message.StoreDigest{Revision: history.At(1, 2)}} {
			sender.Send("b:1", m)
			time.Sleep(5 * time.Millisecond)
		}
		for range 3 {
			receive(t, "all three messages", received.messages)
		}
		if silent := sender.Counters.SilentConnections.Load(); silent != 0 {
			t.Errorf("%d connections were closed as silent, want 0", silent)
		}
	})
}

// TestAgeIncludesQueueTime: the age in a message includes the time for which the message waited for a connection.
func TestAgeIncludesQueueTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := networktest.New(200)
		sender, received := pair(t, network)
		sender.setPeerVersion("b:1", message.VersionAges)
		sender.Send("b:1", &message.StoreDigest{Revision: history.At(1, 1), Confirmation: message.Confirmation{Confirmed: true, AgeMs: 50}})
		if got := receive(t, "the digest", received.messages).(*message.StoreDigest); got.AgeMs != 450 {
			t.Errorf("an age of 50 ms is reported as %d ms after 400 ms of dialling, want 450 ms", got.AgeMs)
		}
	})
}

// pair opens two transports. It returns the one at a:1 and the events of the one at b:1. Both are closed when the
// test ends.
func pair(t *testing.T, network Network) (sender *Transport, received *events) {
	t.Helper()
	sender, receiver := listenAt(t, network, "a:1"), listenAt(t, network, "b:1")
	received = newEvents()
	receiver.Serve(received)
	sender.Serve(newEvents())
	t.Cleanup(func() {
		sender.Close()
		receiver.Close()
	})
	return sender, received
}

func listenAt(t *testing.T, network Network, address string) *Transport {
	t.Helper()
	opened, err := ListenOn(network, address, address, ControlSizes)
	if err != nil {
		t.Fatal(err)
	}
	return opened
}
