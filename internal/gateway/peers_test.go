package gateway_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/forward"
	"stiletrail/internal/gateway"
	"stiletrail/internal/history"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
	"stiletrail/internal/routing"
	"stiletrail/internal/settings"
)

// network delivers messages between gateways on the virtual clock.
type network struct {
	delay time.Duration

	mutex     sync.Mutex
	receivers map[string]receiver
	// droppedFrom holds the addresses whose messages are dropped.
	droppedFrom map[string]bool
	// droppedUntil is the moment before which all messages are dropped.
	droppedUntil time.Time
	// partitioned, if set, reports whether messages from one address to another are dropped.
	partitioned func(from, to string) bool
	// lateness, if set, returns how much longer than delay a message from one address to another is under way.
	lateness func(from, to string) time.Duration
}

func newNetwork() *network {
	return &network{delay: 12 * time.Millisecond, receivers: map[string]receiver{}, droppedFrom: map[string]bool{}}
}

// dropFrom drops all messages that an address sends from now on.
func (n *network) dropFrom(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.droppedFrom[address] = true
}

func (n *network) delivers(address string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return !n.droppedFrom[address] && !time.Now().Before(n.droppedUntil)
}

// dropAllFor drops all messages for some time: until the nodes would have noticed the stalled connections and
// replaced them.
func (n *network) dropAllFor(length time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.droppedUntil = time.Now().Add(length)
}

func (n *network) connected(from, to string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.partitioned == nil || !n.partitioned(from, to)
}

// partition drops the messages between addresses for which the function returns true. Nil ends the partition.
func (n *network) partition(partitioned func(from, to string) bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.partitioned = partitioned
}

// delayMessages makes messages arrive later than usual, by the time that the function returns. Nil ends that for messages
// that are sent from now on.
func (n *network) delayMessages(lateness func(from, to string) time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.lateness = lateness
}

// travelTime returns how long a message that is sent now is under way.
func (n *network) travelTime(from, to string) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.lateness == nil {
		return n.delay
	}
	return n.delay + n.lateness(from, to)
}

// receiver is a gateway, or what a test puts in its place.
type receiver interface {
	Message(from string, m message.Message)
}

// attach lets a receiver have what is sent to an address from now on.
func (n *network) attach(address string, r receiver) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.receivers[address] = r
}

func (n *network) at(address string) receiver {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.receivers[address]
}

// peerTransport is the transport by which one gateway sends to its peers over the network.
type peerTransport struct {
	network *network
	address string
}

// Send implements gateway.PeerTransport.
func (e peerTransport) Send(to string, m message.Message) {
	travel := e.network.travelTime(e.address, to)
	go func() {
		time.Sleep(travel)
		if receiver := e.network.at(to); receiver != nil && e.network.delivers(e.address) && e.network.connected(e.address, to) {
			receiver.Message(e.address, m)
		}
	}()
}

// cluster is a group of gateways that read one store, each over a connection of its own.
type cluster struct {
	store    *fakeStore
	stores   []*nodeStore
	gateways []*gateway.Gateway
	network  *network
	backEnds *fakeBackEnds
	contexts []context.CancelFunc
	// zoneOf returns the zone of a node; nil puts all nodes into "zone". regions maps zones to regions; nil maps
	// "zone" to "a" and "other" to "b".
	zoneOf  func(number int) string
	regions map[string]string
	// named gives each node a name of its own, by which it takes its turns.
	named bool
	// seeds are the nodes that all nodes know from the start; nil for nodes 0 and 1.
	seeds []int
	// starts counts the starts of all nodes. Each process has a generation of its own.
	starts uint64
}

// nodeStore is the store as one node reaches it.
type nodeStore struct {
	*fakeStore
	disconnected atomic.Bool
	// stalls counts how often the connections of this node's calls have stalled. A call that was in flight then never
	// ends by itself.
	stalls atomic.Int64
	// watchDelay is how long the answer of a watch that brings changes takes to reach this node, in nanoseconds.
	watchDelay atomic.Int64
	// answerDelay is how long any answer to a listing or a watch takes to reach this node, in nanoseconds.
	answerDelay atomic.Int64
}

