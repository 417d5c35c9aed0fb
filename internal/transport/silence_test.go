package transport

import (
	"testing"
	"testing/synctest"
	"time"

	"stiletrail/internal/message"
	"stiletrail/internal/standin"
)

// noticedWithin is the time after which what is sent on a silent connection has led to a new one.
const noticedWithin = 3 * time.Second

// TestSilentConnectionIsReplaced: a connection that has fallen silent, which no write tells, is given up soon, and what is sent later arrives.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewNetwork(12)
		sender, receiver := on(t, network, "a:1"), on(t, network, "b:1")
		heard := newEvents()
		receiver.Serve(heard)
		sender.Serve(newEvents())
		sender.Send("b:1", &message.StoreDigest{Revision: 1})
		receive(t, "the first digest", heard.messages)
		network.Silence()
		silent := time.Now()
		for len(heard.messages) == 0 && time.Since(silent) < time.Minute {
			sender.Send("b:1", &message.StoreDigest{Revision: 2})
			time.Sleep(300 * time.Millisecond)
		}
		if took := time.Since(silent); took > noticedWithin {
			t.Errorf("nothing arrived for %v", took)
		}
		sender.Close()
		receiver.Close()
	})
}

func on(t *testing.T, network Network, address string) *Transport {
	t.Helper()
	opened, err := ListenOn(network, address, address, ControlSizes)
	if err != nil {
		t.Fatal(err)
	}
	return opened
}
