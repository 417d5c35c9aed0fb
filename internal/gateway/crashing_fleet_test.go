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

// Size and timing of the crash fleet.
const (
	fleetShards   = 10
	fleetZones    = 3
	fleetNodes    = 6
	fleetAttempts = 2
	// searchInterval is the pause between two harmless searches.
	searchInterval = 16 * time.Millisecond
	// crashingInterval is the pause between two tries of the request that crashes back ends. crashingTime is how long
	// the tries go on.
	crashingInterval = 600 * time.Millisecond
	crashingTime     = 23 * time.Second
	// entryExpiresAfter is how long after a crash the entry of the back end leaves the store. restartsAfter is how
	// long after the crash another instance of the back end starts.
	entryExpiresAfter = 1500 * time.Millisecond
	restartsAfter     = 2500 * time.Millisecond
	// knownWithin is how long after the third crash all nodes that reach each other know the request.
	// maximumReachedLater is how many back ends the request may reach after that.
	knownWithin         = 5 * time.Second
	maximumReachedLater = 3
	// fleetMaximumCrashes is how many back ends one request may crash in all: one of each shard, since the shards are
	// asked at once, and four more until the quarantine begins.
	fleetMaximumCrashes = fleetShards + 4
	// minimumServed is the share of the harmless searches that must be served meanwhile. The rest may fail, since a
	// crash takes down all requests in the slots of the back end.
	minimumServed = 0.98
)

// crashableBackEnd is one instance of a back end; a restart makes another one.
type crashableBackEnd struct {
	entry      replica.Entry
	crashed    chan struct{}
	hasCrashed bool
}

// crashFleet is a fleet of nodes and back ends in which some requests crash the back end that runs them.
type crashFleet struct {
	*cluster
	t      *testing.T
	random *rand.Rand

	mu        sync.Mutex
	backEnds  map[string]*crashableBackEnd
	instances int
	version   string
	// crashes reports whether a request crashes the back end that runs it.
	crashes func(request gateway.BackEndRequest) bool
	// ignoresCancel makes back ends go on with a request after its connection was closed.
	ignoresCancel bool
	// crashTimes are the moments at which a request crashed a back end. reachTimes are the moments at which such a
	// request reached one.
	crashTimes, reachTimes []time.Time
}

func fleetZone(number int) string { return fmt.Sprint("zone-", number%fleetZones) }

func fleetShard(number int) string { return fmt.Sprint("shard-", number) }

// fleetConfiguration has a route over all shards, a route to a single shard, and a route whose requests are not
// repeatable.
func fleetConfiguration() gateway.Item {
	var names []string
	var services []routing.Service
	for i := range fleetShards {
		names = append(names, fleetShard(i))
		services = append(services, routing.Service{Name: fleetShard(i), MaximumConnections: 40})
	}
	route := routing.Route{Host: "h", Repeatable: true, Timeout: 4 * time.Second, TargetLatency: 250 * time.Millisecond, MaximumAttempts: fleetAttempts}
	all, one := route, route
	all.Name, all.Prefix, all.Shards, all.MinimumCoverage, all.MaximumRecords = "all", "/all/", names, 0.89, 5
	one.Name, one.Prefix, one.Targets = "one", "/one/", []routing.Target{{Service: fleetShard(0), Weight: 1}}
	once := one
	once.Name, once.Prefix, once.Repeatable = "once", "/once/", false
	return configurationItem(&routing.Configuration{Version: 1, Routes: []routing.Route{all, one, once}, Services: services})
}

