package gateway_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"stiletrail/internal/forward"
	"stiletrail/internal/gateway"
)

// Failure, as recorded: thirty back ends of ten shards crash within a second, are back three seconds later, and
// crash again, eleven times in seventy seconds. Three in four of all searches are served meanwhile. One request
// crashed 121 back ends, and nodes sent it to further ones long after.
//
// How it came about: a caller sends a search that crashes each back end that runs it. The node asks a replica of each
// shard, loses them all, asks the next replica of each at once, and answers that the outcome is unknown. The caller
// retries at another node, which knows nothing of the crashes and asks the third replica of each shard. The same
// happens again some seconds later, when the back ends have restarted.
//
// Cause: a lost attempt was counted against the back end and not against the request. Nothing limited how many back
// ends one request may crash, within one try or over several, and what a node had learned of a request was dropped
// with its answer.
//
// Proof: the tests below fail on nodes without the quarantine, in the same way as the recorded failure: the first try
// crashes two of three back ends of each shard, the second try the last ones. The record itself shows that one
// request crashed the back ends and that they did not crash by themselves.

// TestRequestThatCrashesBackEnds guards against a request that crashes every back end it reaches and that its caller
// retries again and again, at any node. The request must crash few back ends, and reach hardly any once the nodes had
// time to tell each other. Harmless searches are served all the while. That also holds while all nodes restart, while
// the store is unavailable, and while the regions cannot reach each other.
func TestRequestThatCrashesBackEnds(t *testing.T) {
	for _, c := range []struct {
		name          string
		path          string
		ignoresCancel bool
		// meanwhile is what else happens during the test.
		meanwhile      func(f *crashFleet)
		maximumCrashes int
		served         float64
	}{
		{name: "search", path: "/all/!", maximumCrashes: fleetMaximumCrashes},
		{name: "search, back ends ignore cancellation", path: "/all/!", ignoresCancel: true, maximumCrashes: fleetMaximumCrashes},
		{name: "request to one shard", path: "/one/!", maximumCrashes: 4},
		{name: "request that is not repeatable", path: "/once/!", maximumCrashes: 4},
		{name: "nodes restart one after the other", path: "/all/!", maximumCrashes: fleetMaximumCrashes, meanwhile: func(f *crashFleet) {
			for i := range 2 * fleetNodes {
				time.Sleep(time.Second)
				f.restart(i % fleetNodes)
			}
		}},
		{name: "all nodes restart at once", path: "/all/!", maximumCrashes: fleetMaximumCrashes + 2, served: 0.95, meanwhile: func(f *crashFleet) {
			time.Sleep(4 * time.Second)
			for i := range fleetNodes {
				f.restart(i)
			}
		}},
		{name: "store is unavailable", path: "/all/!", maximumCrashes: fleetMaximumCrashes, meanwhile: func(f *crashFleet) {
			f.store.update(func(s *fakeStore) { s.err = errUnavailable })
			time.Sleep(15 * time.Second)
			f.store.update(func(s *fakeStore) { s.err = nil })
		}},
		{name: "store is unavailable and nodes restart", path: "/one/!", maximumCrashes: 4, meanwhile: func(f *crashFleet) {
			f.store.update(func(s *fakeStore) { s.err = errUnavailable })
			for i := range fleetNodes {
				time.Sleep(2 * time.Second)
				f.restart(i)
			}
			f.store.update(func(s *fakeStore) { s.err = nil })
		}},
		{name: "regions are partitioned", path: "/one/!", maximumCrashes: 7, meanwhile: func(f *crashFleet) {
			f.network.partition(func(from, to string) bool { return from[len(from)-1]%fleetZones != to[len(to)-1]%fleetZones })
			time.Sleep(15 * time.Second)
			f.network.partition(nil)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withCrashFleet(t, 1, func(f *crashFleet) {
				f.ignoresCancel = c.ignoresCancel
				var callers sync.WaitGroup
				until := time.Now().Add(crashingTime)
				f.sendCrashingRequests(&callers, func(node, _ int) { f.request(node, c.path) }, until)
				harmless := f.sendSearches(&callers, until)
				if c.meanwhile != nil {
					c.meanwhile(f)
				}
				callers.Wait()
				f.checkCrashes(t, c.maximumCrashes)
				if c.served == 0 {
					c.served = minimumServed
				}
				checkServed(t, harmless, c.served)
			})
		})
	}
}

