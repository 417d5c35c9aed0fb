package gateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"stiletrail/internal/forward"
	"stiletrail/internal/gateway"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/replica"
	"stiletrail/internal/routing"
)

// The fleet of these tests.
const (
	frailShards   = 10
	frailZones    = 3
	frailNodes    = 6
	frailAttempts = 2
	// searchEvery is the pause between the sound searches of callers.
	searchEvery = 16 * time.Millisecond
	// crashingEvery is the pause between the tries of the request that ends back ends, crashingFor how long it comes.
	crashingEvery = 600 * time.Millisecond
	crashingFor   = 23 * time.Second
	// entryLapses is how long after its end the entry of a back end goes, backAfter how long after its end another life of it is there.
	entryLapses = 1500 * time.Millisecond
	backAfter   = 2500 * time.Millisecond
	// knownAfter is how long after the third end all nodes that are in touch know the request, mostAfter how many back ends it may reach then.
	knownAfter = 5 * time.Second
	mostAfter  = 3
	// mostEnded is how many back ends a request may end in all: one of each shard, which are asked at once, and what it takes to be sure.
	mostEnded = frailShards + 4
	// soundServed is the share of the sound searches that must be served meanwhile: what is in the slots of a back end goes with it.
	soundServed = 0.98
)

// frailBackEnd is one life of a back end.
type frailBackEnd struct {
	entry replica.Entry
	ended chan struct{}
	over  bool
}

// frailFleet is nodes and back ends some of whose requests end what runs them.
type frailFleet struct {
	*cluster
	t      *testing.T
	random *rand.Rand

	mu       sync.Mutex
	backEnds map[string]*frailBackEnd
	lives    int
	version  string
	// crashes reports whether a request ends what runs it.
	crashes func(send gateway.BackEndRequest) bool
	// stubborn back ends run a request on whose connection was closed.
	stubborn bool
	// endings are the moments at which back ends ended by a request; reached those at which such requests reached back ends.
	endings, reached []time.Time
}

func frailZone(number int) string { return fmt.Sprint("zone-", number%frailZones) }

func frailShard(number int) string { return fmt.Sprint("shard-", number) }

// frailConfiguration has a route over all shards, one to a single one, and one whose requests cannot be repeated.
func frailConfiguration() gateway.Item {
	var names []string
	var services []routing.Service
	for i := range frailShards {
		names = append(names, frailShard(i))
		services = append(services, routing.Service{Name: frailShard(i), MaximumConnections: 40})
	}
	route := routing.Route{Host: "h", Repeatable: true, Timeout: 4 * time.Second, TargetLatency: 250 * time.Millisecond, MaximumAttempts: frailAttempts}
	all, one := route, route
	all.Name, all.Prefix, all.Shards, all.MinimumCoverage, all.MaximumRecords = "all", "/all/", names, 0.89, 5
	one.Name, one.Prefix, one.Targets = "one", "/one/", []routing.Target{{Service: frailShard(0), Weight: 1}}
	once := one
	once.Name, once.Prefix, once.Repeatable = "once", "/once/", false
	return configurationItem(&routing.Configuration{Version: 1, Routes: []routing.Route{all, one, once}, Services: services})
}

// playFrail runs a test on six nodes in three regions, each with one back end of each shard.
func playFrail(t *testing.T, seed uint64, test func(f *frailFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &frailFleet{
			t: t, random: rand.New(rand.NewPCG(seed, 1)), backEnds: map[string]*frailBackEnd{}, version: "v1",
			crashes: func(send gateway.BackEndRequest) bool { return crashing(send.Call.Path) },
		}
		f.cluster = &cluster{
			store: newStore(), network: newNetwork(), backEnds: &fakeBackEnds{answer: f.exchange}, gateways: make([]*gateway.Gateway, frailNodes),
			contexts: make([]context.CancelFunc, frailNodes), zoneOf: frailZone, regions: map[string]string{"zone-0": "r0", "zone-1": "r1", "zone-2": "r2"},
		}
		f.store.put(frailConfiguration())
		for shard := range frailShards {
			for zone := range frailZones {
				f.begin(frailShard(shard), frailZone(zone))
			}
		}
		for i := range frailNodes {
			f.paths = append(f.paths, &cutStore{fakeStore: f.store})
			f.start(i)
		}
		time.Sleep(12 * time.Second)
		test(f)
		for _, cancel := range f.contexts {
			cancel()
		}
		time.Sleep(30 * time.Second)
		synctest.Wait()
	})
}

// begin starts a life of a back end.
func (f *frailFleet) begin(service, zone string) {
	f.mu.Lock()
	f.lives++
	b := &frailBackEnd{ended: make(chan struct{}), entry: replica.Entry{
		ID: fmt.Sprint("life-", f.lives), Service: service, Address: fmt.Sprint("127.0.0.1:", f.lives), Zone: zone, Slots: 5, Version: f.version,
	}}
	f.backEnds[b.entry.ID] = b
	f.mu.Unlock()
	entry := b.entry
	f.store.put(backEndItem(&entry))
}

// end ends a back end and reports whether it lived. Its entry goes some time later, and then it is back.
func (f *frailFleet) end(b *frailBackEnd) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b.over {
		return false
	}
	b.over = true
	close(b.ended)
	time.AfterFunc(entryLapses, func() { f.store.put(gateway.Item{Key: "back ends/" + b.entry.ID, Deleted: true}) })
	time.AfterFunc(backAfter, func() { f.begin(b.entry.Service, b.entry.Zone) })
	return true
}

