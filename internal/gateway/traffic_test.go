package gateway_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"stiletrail/internal/gateway"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
	"stiletrail/internal/settings"
)

// traffic counts the bytes that nodes send each other, in all and between regions.
type traffic struct {
	mutex sync.Mutex
	all   int
	far   int
}

// countedEnd is an end of the network whose messages are counted. A node's region is its number modulo the regions.
type countedEnd struct {
	end
	traffic *traffic
	number  int
}

const trafficRegions = 3

// Send implements gateway.PeerTransport.
func (e countedEnd) Send(to string, m message.Message) {
	var number int
	_, _ = fmt.Sscanf(to, "node-%d", &number)
	size := len(message.Encode(m))
	e.traffic.mutex.Lock()
	e.traffic.all += size
	if number%trafficRegions != e.number%trafficRegions {
		e.traffic.far += size
	}
	e.traffic.mutex.Unlock()
	e.end.Send(to, m)
}

// TestPeerTraffic starts many nodes at once while hundreds of back ends register, and bounds what the nodes send each other in
// the first 45 seconds: views that agree are not sent, copies of the store are asked for only when they are needed.
func TestPeerTraffic(t *testing.T) {
	const nodes, backEnds = 120, 400
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{store: newStore(), network: newNetwork()}
		sent := &traffic{}
		for i := range nodes {
			loaded := settings.DefaultGateway()
			loaded.Zone = fmt.Sprint("zone-", i%trafficRegions)
			loaded.Regions = map[string]string{"zone-0": "r0", "zone-1": "r1", "zone-2": "r2"}
			g := gateway.New(seeded(loaded, uint64(i)), &fakeBackEnds{}, c.store, silentJournal{})
			g.Join(membership.Member{
				Address: address(i), Zone: loaded.Zone, Region: loaded.Regions[loaded.Zone], Generation: uint64(i) + 1, Incarnation: 1,
			}, []string{address(0), address(1), address(2)}, countedEnd{end{c.network, address(i)}, sent, i})
			ctx, cancel := context.WithCancel(context.Background())
			c.gateways, c.contexts = append(c.gateways, g), append(c.contexts, cancel)
			c.network.attach(address(i), g)
			go g.Run(ctx)
		}
		c.store.put(configuration(1))
		for i := range backEnds {
			c.store.put(backEnd(fmt.Sprint("s", i%40), fmt.Sprint("-", i), fmt.Sprint("zone-", i%trafficRegions)))
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(41 * time.Second)
		for number, g := range c.gateways {
			if g.BackEndsKnown() != backEnds || g.Belief().Nodes != nodes {
				t.Errorf("node %d knows %d back ends and %d nodes", number, g.BackEndsKnown(), g.Belief().Nodes)
			}
		}
		all, far := sent.all/nodes, sent.far/nodes
		t.Logf("%d bytes a node, %d of them to other regions", all, far)
		if all > 54<<10 || far > 14<<10 {
			t.Errorf("a node sends %d bytes in 45 s, %d of them to other regions", all, far)
		}
		for _, cancel := range c.contexts {
			cancel()
		}
		time.Sleep(20 * time.Second)
		synctest.Wait()
	})
}
