package gateway_test

import (
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"stiletrail/internal/message"
)

// drawnMessages are generators of the messages that a gateway takes from peers, with any values in their fields.
var drawnMessages = []*rapid.Generator[message.Message]{
	anyMessage[message.Probe](), anyMessage[message.ProbeAck](), anyMessage[message.ProbeRequest](), anyMessage[message.MemberSync](),
	anyMessage[message.StoreDigest](), anyMessage[message.StoreRequest](), anyMessage[message.StoreRecords](), anyMessage[message.Evidence](),
	anyMessage[message.BackEndReports](), anyMessage[message.AttemptCounts](), anyMessage[message.AttemptSums](), anyMessage[message.BackEndVerdicts](),
	anyMessage[message.QuotaReport](), anyMessage[message.QuotaGrant](), anyMessage[message.ClockRequest](), anyMessage[message.ClockAnswer](),
}

// anyMessage returns a generator of messages of one kind.
func anyMessage[M any, P interface {
	*M
	message.Message
}]() *rapid.Generator[message.Message] {
	return rapid.Map(rapid.Make[M](), func(m M) message.Message { return P(&m) })
}

// TestDrawnPeerMessages guards against a peer that ends a node, or takes its memory, by messages that can be decoded but
// make no sense: each field has any value. The node goes on with its periodic work between and after them.
func TestDrawnPeerMessages(t *testing.T) {
	const (
		drawnCount    = 5000
		maximumMemory = 64 << 20
	)
	senders := []string{address(1), address(2), "unknown", ""}
	drawn := rapid.OneOf(drawnMessages...)
	withCluster(t, 3, func(t *testing.T, c *cluster) {
		for seed := range drawnCount {
			c.gateways[0].Message(senders[seed%len(senders)], drawn.Example(seed))
			time.Sleep(time.Duration(seed%7) * 10 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		if memory.HeapAlloc > maximumMemory {
			t.Errorf("the process has %d bytes in use, want at most %d", memory.HeapAlloc, maximumMemory)
		}
	})
}
