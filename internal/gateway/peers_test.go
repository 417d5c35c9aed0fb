package gateway_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"stiletrail/internal/forward"
	"stiletrail/internal/gateway"
	"stiletrail/internal/history"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
	"stiletrail/internal/routing"
	"stiletrail/internal/settings"
)

// network carries messages between gateways on the virtual clock.
type network struct {
	delay time.Duration

	mutex    sync.Mutex
	gateways map[string]*gateway.Gateway
	// silenced addresses send nothing.
	silenced map[string]bool
	// silentUntil: nothing that anybody sends arrives before then.
	silentUntil time.Time
	// apart, where set, reports whether nothing goes from one address to another.
	apart func(from, to string) bool
}

func newNetwork() *network {
	return &network{delay: 12 * time.Millisecond, gateways: map[string]*gateway.Gateway{}, silenced: map[string]bool{}}
}

// silence has nothing that an address sends arrive from now on.
func (n *network) silence(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.silenced[address] = true
}

func (n *network) heard(address string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return !n.silenced[address] && !time.Now().Before(n.silentUntil)
}

// silenceAll has nothing arrive for some time: until connections that have fallen silent are noticed and replaced.
func (n *network) silenceAll(length time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.silentUntil = time.Now().Add(length)
}

func (n *network) reaches(from, to string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.apart == nil || !n.apart(from, to)
}

// separate has nothing go between addresses for which apart holds; nil heals that.
func (n *network) separate(apart func(from, to string) bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.apart = apart
}

// attach has a gateway receive what is sent to an address from now on.
func (n *network) attach(address string, g *gateway.Gateway) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.gateways[address] = g
}

func (n *network) at(address string) *gateway.Gateway {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.gateways[address]
}

// end is a gateway's own end of the network.
type end struct {
	network *network
	address string
}

// Send implements gateway.PeerTransport.
func (e end) Send(to string, m message.Message) {
	go func() {
		time.Sleep(e.network.delay)
		if receiver := e.network.at(to); receiver != nil && e.network.heard(e.address) && e.network.reaches(e.address, to) {
			receiver.Message(e.address, m)
		}
	}()
}

// cluster is some gateways that read one store, each through a path of its own that may be cut.
type cluster struct {
	store    *fakeStore
	paths    []*cutStore
	gateways []*gateway.Gateway
	network  *network
	backEnds *fakeBackEnds
	contexts []context.CancelFunc
	// zoneOf a node, nil for all in "zone". regions of the zones, nil for "zone" and "other".
	zoneOf  func(number int) string
	regions map[string]string
}

// cutStore is the store as one node reaches it.
type cutStore struct {
	*fakeStore
	cut atomic.Bool
	// silences counts how often the connections of calls under way have fallen silent: such a call never ends by itself.
	silences atomic.Int64
}

// List implements gateway.Store.
func (s *cutStore) List(ctx context.Context, known history.Revision, after string) (gateway.Page, error) {
	if s.cut.Load() {
		return gateway.Page{}, errDown
	}
	return s.fakeStore.List(ctx, known, after)
}

// Write implements gateway.Store.
func (s *cutStore) Write(ctx context.Context, w gateway.StoreWrite) (bool, error) {
	if s.cut.Load() {
		return false, errDown
	}
	return s.fakeStore.Write(ctx, w)
}

// Remove implements gateway.Store.
func (s *cutStore) Remove(ctx context.Context, key string) error {
	if s.cut.Load() {
		return errDown
	}
	return s.fakeStore.Remove(ctx, key)
}

