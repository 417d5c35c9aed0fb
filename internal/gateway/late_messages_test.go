package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/gateway"
	"stiletrail/internal/spread"
)

// applyWithin is the time within which a change of the store must be in force at the nodes of a test cluster.
const applyWithin = 3 * time.Second

// TestLateMessagesOfWatchers guards against changes that come into force too late at nodes whose watchers are slow: messages
// that arrived seconds late confirmed the copies of their receivers as of their arrival, so the receivers never asked the
// store.
func TestLateMessagesOfWatchers(t *testing.T) {
	const nodes = 14
	for _, lateness := range []time.Duration{time.Second, 2500 * time.Millisecond, 4 * time.Second, 8 * time.Second} {
		t.Run(lateness.String(), func(t *testing.T) {
			withCluster(t, nodes, func(t *testing.T, c *cluster) {
				watchers := watchersOf(nodes)
				c.network.delayMessages(func(from, _ string) time.Duration {
					if slices.Contains(watchers, from) {
						return lateness
					}
					return 0
				})
				time.Sleep(2 * lateness)
				for version := uint64(2); version < 8; version++ {
					c.store.put(configuration(version))
					time.Sleep(applyWithin)
					c.expectVersion(t, version, applyWithin)
				}
			})
		})
	}
}

// TestWatchersInTrouble checks that a change is in force in time at all nodes that are not in trouble themselves, whatever two
// things at once have befallen the watchers of their region: each of them is refused by the store, sends late, or is gone.
func TestWatchersInTrouble(t *testing.T) {
	const nodes = 20
	for _, troubles := range []string{"refused refused late", "late late gone", "gone gone late", "refused refused refused", "gone gone gone", "refused late gone"} {
		t.Run(troubles, func(t *testing.T) {
			withCluster(t, nodes, func(t *testing.T, c *cluster) {
				watchers := watchersOf(nodes)
				late := map[string]bool{}
				for i, trouble := range strings.Fields(troubles) {
					c.trouble(t, watchers[i], trouble, late)
				}
				c.network.delayMessages(func(from, _ string) time.Duration {
					if late[from] {
						return 4 * time.Second
					}
					return 0
				})
				for version := uint64(2); version < 12; version++ {
					c.store.put(configuration(version))
					time.Sleep(applyWithin)
					c.expectVersion(t, version, applyWithin, watchers...)
				}
			})
		})
	}
}

// trouble makes a node be refused by the store, send its messages late, or end.
func (c *cluster) trouble(t *testing.T, node, trouble string, late map[string]bool) {
	t.Helper()
	for number := range c.gateways {
		if address(number) != node {
			continue
		}
		switch trouble {
		case "refused":
			c.stores[number].disconnected.Store(true)
		case "late":
			late[node] = true
		case "gone":
			c.contexts[number]()
			c.network.dropFrom(node)
			c.network.attach(node, nil)
		default:
			t.Fatalf("unknown trouble %q", trouble)
		}
	}
}

// TestLateAnswersOfStore guards against copies of the store that count as complete as of a time at which they were not: an
// answer of the store confirmed a copy as of its arrival, and the store had changed since it gave the answer.
func TestLateAnswersOfStore(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, c *cluster) {
		checker := newCopyChecker(c)
		c.stores[0].answerDelay.Store(int64(500 * time.Millisecond))
		for version := uint64(2); version < 20; version++ {
			checker.put(configuration(version))
			for range 37 {
				time.Sleep(20 * time.Millisecond)
				checker.check(t)
			}
		}
	})
}

// TestRandomLateness guards against the same, with messages and answers of the store that are late by random times, nodes that
// restart or cannot reach the store, and random changes. No copy may ever count as complete as of a time at which it was not.
// SEEDS is the number of seeds to run; SEED runs a single one.
func TestRandomLateness(t *testing.T) {
	for _, seed := range seeds() {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 6))
			nodes := 2 + random.IntN(14)
			withCluster(t, nodes, func(t *testing.T, c *cluster) { playLateness(t, c, random) })
		})
	}
}

