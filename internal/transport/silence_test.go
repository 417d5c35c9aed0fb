package transport

import (
	"testing"
	"testing/synctest"
	"time"

	"stiletrail/internal/history"
	"stiletrail/internal/message"
	"stiletrail/internal/networktest"
)

// noticedWithin is the time after which what is sent on a silent connection has led to a new one.
const noticedWithin = 3 * time.Second

// TestSilentConnectionIsReplaced: a connection that has fallen silent, which no write tells, is given up soon, and what is sent later arrives.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := networktest.New(12)
		sender, heard := pair(t, network)
		sender.Send("b:1", &message.StoreDigest{Revision: history.At(1, 1)})
		receive(t, "the first digest", heard.messages)
		network.Silence()
		silent := time.Now()
		for len(heard.messages) == 0 && time.Since(silent) < time.Minute {
			sender.Send("b:1", &message.StoreDigest{Revision: history.At(1, 2)})
			time.Sleep(300 * time.Millisecond)
		}
		if took := time.Since(silent); took > noticedWithin {
			t.Errorf("nothing arrived for %v", took)
		}
	})
}

// TestSoundConnectionIsKept: a connection whose frames are acknowledged carries all of them, also after a rest and when many come at once.
func TestSoundConnectionIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := networktest.New(300)
		sender, heard := pair(t, network)
		for round := range 20 {
			for range 3 * (1 + round%4) {
				sender.Send("b:1", &message.StoreDigest{Revision: history.At(1, 1)})
				<-heard.messages
			}
			time.Sleep(time.Duration(round) * time.Second)
		}
		if dialled, silent := network.Dialled(), sender.Counters.SilentConnections.Load(); dialled != 1 || silent != 0 {
			t.Errorf("%d connections, %d given up as silent", dialled, silent)
		}
	})
}

// TestLargeFrameHasItsTime: a frame that a slow link takes seconds for does not count as silence, also with others acknowledged meanwhile.
func TestLargeFrameHasItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := networktest.New(12).WithRate(300 << 10)
		sender, heard := pair(t, network)
		large := &message.StoreRecords{Records: []message.StoreRecord{{Key: "k", Revision: history.At(1, 1), Value: make([]byte, 1<<20)}}}
		for _, m := range []message.Message{&message.StoreDigest{Revision: history.At(1, 1)}, large, &message.StoreDigest{Revision: history.At(1, 2)}} {
			sender.Send("b:1", m)
			time.Sleep(5 * time.Millisecond)
		}
		for range 3 {
			receive(t, "all three", heard.messages)
		}
		if silent := sender.Counters.SilentConnections.Load(); silent != 0 {
			t.Errorf("%d connections were given up as silent", silent)
		}
	})
}

// TestAgeGrowsWhileWaiting: what a message says of an age is true when it is sent, also where it waited for a connection.
func TestAgeGrowsWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := networktest.New(200)
		sender, heard := pair(t, network)
		sender.Send("b:1", &message.StoreDigest{Revision: history.At(1, 1), Confirmation: message.Confirmation{Confirmed: true, AgeMs: 50}})
		if got := receive(t, "the digest", heard.messages).(*message.StoreDigest); got.AgeMs != 450 {
			t.Errorf("an age of 50 ms is %d ms after 400 ms of dialling", got.AgeMs)
		}
	})
}

// pair opens two transports, and returns the one at a:1 with what the one at b:1 hears. Both are closed when the test is over.
func pair(t *testing.T, network Network) (sender *Transport, heard *events) {
	t.Helper()
	sender, receiver := on(t, network, "a:1"), on(t, network, "b:1")
	heard = newEvents()
	receiver.Serve(heard)
	sender.Serve(newEvents())
	t.Cleanup(func() {
		sender.Close()
		receiver.Close()
	})
	return sender, heard
}

func on(t *testing.T, network Network, address string) *Transport {
	t.Helper()
	opened, err := ListenOn(network, address, address, ControlSizes)
	if err != nil {
		t.Fatal(err)
	}
	return opened
}