// endZone ends all back ends of a zone at once.
func (f *frailFleet) endZone(zone string) {
	f.mu.Lock()
	var all []*frailBackEnd
	for _, b := range f.backEnds {
		if b.entry.Zone == zone && !b.over {
			all = append(all, b)
		}
	}
	f.mu.Unlock()
	for _, b := range all {
		f.end(b)
	}
}

// exchange is what a back end does with an attempt: it works for 5 to 35 ms, unless it ends before.
func (f *frailFleet) exchange(ctx context.Context, send gateway.BackEndRequest) forward.Outcome {
	f.mu.Lock()
	b, crashes := f.backEnds[send.Entry.ID], f.crashes(send)
	over, stubborn := b.over, f.stubborn
	if !over && crashes {
		f.reached = append(f.reached, time.Now())
	}
	work := time.Duration(5+f.random.IntN(30)) * time.Millisecond
	fuse := time.Duration(2+f.random.IntN(20)) * time.Millisecond
	f.mu.Unlock()
	if over {
		time.Sleep(time.Millisecond)
		return forward.Outcome{Kind: forward.NotSent}
	}
	if crashes {
		work = time.Hour
		burn := time.AfterFunc(fuse, func() {
			if f.end(b) {
				f.mu.Lock()
				f.endings = append(f.endings, time.Now())
				f.mu.Unlock()
			}
		})
		if !stubborn {
			defer burn.Stop()
		}
	}
	select {
	case <-time.After(work):
		return part(send)
	case <-b.ended:
		time.Sleep(time.Millisecond)
		return forward.Outcome{Kind: forward.Lost, BackEndCrashed: true}
	case <-ctx.Done():
		return forward.Outcome{Kind: forward.Lost}
	}
}

// crashing reports whether requests with a path end what runs them.
func crashing(path string) bool { return len(path) > 0 && path[len(path)-1] == '!' }

// ask sends a request of the usual caller to a node.
func (f *frailFleet) ask(node int, path string) gateway.Result {
	return f.askAs(node, "caller", path, "")
}

// askAs sends a request of a caller with some details to a node.
func (f *frailFleet) askAs(node int, caller, path, details string) gateway.Result {
	f.mu.Lock()
	g := f.gateways[node]
	f.mu.Unlock()
	call := &gateway.Call{
		ID: "id", Host: "h", Path: path, Deadline: time.Now().Add(4 * time.Second), Caller: caller,
		Identity: quarantine.NewIdentity(caller, []byte(path), []byte(details)),
	}
	return g.Serve(context.Background(), call)
}

// restart ends a node and starts another in its place.
func (f *frailFleet) restart(number int) {
	f.contexts[number]()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.start(number)
}

// readyNode is the first node from a number on that says it is ready, as callers are sent to.
func (f *frailFleet) readyNode(number int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range frailNodes {
		if n := (number + i) % frailNodes; f.gateways[n].Ready() {
			return n
		}
	}
	return number % frailNodes
}

// tally counts how requests end.
type tally struct {
	mu            sync.Mutex
	asked, served int
	failed        map[string]int
}

func (c *tally) note(result gateway.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	if result.Failure == nil && !result.CallerGone {
		c.served++
		return
	}
	if c.failed == nil {
		c.failed = map[string]int{}
	}
	c.failed[result.Outcome()]++
}

// search sends searches that end nothing, each another one, until a moment.
func (f *frailFleet) search(callers *sync.WaitGroup, until time.Time) *tally {
	counted := &tally{}
	callers.Go(func() {
		for number := 0; time.Now().Before(until); number++ {
			callers.Go(func() { counted.note(f.ask(f.readyNode(number), fmt.Sprint("/all/", number))) })
			time.Sleep(searchEvery)
		}
	})
	return counted
}

// sendCrashing has a caller send a request each so often until a moment, to any node.
func (f *frailFleet) sendCrashing(callers *sync.WaitGroup, send func(node, number int), until time.Time) {
	callers.Go(func() {
		for number := 0; time.Now().Before(until); number++ {
			callers.Go(func() { send((number*5+number/7)%frailNodes, number) })
			time.Sleep(crashingEvery)
		}
	})
}

// checkBounded checks what a request that ends back ends was allowed to reach.
func (f *frailFleet) checkBounded(t *testing.T, mostEnded int) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	t.Logf("%d back ends ended, %d were reached", len(f.endings), len(f.reached))
	if len(f.endings) > mostEnded {
		t.Errorf("%d back ends ended, at most %d were expected", len(f.endings), mostEnded)
	}
	if len(f.endings) < 3 {
		return
	}
	slices.SortFunc(f.endings, time.Time.Compare)
	known := f.endings[2].Add(knownAfter)
	later := 0
	for _, at := range f.reached {
		if at.After(known) {
			later++
		}
	}
	t.Logf("%d were reached later than %v after the third had ended", later, knownAfter)
	if later > mostAfter {
		t.Errorf("%d back ends were reached later than %v after the third had ended, %d are allowed", later, knownAfter, mostAfter)
	}
}

// checkServed checks the share of the sound searches that were served.
func checkServed(t *testing.T, counted *tally, least float64) {
	t.Helper()
	share := float64(counted.served) / float64(counted.asked)
	t.Logf("%.4f of %d sound searches were served", share, counted.asked)
	if share < least {
		t.Errorf("%.3f of %d sound searches were served, others ended with %v", share, counted.asked, counted.failed)
	}
}