// Watch implements gateway.Store.
func (s *cutStore) Watch(ctx context.Context, revision history.Revision, wait time.Duration) ([]message.StoreRecord, history.Revision, error) {
	if s.cut.Load() {
		return nil, history.Revision{}, errDown
	}
	before := s.silences.Load()
	records, at, err := s.fakeStore.Watch(ctx, revision, wait)
	if s.silences.Load() != before {
		<-ctx.Done()
		return nil, history.Revision{}, ctx.Err()
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
	loaded.RetrySlack = 60
	loaded.Regions = map[string]string{"zone": "a", "other": "b"}
	if c.regions != nil {
		loaded.Regions = c.regions
	}
	g := gateway.New(seeded(loaded, uint64(number)+7), c.backEnds, c.paths[number], silentLog{})
	self := membership.Member{Address: address(number), Zone: loaded.Zone, Region: loaded.Regions[loaded.Zone], Generation: uint64(number) + 1, Incarnation: uint64(time.Now().UnixMilli())}
	g.Join(self, []string{address(0), address(1)}, end{c.network, address(number)})
	ctx, cancel := context.WithCancel(context.Background())
	c.gateways[number], c.contexts[number] = g, cancel
	c.network.attach(address(number), g)
	go g.Run(ctx)
}

func playCluster(t *testing.T, nodes int, test func(t *testing.T, c *cluster)) {
	playClusterIn(t, nodes, nil, test)
}

// playClusterIn plays a cluster whose nodes stand in several zones.
func playClusterIn(t *testing.T, nodes int, zoneOf func(number int) string, test func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			store: newStore(), network: newNetwork(),
			backEnds: &fakeBackEnds{answer: after(20 * time.Millisecond)}, gateways: make([]*gateway.Gateway, nodes),
			contexts: make([]context.CancelFunc, nodes), zoneOf: zoneOf,
		}
		c.store.put(configuration(1))
		for i := range shards {
			c.store.put(backEnd(fmt.Sprint("s", i), "-near", "zone"))
		}
		for i := range nodes {
			c.paths = append(c.paths, &cutStore{fakeStore: c.store})
			c.start(i)
		}
		time.Sleep(12 * time.Second)
		test(t, c)
		for _, cancel := range c.contexts {
			cancel()
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
	})
}

// TestNodeThatTheStoreRefuses has each change in force within three seconds all the same: others tell it.
func TestNodeThatTheStoreRefuses(t *testing.T) {
	playCluster(t, 5, func(t *testing.T, c *cluster) {
		c.paths[3].cut.Store(true)
		time.Sleep(20 * time.Second)
		for version := uint64(2); version < 8; version++ {
			c.store.put(configuration(version))
			time.Sleep(3 * time.Second)
			if got := c.gateways[3].Version(); got != version {
				t.Errorf("version %d is in force three seconds after %d", got, version)
			}
		}
		gone := backEnd("s0", "-near", "zone")
		c.store.put(gateway.Item{Key: gone.Key, Deleted: true})
		time.Sleep(3 * time.Second)
		if known := c.gateways[3].BackEndsKnown(); known != shards-1 {
			t.Errorf("%d back ends are known three seconds after one left", known)
		}
	})
}

// TestRestartWhileTheStoreIsDown: a node that starts while nobody reaches the store serves soon with what the others know.
func TestRestartWhileTheStoreIsDown(t *testing.T) {
	playCluster(t, 4, func(t *testing.T, c *cluster) {
		for _, path := range c.paths {
			path.cut.Store(true)
		}
		time.Sleep(10 * time.Second)
		c.contexts[2]()
		c.start(2)
		time.Sleep(2 * time.Second)
		if !c.gateways[2].Ready() || c.gateways[2].BackEndsKnown() != shards {
			t.Errorf("ready %v, %d back ends known", c.gateways[2].Ready(), c.gateways[2].BackEndsKnown())
		}
	})
}

// TestSilentWatchesOfAll: with the watches of all nodes silent and the history dropped, the change is in force everywhere
// within three seconds, though each watch waits longer than that.
func TestSilentWatchesOfAll(t *testing.T) {
	playCluster(t, 9, func(t *testing.T, c *cluster) {
		time.Sleep(20 * time.Second)
		c.store.set(func(s *fakeStore) { s.silent = true })
		time.Sleep(100 * time.Millisecond)
		c.store.put(configuration(2))
		c.store.set(func(s *fakeStore) { s.dropped, s.history = s.revision, nil })
		time.Sleep(500 * time.Millisecond)
		c.store.set(func(s *fakeStore) { s.silent = false })
		time.Sleep(2400 * time.Millisecond)
		for number, g := range c.gateways {
			if g.Version() != 2 {
				t.Errorf("node %d has version %d three seconds after the change", number, g.Version())
			}
		}
	})
}