// awaitAnswer waits until an answer that the store has just given reaches this node.
func (s *nodeStore) awaitAnswer(ctx context.Context) error {
	select {
	case <-time.After(time.Duration(s.answerDelay.Load())):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// List implements gateway.Store.
func (s *nodeStore) List(ctx context.Context, known history.Revision, after string) (gateway.Page, error) {
	if s.disconnected.Load() {
		return gateway.Page{}, errUnavailable
	}
	page, err := s.fakeStore.List(ctx, known, after)
	if lost := s.awaitAnswer(ctx); lost != nil {
		return gateway.Page{}, lost
	}
	return page, err
}

// Write implements gateway.Store.
func (s *nodeStore) Write(ctx context.Context, w gateway.StoreWrite) (bool, error) {
	if s.disconnected.Load() {
		return false, errUnavailable
	}
	return s.fakeStore.Write(ctx, w)
}

// GrantLease implements gateway.Store.
func (s *nodeStore) GrantLease(ctx context.Context, length clock.Ms) (gateway.LeaseID, error) {
	if s.disconnected.Load() {
		return 0, errUnavailable
	}
	return s.fakeStore.GrantLease(ctx, length)
}

// RenewLease implements gateway.Store.
func (s *nodeStore) RenewLease(ctx context.Context, lease gateway.LeaseID) (bool, error) {
	if s.disconnected.Load() {
		return false, errUnavailable
	}
	return s.fakeStore.RenewLease(ctx, lease)
}

// WriteLeased implements gateway.Store.
func (s *nodeStore) WriteLeased(ctx context.Context, key string, value []byte, lease gateway.LeaseID) (bool, error) {
	if s.disconnected.Load() {
		return false, errUnavailable
	}
	return s.fakeStore.WriteLeased(ctx, key, value, lease)
}

// Remove implements gateway.Store.
func (s *nodeStore) Remove(ctx context.Context, key string) error {
	if s.disconnected.Load() {
		return errUnavailable
	}
	return s.fakeStore.Remove(ctx, key)
}

// Watch implements gateway.Store.
func (s *nodeStore) Watch(ctx context.Context, revision history.Revision, wait time.Duration) ([]message.StoreRecord, history.Revision, error) {
	if s.disconnected.Load() {
		return nil, history.Revision{}, errUnavailable
	}
	before := s.stalls.Load()
	records, at, err := s.fakeStore.Watch(ctx, revision, wait)
	if s.stalls.Load() != before {
		<-ctx.Done()
		return nil, history.Revision{}, ctx.Err()
	}
	if delay := time.Duration(s.watchDelay.Load()); delay > 0 && len(records) > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return nil, history.Revision{}, ctx.Err()
		}
	}
	if lost := s.awaitAnswer(ctx); lost != nil {
		return nil, history.Revision{}, lost
	}
	return records, at, err
}

func address(number int) string { return fmt.Sprint("node-", number) }

func (c *cluster) start(number int) {
	loaded := settings.DefaultGateway()
	loaded.Zone = "zone"
	if c.zoneOf != nil {
		loaded.Zone = c.zoneOf(number)
	}
	if c.named {
		loaded.Node = address(number)
	}
	loaded.RetrySlack = 60
	loaded.Regions = map[string]string{"zone": "a", "other": "b"}
	if c.regions != nil {
		loaded.Regions = c.regions
	}
	c.starts++
	g := gateway.New(withSeed(loaded, uint64(number)+7), c.backEnds, c.stores[number], discardLog{})
	self := membership.Member{Address: address(number), Zone: loaded.Zone, Region: loaded.Regions[loaded.Zone], Generation: c.starts, Incarnation: uint64(time.Now().UnixMilli())}
	g.Join(self, c.seedAddresses(), peerTransport{c.network, address(number)})
	ctx, cancel := context.WithCancel(context.Background())
	c.gateways[number], c.contexts[number] = g, cancel
	c.network.attach(address(number), g)
	go g.Run(ctx)
}

func withCluster(t *testing.T, nodes int, test func(t *testing.T, c *cluster)) {
	withClusterInZones(t, nodes, nil, test)
}

// withClusterInZones runs a test on a cluster whose nodes are in the zones that zoneOf returns.
func withClusterInZones(t *testing.T, nodes int, zoneOf func(number int) string, test func(t *testing.T, c *cluster)) {
	runCluster(t, nodes, &cluster{zoneOf: zoneOf}, test)
}

// runCluster runs a test on a cluster with the given options.
func runCluster(t *testing.T, nodes int, c *cluster, test func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c.store, c.network = newStore(), newNetwork()
		c.backEnds = &fakeBackEnds{handler: answerAfter(20 * time.Millisecond)}
		c.gateways, c.contexts = make([]*gateway.Gateway, nodes), make([]context.CancelFunc, nodes)
		c.store.put(configuration(1))
		for i := range shards {
			c.store.put(backEnd(fmt.Sprint("s", i), "-near", "zone"))
		}
		for i := range nodes {
			c.stores = append(c.stores, &nodeStore{fakeStore: c.store})
			c.start(i)
		}
		time.Sleep(12 * time.Second)
		test(t, c)
		for _, cancel := range c.contexts {
			cancel()
		}
		c.network.delayMessages(nil)
		c.network.dropAllFor(time.Minute)
		time.Sleep(10 * time.Second)
		synctest.Wait()
	})
}

