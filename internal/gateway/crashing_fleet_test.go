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
	fleetShards   = 10
	fleetZones    = 3
	fleetNodes    = 6
	fleetAttempts = 2
	// searchInterval is the pause between the sound searches of callers.
	searchInterval = 16 * time.Millisecond
	// crashingInterval is the pause between the tries of the request that ends back ends, crashingFor how long it comes.
	crashingInterval = 600 * time.Millisecond
	crashingTime     = 23 * time.Second
	// entryExpiresAfter is how long after its end the entry of a back end goes, backAfter how long after its end another life of it is there.
	entryExpiresAfter = 1500 * time.Millisecond
	restartsAfter     = 2500 * time.Millisecond
	// knownWithin is how long after the third end all nodes that are in touch know the request, mostAfter how many back ends it may reach then.
	knownWithin         = 5 * time.Second
	maximumReachedLater = 3
	// fleetMaximumCrashes is how many back ends a request may end in all: one of each shard, which are asked at once, and what it takes to be sure.
	fleetMaximumCrashes = fleetShards + 4
	// minimumServed is the share of the sound searches that must be served meanwhile: what is in the slots of a back end goes with it.
	minimumServed = 0.98
)

// crashableBackEnd is one life of a back end.
type crashableBackEnd struct {
	entry      replica.Entry
	crashed    chan struct{}
	hasCrashed bool
}

// crashFleet is nodes and back ends some of whose requests end what runs them.
type crashFleet struct {
	*cluster
	t      *testing.T
	random *rand.Rand

	mu        sync.Mutex
	backEnds  map[string]*crashableBackEnd
	instances int
	version   string
	// crashTimes reports whether a request ends what runs it.
	crashes func(send gateway.BackEndRequest) bool
	// ignoresCancel back ends run a request on whose connection was closed.
	ignoresCancel bool
	// crashTimes are the moments at which back ends ended by a request; reached those at which such requests reached back ends.
	crashTimes, reachTimes []time.Time
}

func fleetZone(number int) string { return fmt.Sprint("zone-", number%fleetZones) }

func fleetShard(number int) string { return fmt.Sprint("shard-", number) }

// fleetConfiguration has a route over all shards, one to a single one, and one whose requests cannot be repeated.
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

// withCrashFleet runs a test on six nodes in three regions, each with one back end of each shard.
func withCrashFleet(t *testing.T, seed uint64, test func(f *crashFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &crashFleet{
			t: t, random: rand.New(rand.NewPCG(seed, 1)), backEnds: map[string]*crashableBackEnd{}, version: "v1",
			crashes: func(send gateway.BackEndRequest) bool { return isCrashing(send.Call.Path) },
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

// startBackEnd starts a life of a back end.
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

// peerTransport ends a back end and reports whether it lived. Its entry goes some time later, and then it is back.
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

// crashZone ends all back ends of a zone at once.
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

// exchange is what a back end does with an attempt: it works for 5 to 35 ms, unless it ends before.
func (f *crashFleet) exchange(ctx context.Context, send gateway.BackEndRequest) forward.Outcome {
	f.mu.Lock()
	b, crashes := f.backEnds[send.Entry.ID], f.crashes(send)
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
		return answered(send)
	case <-b.crashed:
		time.Sleep(time.Millisecond)
		return forward.Outcome{Kind: forward.Lost, BackEndCrashed: true}
	case <-ctx.Done():
		return forward.Outcome{Kind: forward.Lost}
	}
}

// isCrashing reports whether requests with a path end what runs them.
func isCrashing(path string) bool { return len(path) > 0 && path[len(path)-1] == '!' }

// request sends a request of the usual caller to a node.
func (f *crashFleet) request(node int, path string) gateway.Result {
	return f.requestAs(node, "caller", path, "")
}

// requestAs sends a request of a caller with some details to a node.
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

// restart ends a node and starts another in its place.
func (f *crashFleet) restart(number int) {
	f.contexts[number]()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.start(number)
}

// readyNode is the first node from a number on that says it is ready, as callers are sent to.
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

// sendSearches sends searches that end nothing, each another one, until a moment.
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

// sendCrashingRequests has a caller send a request each so often until a moment, to any node.
func (f *crashFleet) sendCrashingRequests(callers *sync.WaitGroup, send func(node, number int), until time.Time) {
	callers.Go(func() {
		for number := 0; time.Now().Before(until); number++ {
			callers.Go(func() { send((number*5+number/7)%fleetNodes, number) })
			time.Sleep(crashingInterval)
		}
	})
}

// checkCrashes checks what a request that ends back ends was allowed to reach.
func (f *crashFleet) checkCrashes(t *testing.T, maximumCrashes int) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	t.Logf("%d back ends ended, %d were reached", len(f.crashTimes), len(f.reachTimes))
	if len(f.crashTimes) > maximumCrashes {
		t.Errorf("%d back ends ended, at most %d were expected", len(f.crashTimes), maximumCrashes)
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
	t.Logf("%d were reached later than %v after the third had ended", later, knownWithin)
	if later > maximumReachedLater {
		t.Errorf("%d back ends were reached later than %v after the third had ended, %d are allowed", later, knownWithin, maximumReachedLater)
	}
}

// checkServed checks the share of the sound searches that were served.
func checkServed(t *testing.T, counts *outcomeCount, minimum float64) {
	t.Helper()
	share := float64(counts.served) / float64(counts.sent)
	t.Logf("%.4f of %d sound searches were served", share, counts.sent)
	if share < minimum {
		t.Errorf("%.3f of %d sound searches were served, others ended with %v", share, counts.sent, counts.failed)
	}
}