// TestCrashingRequestVariants guards against crashing requests that escape the quarantine because they differ from
// try to try. The limits must hold if each try comes from another caller address. They must hold if the request
// crashes back ends for one caller only, while another caller sends the same request and gets answers. A request that
// differs in each try, to the same resource or from the same caller, may crash at most one back end per try once the
// nodes know that.
func TestCrashingRequestVariants(t *testing.T) {
	const (
		tries = int(crashingTime/crashingInterval) + 1
		// A caller that sends the same request at the same moment waits until the nodes know that the request alone
		// does not cause the crashes. That takes a little more than two seconds of 23.
		servedWhileCauseUnknown = 0.88
		// With one crash per 0.6 s, four back ends of thirty are down at any time.
		servedWithSomeDown = 0.95
	)
	for _, c := range []struct {
		name           string
		send           func(f *crashFleet, node, number int)
		maximumCrashes int
		// quarantined says whether the request comes under quarantine.
		quarantined bool
		// later is how long after the first try another caller begins to send the same request. served is the share
		// of its requests and of the other searches that must be served.
		later  time.Duration
		served float64
	}{
		{"another caller address in each try", func(f *crashFleet, node, number int) { f.requestAs(node, fmt.Sprint("caller-", number), "/all/!", "") }, fleetMaximumCrashes, true, 0, minimumServed},
		{"crashes for one caller only", func(f *crashFleet, node, number int) { f.requestAs(node, "bad", "/all/same", "") }, fleetMaximumCrashes, true, 0, servedWhileCauseUnknown},
		{"crashes for one caller only, the other one begins later", func(f *crashFleet, node, number int) { f.requestAs(node, "bad", "/all/same", "") }, fleetMaximumCrashes, true, 4 * time.Second, minimumServed},
		{"other details in each try", func(f *crashFleet, node, number int) {
			f.requestAs(node, fmt.Sprint("caller-", number), "/all/!", fmt.Sprint(number))
		}, fleetMaximumCrashes + tries, false, 0, servedWithSomeDown},
		{"another path in each try", func(f *crashFleet, node, number int) { f.requestAs(node, "bad", fmt.Sprint("/all/", number, "!"), "") }, fleetMaximumCrashes + tries, false, 0, servedWithSomeDown},
	} {
		t.Run(c.name, func(t *testing.T) {
			withCrashFleet(t, 2, func(f *crashFleet) {
				f.crashes = func(request gateway.BackEndRequest) bool {
					return isCrashing(request.Call.Path) || request.Call.Caller == "bad"
				}
				var callers sync.WaitGroup
				until := time.Now().Add(crashingTime)
				f.sendCrashingRequests(&callers, func(node, number int) { c.send(f, node, number) }, until)
				same := &outcomeCount{}
				callers.Go(func() {
					time.Sleep(c.later)
					for number := 0; time.Now().Before(until); number++ {
						callers.Go(func() { same.record(f.requestAs(f.readyNode(number), "good", "/all/same", "")) })
						time.Sleep(100 * time.Millisecond)
					}
				})
				harmless := f.sendSearches(&callers, until)
				callers.Wait()
				checkServed(t, harmless, c.served)
				checkServed(t, same, c.served)
				if c.quarantined {
					f.checkCrashes(t, c.maximumCrashes)
				} else if t.Logf("%d back ends crashed, %d were reached by a crashing request", len(f.crashTimes), len(f.reachTimes)); len(f.crashTimes) > c.maximumCrashes {
					t.Errorf("%d back ends crashed, at most %d were expected", len(f.crashTimes), c.maximumCrashes)
				}
			})
		})
	}
}

// TestNewVersionIsTriedOnce guards against each node trying a quarantined request on a new software version, which
// would crash one back end per node. All nodes together send it to one back end of the new version. If that answers,
// all nodes serve the request by the new version, and the old version does not get it.
func TestNewVersionIsTriedOnce(t *testing.T) {
	for name, newVersionAnswers := range map[string]bool{"new version crashes": false, "new version answers": true} {
		t.Run(name, func(t *testing.T) {
			withCrashFleet(t, 3, func(f *crashFleet) {
				const path = "/all/!"
				for number := 0; f.request(number%fleetNodes, path).Reason != forward.Quarantined; number++ {
					time.Sleep(crashingInterval)
				}
				time.Sleep(5 * time.Second)
				f.mu.Lock()
				f.version, f.reachTimes = "v2", nil
				f.crashes = func(request gateway.BackEndRequest) bool {
					return isCrashing(request.Call.Path) && !(newVersionAnswers && request.Entry.Version == "v2")
				}
				f.mu.Unlock()
				for shard := range fleetShards {
					f.startBackEnd(fleetShard(shard), fleetZone(shard))
				}
				time.Sleep(3 * time.Second)
				var callers sync.WaitGroup
				for number := range fleetNodes {
					callers.Go(func() { f.request(number, path) })
				}
				callers.Wait()
				time.Sleep(time.Second)
				served := 0
				for number := range fleetNodes {
					if f.request(number, path).Failure == nil {
						served++
					}
				}
				if maximumReached := 1; len(f.reachTimes) > maximumReached || newVersionAnswers && len(f.reachTimes) > 0 {
					t.Errorf("%d back ends that the request crashes were reached, at most one of the new version may be", len(f.reachTimes))
				}
				if want := fleetNodes; newVersionAnswers && served < want || !newVersionAnswers && served > 0 {
					t.Errorf("the request was served %d times of %d; want all if the new version answers it, and none if it crashes", served, want)
				}
			})
		})
	}
}

// TestUnrelatedCrashesBlameNoRequest guards against a quarantine of innocent requests. All back ends of a zone crash
// at once, one zone after the other, while the same popular requests are in flight at each of them. All popular
// requests and all other searches must be served: a request is not to blame because it was running when a back end
// crashed.
func TestUnrelatedCrashesBlameNoRequest(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withCrashFleet(t, seed, func(f *crashFleet) {
				var callers sync.WaitGroup
				until := time.Now().Add(20 * time.Second)
				others := f.sendSearches(&callers, until)
				popular := &outcomeCount{}
				callers.Go(func() {
					for number := 0; time.Now().Before(until); number++ {
						callers.Go(func() { popular.record(f.request(number%fleetNodes, "/all/popular")) })
						time.Sleep(50 * time.Millisecond)
					}
				})
				for zone := range 2 * fleetZones {
					time.Sleep(2900*time.Millisecond + time.Duration(f.random.IntN(200))*time.Millisecond)
					f.crashZone(fleetZone(zone))
				}
				callers.Wait()
				checkServed(t, others, 1)
				checkServed(t, popular, 1)
			})
		})
	}
}