// seedAddresses returns the addresses of the seeds.
func (c *cluster) seedAddresses() (addresses []string) {
	if c.seeds == nil {
		return []string{address(0), address(1)}
	}
	for _, number := range c.seeds {
		addresses = append(addresses, address(number))
	}
	return addresses
}

// kill ends the process of a node. What is sent to it from now on is lost.
func (c *cluster) kill(number int) {
	c.contexts[number]()
	c.network.attach(address(number), nil)
}

// TestNodeWithoutStoreAccess checks that a node that cannot reach the store has each change in force within three
// seconds all the same, because its peers announce it.
func TestNodeWithoutStoreAccess(t *testing.T) {
	withCluster(t, 5, func(t *testing.T, c *cluster) {
		c.stores[3].disconnected.Store(true)
		time.Sleep(20 * time.Second)
		for version := uint64(2); version < 8; version++ {
			c.store.put(configuration(version))
			time.Sleep(3 * time.Second)
			if got := c.gateways[3].Version(); got != version {
				t.Errorf("version %d is in force three seconds after version %d was put", got, version)
			}
		}
		removed := backEnd("s0", "-near", "zone")
		c.store.put(gateway.Item{Key: removed.Key, Deleted: true})
		time.Sleep(3 * time.Second)
		if known := c.gateways[3].BackEndsKnown(); known != shards-1 {
			t.Errorf("%d back ends are known three seconds after one was removed", known)
		}
	})
}

// TestRestartDuringStoreOutage checks that a node that starts while no node reaches the store soon serves with what
// its peers know.
func TestRestartDuringStoreOutage(t *testing.T) {
	withCluster(t, 4, func(t *testing.T, c *cluster) {
		for _, store := range c.stores {
			store.disconnected.Store(true)
		}
		time.Sleep(10 * time.Second)
		c.contexts[2]()
		c.start(2)
		time.Sleep(2 * time.Second)
		if !c.gateways[2].Ready() || c.gateways[2].BackEndsKnown() != shards {
			t.Errorf("ready is %v with %d back ends known, want a ready node that knows one of each shard", c.gateways[2].Ready(), c.gateways[2].BackEndsKnown())
		}
	})
}

// TestAllWatchesWithoutEvents checks that a change is in force on all nodes within three seconds although no node's
// watch delivers events and the store has dropped its history. Each watch waits longer than that.
func TestAllWatchesWithoutEvents(t *testing.T) {
	withCluster(t, 9, func(t *testing.T, c *cluster) {
		time.Sleep(20 * time.Second)
		c.store.update(func(s *fakeStore) { s.suppressEvents = true })
		time.Sleep(100 * time.Millisecond)
		c.store.put(configuration(2))
		c.store.update(func(s *fakeStore) { s.compacted, s.history = s.revision, nil })
		time.Sleep(500 * time.Millisecond)
		c.store.update(func(s *fakeStore) { s.suppressEvents = false })
		time.Sleep(2400 * time.Millisecond)
		for number, g := range c.gateways {
			if g.Version() != 2 {
				t.Errorf("node %d has version %d three seconds after the change, want 2", number, g.Version())
			}
		}
	})
}

// TestRegionWithoutStoreAccess checks that, while no node of a region reaches the store, they learn each change from
// the nodes of another region. That takes at most three seconds where all nodes send each other changes, and at most
// five where only single messages cross the border of the regions.
func TestRegionWithoutStoreAccess(t *testing.T) {
	for nodes, within := range map[int]time.Duration{8: 3 * time.Second, 14: 5 * time.Second} {
		withoutAccess := func(number int) bool { return number >= nodes/2 }
		zoneOf := func(number int) string {
			if withoutAccess(number) {
				return "other"
			}
			return "zone"
		}
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			withClusterInZones(t, nodes, zoneOf, func(t *testing.T, c *cluster) {
				for number := range nodes {
					c.stores[number].disconnected.Store(withoutAccess(number))
				}
				for version := uint64(2); version < 6; version++ {
					time.Sleep(7 * time.Second)
					c.store.put(configuration(version))
					time.Sleep(within)
					for number, g := range c.gateways {
						if g.Version() != version {
							t.Errorf("node %d has version %d in force %v after version %d was put", number, g.Version(), within, version)
						}
					}
				}
			})
		})
	}
}

// TestNodesShareStoreCalls checks that each of nine nodes calls the store less often than a single node does.
func TestNodesShareStoreCalls(t *testing.T) {
	withCluster(t, 9, func(t *testing.T, c *cluster) {
		before := c.store.callCount()
		time.Sleep(10 * time.Minute)
		each := float64(c.store.callCount()-before) / 9
		if alone := (10 * time.Minute).Seconds() / 2.5; each > 0.6*alone {
			t.Errorf("%.0f store calls per node in ten minutes, a single node makes %.0f", each, alone)
		}
	})
}