// playLateness injects random lateness and changes for half a minute, and checks all copies after each step.
func playLateness(t *testing.T, c *cluster, random *rand.Rand) {
	checker := newCopyChecker(c)
	nodes := len(c.gateways)
	version := uint64(1)
	for range 600 {
		time.Sleep(50 * time.Millisecond)
		checker.check(t)
		node := random.IntN(nodes)
		switch random.IntN(40) {
		case 0:
			version++
			checker.put(configuration(version))
		case 1:
			c.network.delayMessages(randomLateness(random, nodes))
		case 2:
			c.stores[node].answerDelay.Store(random.Int64N(int64(time.Second)))
		case 3:
			c.stores[node].disconnected.Store(random.IntN(3) > 0)
		case 4:
			c.contexts[node]()
			c.start(node)
		}
	}
}

// randomLateness returns the lateness of messages between nodes of which some are slow to send and some slow to receive.
func randomLateness(random *rand.Rand, nodes int) func(from, to string) time.Duration {
	late := map[string]time.Duration{}
	for number := range nodes {
		if random.IntN(3) == 0 {
			late["from "+address(number)] = time.Duration(random.Int64N(int64(5 * time.Second)))
		}
		if random.IntN(6) == 0 {
			late["to "+address(number)] = time.Duration(random.Int64N(int64(2 * time.Second)))
		}
	}
	return func(from, to string) time.Duration { return late["from "+from] + late["to "+to] }
}

// watchersOf returns the addresses of the nodes that watch the store for a cluster in one region.
func watchersOf(nodes int) []string {
	var addresses []string
	for i := range nodes {
		addresses = append(addresses, address(i))
	}
	return spread.Watchers(addresses, 3)
}

// expectVersion checks which version of the configuration is in force at all nodes but some, a while after it was put.
func (c *cluster) expectVersion(t *testing.T, version uint64, after time.Duration, except ...string) {
	t.Helper()
	for number, g := range c.gateways {
		if g.Version() != version && !slices.Contains(except, address(number)) {
			t.Errorf("node %d has version %d in force %v after version %d was put", number, g.Version(), after, version)
		}
	}
}

// copyChecker compares what nodes claim of their copies of the store with the store's history.
type copyChecker struct {
	cluster *cluster
	// changes are the changes of the store since the checker was made.
	changes []storeChange
	// failed is set once a copy was reported. Only the first one is, since others follow from it.
	failed bool
}

// storeChange is a revision number of the store, and when the store got it.
type storeChange struct {
	number uint64
	at     time.Time
}

func newCopyChecker(c *cluster) *copyChecker { return &copyChecker{cluster: c} }

// put makes a change of the store.
func (k *copyChecker) put(item gateway.Item) {
	k.cluster.store.put(item)
	k.changes = append(k.changes, storeChange{k.cluster.store.currentRevision(), time.Now()})
}

// roundingOfAges is by how much an age in whole milliseconds may be too small.
const roundingOfAges = time.Millisecond

// check reports a node whose copy lacks a change made before the time as of which it counts as complete.
func (k *copyChecker) check(t *testing.T) {
	t.Helper()
	for number, g := range k.cluster.gateways {
		status := g.Status()
		if status.CopyAge < 0 {
			continue
		}
		completeAt := time.Now().Add(-status.CopyAge.Duration() - roundingOfAges)
		for _, change := range k.changes {
			if !k.failed && change.at.Before(completeAt) && change.number > status.StoreRevision.Number {
				k.failed = true
				t.Errorf("the copy of node %d is at revision %d and counts as complete as of %d ms ago, when the store had been at revision %d for %d ms",
					number, status.StoreRevision.Number, status.CopyAge, change.number, clock.FromDuration(completeAt.Sub(change.at)))
			}
		}
	}
}
