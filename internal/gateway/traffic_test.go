package gateway_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"stiletrail/internal/forward"
	"stiletrail/internal/gateway"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/settings"
)

// traffic counts the bytes that nodes send each other, in total and between regions.
type traffic struct {
	mutex        sync.Mutex
	total        int
	otherRegions int
	// startedAt is when the first window began. windows holds the bytes that each node sent in each window.
	startedAt time.Time
	windows   map[nodeWindow]int
}

// trafficWindow is the length of the windows in which the bytes of each node are counted.
const trafficWindow = 250 * time.Millisecond

// nodeWindow identifies one window of one node.
type nodeWindow struct{ node, number int }

// takeBusiest returns the most bytes that one node has sent in one window since the last call.
func (t *traffic) takeBusiest() (busiest int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, sent := range t.windows {
		busiest = max(busiest, sent)
	}
	clear(t.windows)
	return busiest
}

// countedTransport is a transport that counts the bytes of its messages. A node's region is its number modulo
// trafficRegions.
type countedTransport struct {
	peerTransport
	traffic *traffic
	number  int
}

const trafficRegions = 3

// Send implements gateway.PeerTransport.
func (e countedTransport) Send(to string, m message.Message) {
	var number int
	_, _ = fmt.Sscanf(to, "node-%d", &number)
	size := len(message.Encode(m))
	e.traffic.mutex.Lock()
	e.traffic.total += size
	e.traffic.windows[nodeWindow{e.number, int(time.Since(e.traffic.startedAt) / trafficWindow)}] += size
	if number%trafficRegions != e.number%trafficRegions {
		e.traffic.otherRegions += size
	}
	e.traffic.mutex.Unlock()
	e.peerTransport.Send(to, m)
}

// startNodes starts many nodes at once, spread over the regions, and counts the bytes of their messages.
func startNodes(nodes int, backEnds *fakeBackEnds) (*cluster, *traffic) {
	c := &cluster{store: newStore(), network: newNetwork()}
	sent := &traffic{startedAt: time.Now(), windows: map[nodeWindow]int{}}
	for i := range nodes {
		loaded := settings.DefaultGateway()
		loaded.Zone = fmt.Sprint("zone-", i%trafficRegions)
		loaded.Regions = map[string]string{"zone-0": "r0", "zone-1": "r1", "zone-2": "r2"}
		g := gateway.New(withSeed(loaded, uint64(i)), backEnds, c.store, discardLog{})
		g.Join(membership.Member{
			Address: address(i), Zone: loaded.Zone, Region: loaded.Regions[loaded.Zone], Generation: uint64(i) + 1, Incarnation: 1,
		}, []string{address(0), address(1), address(2)}, countedTransport{peerTransport{c.network, address(i)}, sent, i})
		ctx, cancel := context.WithCancel(context.Background())
		c.gateways, c.contexts = append(c.gateways, g), append(c.contexts, cancel)
		c.network.attach(address(i), g)
		go g.Run(ctx)
	}
	return c, sent
}

// stop stops all nodes.
func (c *cluster) stop() {
	for _, cancel := range c.contexts {
		cancel()
	}
	time.Sleep(20 * time.Second)
	synctest.Wait()
}

// TestPeerTraffic starts many nodes at once while hundreds of back ends register, and bounds the bytes that nodes
// send each other in the first 45 seconds. Member views that agree must not be sent, and copies of the store must be
// requested only when they are needed.
func TestPeerTraffic(t *testing.T) {
	const nodes, backEnds = 120, 400
	synctest.Test(t, func(t *testing.T) {
		c, sent := startNodes(nodes, &fakeBackEnds{})
		c.store.put(configuration(1))
		for i := range backEnds {
			c.store.put(backEnd(fmt.Sprint("s", i%40), fmt.Sprint("-", i), fmt.Sprint("zone-", i%trafficRegions)))
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(41 * time.Second)
		for number, g := range c.gateways {
			if g.BackEndsKnown() != backEnds || g.Status().Nodes != nodes {
				t.Errorf("node %d knows %d back ends and %d nodes, want all", number, g.BackEndsKnown(), g.Status().Nodes)
			}
		}
		total, otherRegions := sent.total/nodes, sent.otherRegions/nodes
		t.Logf("%d bytes per node, %d of them to other regions", total, otherRegions)
		if total > 54<<10 || otherRegions > 14<<10 {
			t.Errorf("a node sends %d bytes in 45 s, %d of them to other regions, more than allowed", total, otherRegions)
		}
		c.stop()
	})
}

// TestAllNodesLearnOfCrashingRequest checks that all nodes of a large fleet know a crashing request within a second,
// without the store, and that this costs each node little traffic. The request has crashed three back ends, each
// through a node in another region.
func TestAllNodesLearnOfCrashingRequest(t *testing.T) {
	const (
		nodes = 120
		// within is how long it may take until all nodes know. maximumBytes is how many bytes a node may send for it,
		// in addition to its usual messages to peers.
		within       = time.Second
		maximumBytes = 8 << 10
	)
	synctest.Test(t, func(t *testing.T) {
		crash := func(context.Context, gateway.BackEndRequest) forward.Outcome {
			time.Sleep(10 * time.Millisecond)
			return forward.Outcome{Kind: forward.Lost, BackEndCrashed: true}
		}
		c, sent := startNodes(nodes, &fakeBackEnds{handler: crash})
		c.store.put(fleetConfiguration())
		for i := range 9 {
			c.store.put(backEnd(fleetShard(0), fmt.Sprint("-", i), fmt.Sprint("zone-", i%trafficRegions)))
		}
		time.Sleep(41 * time.Second)
		c.store.update(func(s *fakeStore) { s.err = errUnavailable })
		sentPerNode := func() int {
			sent.mutex.Lock()
			defer sent.mutex.Unlock()
			return sent.total / nodes
		}
		before := sentPerNode()
		time.Sleep(within)
		usual := sentPerNode() - before
		call := &gateway.Call{ID: "id", Host: "h", Path: "/once/!", Identity: quarantine.NewIdentity("caller", []byte("/once/!"), nil)}
		for _, number := range []int{7, 62, 114} {
			c.gateways[number].Serve(context.Background(), call)
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(within - 300*time.Millisecond)
		informed := 0
		for _, g := range c.gateways {
			if g.Status().Quarantined > 0 {
				informed++
			}
		}
		announced := sentPerNode() - before - usual
		t.Logf("%d of %d nodes know the request, for %d bytes per node in addition to the usual %d in a second", informed, nodes, announced, usual)
		if informed < nodes {
			t.Errorf("%d of %d nodes know the crashing request after %v, want all", informed, nodes, within)
		}
		if announced > maximumBytes {
			t.Errorf("announcing the crashing request takes %d bytes per node, more than allowed", announced)
		}
		c.stop()
	})
}
