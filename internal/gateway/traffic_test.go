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

// traffic counts the bytes that nodes send each other, in all and between regions.
type traffic struct {
	mutex        sync.Mutex
	total        int
	otherRegions int
	// startedAt is when the windows began; windows has what each node sent in each.
	startedAt time.Time
	windows   map[nodeWindow]int
}

// trafficWindow is the time over which it is looked how much a node sends at once.
const trafficWindow = 250 * time.Millisecond

// nodeWindow is one window of one node.
type nodeWindow struct{ node, number int }

// takeBusiest gives the most that a node has sent in a window since the last call.
func (t *traffic) takeBusiest() (most int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, sent := range t.windows {
		most = max(most, sent)
	}
	clear(t.windows)
	return most
}

// countedTransport is an end of the network whose messages are counted. A node's region is its number modulo the regions.
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

// startNodes starts many nodes at once in the regions, whose messages are counted.
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

// stop ends all nodes.
func (c *cluster) stop() {
	for _, cancel := range c.contexts {
		cancel()
	}
	time.Sleep(20 * time.Second)
	synctest.Wait()
}

// TestPeerTraffic starts many nodes at once while hundreds of back ends register, and bounds what the nodes send each other in
// the first 45 seconds: views that agree are not sent, copies of the store are asked for only when they are needed.
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
				t.Errorf("node %d knows %d back ends and %d nodes", number, g.BackEndsKnown(), g.Status().Nodes)
			}
		}
		total, otherRegions := sent.total/nodes, sent.otherRegions/nodes
		t.Logf("%d bytes a node, %d of them to other regions", total, otherRegions)
		if total > 54<<10 || otherRegions > 14<<10 {
			t.Errorf("a node sends %d bytes in 45 s, %d of them to other regions", total, otherRegions)
		}
		c.stop()
	})
}

// TestAllNodesLearnOfCrashingRequest: of a request that has ended three back ends, each under another node of another region, all of many nodes know within a second, with the store
// incomplete; and the telling costs a node little.
func TestAllNodesLearnOfCrashingRequest(t *testing.T) {
	const (
		nodes = 120
		// countBetween is how long the telling may take, most what it may cost a node in bytes beside what nodes tell each other in any case.
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
		t.Logf("%d of %d nodes know, told with %d bytes a node in all, %d in a second without", informed, nodes, announced, usual)
		if informed < nodes {
			t.Errorf("%d of %d nodes know of the request after %v", informed, nodes, within)
		}
		if announced > maximumBytes {
			t.Errorf("the telling takes %d bytes a node", announced)
		}
		c.stop()
	})
}