// TestRegionThatTheStoreRefuses: while the store refuses all nodes of a region, they learn each change from nodes of another: within three seconds where
// all nodes tell each other, within five where only single messages cross the border.
func TestRegionThatTheStoreRefuses(t *testing.T) {
	for nodes, within := range map[int]time.Duration{8: 3 * time.Second, 14: 5 * time.Second} {
		inB := func(number int) bool { return number >= nodes/2 }
		zoneOf := func(number int) string {
			if inB(number) {
				return "other"
			}
			return "zone"
		}
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			playClusterIn(t, nodes, zoneOf, func(t *testing.T, c *cluster) {
				for number := range nodes {
					c.paths[number].cut.Store(inB(number))
				}
				for version := uint64(2); version < 6; version++ {
					time.Sleep(7 * time.Second)
					c.store.put(configuration(version))
					time.Sleep(within)
					for number, g := range c.gateways {
						if g.Version() != version {
							t.Errorf("node %d has version %d, %v after version %d", number, g.Version(), within, version)
						}
					}
				}
			})
		})
	}
}

// TestCallsFallWithNodes: nine nodes call the store less often each than one alone.
func TestCallsFallWithNodes(t *testing.T) {
	playCluster(t, 9, func(t *testing.T, c *cluster) {
		before := c.store.callCount()
		time.Sleep(10 * time.Minute)
		each := float64(c.store.callCount()-before) / 9
		if alone := (10 * time.Minute).Seconds() / 2.5; each > 0.6*alone {
			t.Errorf("%.0f calls a node in ten minutes, one alone makes %.0f", each, alone)
		}
	})
}

// TestYoungShare: nodes that have just started together use half of their share of a back end's connections, since the back end may
// still count those of their earlier lives; later they use all of it, as one that was started alone does from the beginning.
func TestYoungShare(t *testing.T) {
	for name, test := range map[string]struct {
		restarted []int
		want      []int
	}{
		"all":   {[]int{0, 1, 2, 3}, []int{2, 4}},
		"alone": {[]int{2}, []int{4, 4}},
	} {
		t.Run(name, func(t *testing.T) {
			playCluster(t, 4, func(t *testing.T, c *cluster) {
				shared := configuration(2)
				configurationOf(shared).Services = []routing.Service{{Name: "s0", MaximumConnections: 16}}
				c.store.put(shared)
				for _, number := range test.restarted {
					c.contexts[number]()
					c.start(number)
				}
				c.backEnds.set(after(900 * time.Millisecond))
				for step, wait := range []time.Duration{3 * time.Second, 8 * time.Second} {
					time.Sleep(wait)
					if got := c.atOnce(2, "/one/x"); got != test.want[step] {
						t.Errorf("%d requests at once at a back end after %s more, want %d", got, wait, test.want[step])
					}
				}
			})
		})
	}
}

// TestYoungSlack: lives of a node that follow each other within a window have no more slack together than one life has.
func TestYoungSlack(t *testing.T) {
	playCluster(t, 4, func(t *testing.T, c *cluster) {
		c.store.put(backEnd("s0", "-far", "other"))
		c.backEnds.set(func(context.Context, gateway.BackEndRequest) forward.Outcome {
			return forward.Outcome{Kind: forward.Refused}
		})
		const lives, requests = 3, 6
		before := len(c.backEnds.sent())
		for range lives {
			c.contexts[0]()
			c.start(0)
			// With 200 ms for each request a life takes 3.2 s.
			time.Sleep(2 * time.Second)
			for range requests {
				c.gateways[0].Serve(context.Background(), &gateway.Call{ID: "id", Host: "h", Path: "/one/x"})
			}
		}
		extras := float64(len(c.backEnds.sent()) - before - lives*requests)
		// A node's part is half of 60 over four nodes.
		if part := 60.0 / 8; extras > part+0.2*lives*requests {
			t.Errorf("%v extra attempts by three lives within ten seconds, one may have %v", extras, part)
		}
		time.Sleep(10 * time.Second)
		before = len(c.backEnds.sent())
		for range requests {
			c.gateways[0].Serve(context.Background(), &gateway.Call{ID: "id", Host: "h", Path: "/one/x"})
		}
		if extras := len(c.backEnds.sent()) - before - requests; extras < 7 {
			t.Errorf("%d extra attempts after a whole window, want its part of the slack", extras)
		}
	})
}

// atOnce is how many of six requests at once a node sends to back ends.
func (c *cluster) atOnce(node int, path string) int {
	before := len(c.backEnds.sent())
	var calls sync.WaitGroup
	for range 6 {
		calls.Go(func() {
			c.gateways[node].Serve(context.Background(), &gateway.Call{ID: "id", Host: "h", Path: path})
		})
	}
	time.Sleep(50 * time.Millisecond)
	sent := len(c.backEnds.sent()) - before
	calls.Wait()
	return sent
}