// withCrashFleet runs a test on a fleet of six nodes in three regions. Each region has one back end of each shard.
func withCrashFleet(t *testing.T, seed uint64, test func(f *crashFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &crashFleet{
			t: t, random: rand.New(rand.NewPCG(seed, 1)), backEnds: map[string]*crashableBackEnd{}, version: "v1",
			crashes: func(request gateway.BackEndRequest) bool { return isCrashing(request.Call.Path) },
		}
		f.cluster = &cluster{
			store: newStore(), network: newNetwork(), backEnds: &fakeBackEnds{handler: f.exchange}, gateways: make([]*gateway.Gateway, fleetNodes),
			contexts: make([]context.CancelFunc, fleetNodes), zoneOf: fleetZone, regions: map[string]string{"zone-0": "r0", "zone-1": "r1", "zone-2": "r2"},
		}
		f.store.put(fleetConfiguration())
		for shard := range fleetShards {
			for zone := range fleetZones {
				f.startBackEnd(fleetShard(shard), fleetZone(zone))
			}
		}
		for i := range fleetNodes {
			f.stores = append(f.stores, &nodeStore{fakeStore: f.store})
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

// startBackEnd starts a new instance of a back end and writes its entry.
func (f *crashFleet) startBackEnd(service, zone string) {
	f.mu.Lock()
	f.instances++
	b := &crashableBackEnd{crashed: make(chan struct{}), entry: replica.Entry{
		ID: fmt.Sprint("life-", f.instances), Service: service, Address: fmt.Sprint("127.0.0.1:", f.instances), Zone: zone, Slots: 5, Version: f.version,
	}}
	f.backEnds[b.entry.ID] = b
	f.mu.Unlock()
	entry := b.entry
	f.store.put(backEndItem(&entry))
}

// crash ends a back end and reports whether it was running. Its entry expires some time later, and then a new
// instance starts.
func (f *crashFleet) crash(b *crashableBackEnd) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b.hasCrashed {
		return false
	}
	b.hasCrashed = true
	close(b.crashed)
	time.AfterFunc(entryExpiresAfter, func() { f.store.put(gateway.Item{Key: "back ends/" + b.entry.ID, Deleted: true}) })
	time.AfterFunc(restartsAfter, func() { f.startBackEnd(b.entry.Service, b.entry.Zone) })
	return true
}

// crashZone crashes all back ends of a zone at once.
func (f *crashFleet) crashZone(zone string) {
	f.mu.Lock()
	var all []*crashableBackEnd
	for _, b := range f.backEnds {
		if b.entry.Zone == zone && !b.hasCrashed {
			all = append(all, b)
		}
	}
	f.mu.Unlock()
	for _, b := range all {
		f.crash(b)
	}
}

// exchange is how a back end handles an attempt: it works for 5 to 35 ms, unless it crashes before that.
func (f *crashFleet) exchange(ctx context.Context, request gateway.BackEndRequest) forward.Outcome {
	f.mu.Lock()
	b, crashes := f.backEnds[request.Entry.ID], f.crashes(request)
	hasCrashed, ignoresCancel := b.hasCrashed, f.ignoresCancel
	if !hasCrashed && crashes {
		f.reachTimes = append(f.reachTimes, time.Now())
	}
	work := time.Duration(5+f.random.IntN(30)) * time.Millisecond
	crashDelay := time.Duration(2+f.random.IntN(20)) * time.Millisecond
	f.mu.Unlock()
	if hasCrashed {
		time.Sleep(time.Millisecond)
		return forward.Outcome{Kind: forward.NotSent}
	}
	if crashes {
		work = time.Hour
		crashTimer := time.AfterFunc(crashDelay, func() {
			if f.crash(b) {
				f.mu.Lock()
				f.crashTimes = append(f.crashTimes, time.Now())
				f.mu.Unlock()
			}
		})
		if !ignoresCancel {
			defer crashTimer.Stop()
		}
	}
	select {
	case <-time.After(work):
		return answered(request)
	case <-b.crashed:
		time.Sleep(time.Millisecond)
		return forward.Outcome{Kind: forward.Lost, BackEndCrashed: true}
	case <-ctx.Done():
		return forward.Outcome{Kind: forward.Lost}
	}
}

// isCrashing reports whether requests with the path crash the back ends that run them.
func isCrashing(path string) bool { return len(path) > 0 && path[len(path)-1] == '!' }

// request sends a request of the default caller to a node.
func (f *crashFleet) request(node int, path string) gateway.Result {
	return f.requestAs(node, "caller", path, "")
}

// requestAs sends a request to a node. The caller and the request's details are part of its identity.
func (f *crashFleet) requestAs(node int, caller, path, details string) gateway.Result {
	f.mu.Lock()
	g := f.gateways[node]
	f.mu.Unlock()
	call := &gateway.Call{
		ID: "id", Host: "h", Path: path, Deadline: time.Now().Add(4 * time.Second), Caller: caller,
		Identity: quarantine.NewIdentity(caller, []byte(path), []byte(details)),
	}
	return g.Serve(context.Background(), call)
}

// restart stops a node and starts another one in its place.
func (f *crashFleet) restart(number int) {
	f.contexts[number]()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.start(number)
}

// readyNode returns the first node, from the given number on, that reports that it is ready. Callers are sent to
// ready nodes in the same way.
func (f *crashFleet) readyNode(number int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range fleetNodes {
		if n := (number + i) % fleetNodes; f.gateways[n].Ready() {
			return n
		}
	}
	return number % fleetNodes
}

// outcomeCount counts how requests end.
type outcomeCount struct {
	mu           sync.Mutex
	sent, served int
	failed       map[string]int
}

func (c *outcomeCount) record(result gateway.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	if result.Failure == nil && !result.CallerGone {
		c.served++
		return
	}
	if c.failed == nil {
		c.failed = map[string]int{}
	}
	c.failed[result.Outcome()]++
}

// sendSearches sends harmless searches until a moment, each with another path.
func (f *crashFleet) sendSearches(callers *sync.WaitGroup, until time.Time) *outcomeCount {
	counts := &outcomeCount{}
	callers.Go(func() {
		for number := 0; time.Now().Before(until); number++ {
			callers.Go(func() { counts.record(f.request(f.readyNode(number), fmt.Sprint("/all/", number))) })
			time.Sleep(searchInterval)
		}
	})
	return counts
}

// sendCrashingRequests sends a crashing request every crashingInterval until a moment, each to another node.
func (f *crashFleet) sendCrashingRequests(callers *sync.WaitGroup, send func(node, number int), until time.Time) {
	callers.Go(func() {
		for number := 0; time.Now().Before(until); number++ {
			callers.Go(func() { send((number*5+number/7)%fleetNodes, number) })
			time.Sleep(crashingInterval)
		}
	})
}

// checkCrashes checks how many back ends the request crashed, and how many it reached after the nodes should have
// known it.
func (f *crashFleet) checkCrashes(t *testing.T, maximumCrashes int) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	t.Logf("%d back ends crashed, %d were reached by a crashing request", len(f.crashTimes), len(f.reachTimes))
	if len(f.crashTimes) > maximumCrashes {
		t.Errorf("%d back ends crashed, at most %d were expected", len(f.crashTimes), maximumCrashes)
	}
	if len(f.crashTimes) < 3 {
		return
	}
	slices.SortFunc(f.crashTimes, time.Time.Compare)
	known := f.crashTimes[2].Add(knownWithin)
	later := 0
	for _, at := range f.reachTimes {
		if at.After(known) {
			later++
		}
	}
	t.Logf("%d back ends were reached later than %v after the third crash", later, knownWithin)
	if later > maximumReachedLater {
		t.Errorf("%d back ends were reached later than %v after the third crash, at most %d were expected", later, knownWithin, maximumReachedLater)
	}
}

// checkServed checks that at least the given share of the searches was served.
func checkServed(t *testing.T, counts *outcomeCount, minimum float64) {
	t.Helper()
	share := float64(counts.served) / float64(counts.sent)
	t.Logf("%.4f of %d searches were served", share, counts.sent)
	if share < minimum {
		t.Errorf("%.3f of %d searches were served, too few; the others ended with %v", share, counts.sent, counts.failed)
	}
}