// TestStartupConnectionShare checks that nodes that have just started together use half of their share of a back
// end's connections, since the back end may still count the connections of their previous processes. Later they use
// all of it. A node that is started alone uses its whole share from the beginning.
func TestStartupConnectionShare(t *testing.T) {
	for name, test := range map[string]struct {
		restarted []int
		want      []int
	}{
		"all nodes restart": {[]int{0, 1, 2, 3}, []int{2, 4}},
		"one node restarts": {[]int{2}, []int{4, 4}},
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 4, func(t *testing.T, c *cluster) {
				limited := configuration(2)
				configurationOf(limited).Services = []routing.Service{{Name: "s0", MaximumConnections: 16}}
				c.store.put(limited)
				for _, number := range test.restarted {
					c.contexts[number]()
					c.start(number)
				}
				c.backEnds.setHandler(answerAfter(900 * time.Millisecond))
				for step, wait := range []time.Duration{3 * time.Second, 8 * time.Second} {
					time.Sleep(wait)
					if got := c.concurrentAttempts(2, "/one/x"); got != test.want[step] {
						t.Errorf("%d concurrent requests at a back end after %s more, want %d", got, wait, test.want[step])
					}
				}
			})
		})
	}
}

// TestStartupRetrySlack checks that the processes of a node that restarts several times within one window have no
// more retry slack together than one process has.
func TestStartupRetrySlack(t *testing.T) {
	withCluster(t, 4, func(t *testing.T, c *cluster) {
		c.store.put(backEnd("s0", "-far", "other"))
		c.backEnds.setHandler(func(context.Context, gateway.BackEndRequest) forward.Outcome {
			return forward.Outcome{Kind: forward.Refused}
		})
		const restarts, requests = 3, 6
		before := len(c.backEnds.sentRequests())
		for range restarts {
			c.contexts[0]()
			c.start(0)
			// With 200 ms for each request, one process lives for 3.2 s.
			time.Sleep(2 * time.Second)
			for range requests {
				c.gateways[0].Serve(context.Background(), &gateway.Call{ID: "id", Host: "h", Path: "/one/x"})
			}
		}
		extras := float64(len(c.backEnds.sentRequests()) - before - restarts*requests)
		// At startup a node's share of the slack is half of 60 over four nodes.
		if share := 60.0 / 8; extras > share+0.2*restarts*requests {
			t.Errorf("%v extra attempts by three processes within ten seconds, one process may send %v", extras, share)
		}
		time.Sleep(10 * time.Second)
		before = len(c.backEnds.sentRequests())
		for range requests {
			c.gateways[0].Serve(context.Background(), &gateway.Call{ID: "id", Host: "h", Path: "/one/x"})
		}
		if extras := len(c.backEnds.sentRequests()) - before - requests; extras < 7 {
			t.Errorf("%d extra attempts after a whole window, want the node's share of the slack, at least 7", extras)
		}
	})
}

// concurrentAttempts sends six requests at once to a node and returns how many attempts it has in flight at back
// ends.
func (c *cluster) concurrentAttempts(node int, path string) int {
	before := len(c.backEnds.sentRequests())
	var calls sync.WaitGroup
	for range 6 {
		calls.Go(func() {
			c.gateways[node].Serve(context.Background(), &gateway.Call{ID: "id", Host: "h", Path: path})
		})
	}
	time.Sleep(50 * time.Millisecond)
	sent := len(c.backEnds.sentRequests()) - before
	calls.Wait()
	return sent
}

// TestChangedSeeds: a node whose seeds were all replaced by other machines met nobody, although its settings had named the new ones
// meanwhile, until it was restarted.
func TestChangedSeeds(t *testing.T) {
	runCluster(t, 3, &cluster{seeds: []int{0, 1, 2}}, func(t *testing.T, c *cluster) {
		for number := range c.gateways {
			c.kill(number)
		}
		c.seeds = []int{2}
		c.start(2)
		c.seeds = []int{0, 1}
		c.start(0)
		time.Sleep(20 * time.Second)
		if nodes := c.gateways[2].Status().Nodes; nodes != 1 {
			t.Fatalf("the node has met %d nodes before its seeds have changed", nodes)
		}
		c.gateways[2].SetSeeds([]string{address(0), address(1)})
		time.Sleep(15 * time.Second)
		if nodes := c.gateways[2].Status().Nodes; nodes != 2 {
			t.Errorf("the node knows %d nodes after its seeds have changed, want 2", nodes)
		}
	})
}
