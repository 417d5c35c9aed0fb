package gateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"stiletrail/internal/forward"
	"stiletrail/internal/gateway"
)

// refusals has the times of the attempts at back ends that refuse each of them, so that each request asks for as many extra
// attempts as it may.
type refusals struct {
	mutex  sync.Mutex
	firsts []time.Time
	extras []time.Time
}

// refuse is the handler of the back ends.
func (r *refusals) refuse(_ context.Context, request gateway.BackEndRequest) forward.Outcome {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if request.Attempt.Purpose == forward.First {
		r.firsts = append(r.firsts, time.Now())
	} else {
		r.extras = append(r.extras, time.Now())
	}
	return forward.Outcome{Kind: forward.Refused}
}

// count returns the number of extra attempts so far.
func (r *refusals) count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.extras)
}

// check checks that in each window there were no more extra attempts than the share of the requests and the slack.
func (r *refusals) check(t *testing.T) {
	t.Helper()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	within := func(times []time.Time, last time.Time) (count int) {
		for _, at := range times {
			if at.After(last.Add(-testWindow)) && !at.After(last) {
				count++
			}
		}
		return count
	}
	for _, last := range r.extras {
		extras, requests := within(r.extras, last), within(r.firsts, last)
		if float64(extras) > testShare*float64(requests)+testSlack {
			t.Fatalf("%d extra attempts for %d requests in a window, want at most %v", extras, requests, testShare*float64(requests)+testSlack)
		}
	}
}

// ask sends requests to one back end of a node, one after the other.
func (c *cluster) ask(node, requests int) {
	for i := range requests {
		c.gateways[node].Serve(context.Background(), &gateway.Call{ID: fmt.Sprint(node, "-", i), Host: "h", Path: "/one/x"})
	}
}

// The fleet of these tests has a slack of 60 extra attempts in a window of 10 s, of which 54 are used. The share is 0.2 of
// the requests.
const (
	testSlack  = 60
	testShare  = 0.2
	testWindow = 10 * time.Second
)

// withRefusals runs a test on a cluster that has been up for long enough to lend its slack, and whose back ends refuse.
func withRefusals(t *testing.T, nodes int, test func(t *testing.T, c *cluster, extras *refusals)) {
	withCluster(t, nodes, func(t *testing.T, c *cluster) {
		time.Sleep(20 * time.Second)
		extras := &refusals{}
		c.backEnds.setHandler(extras.refuse)
		test(t, c, extras)
	})
}

// TestSlackIsLentToNodeThatNeedsIt: skewed callers. One node gets all requests of a service, the others none. It gets most of
// the slack of the fleet, and never more than all of it.
func TestSlackIsLentToNodeThatNeedsIt(t *testing.T) {
	withRefusals(t, 6, func(t *testing.T, c *cluster, extras *refusals) {
		const requests = 60
		c.ask(0, requests)
		evenPart := 0.9 * testSlack / 6
		if got := float64(extras.count()); got < testShare*requests/2+2*evenPart {
			t.Errorf("the node sent %v extra attempts, want more than twice an even part of the slack, which is %v", got, evenPart)
		}
		extras.check(t)
	})
}

// TestSlackHoldsUnderLoadOfAllNodes: all nodes get requests that need extra attempts at the same time, and one of them is
// restarted. All together stay within the bound in each window.
func TestSlackHoldsUnderLoadOfAllNodes(t *testing.T) {
	const nodes, rounds, perRound = 5, 30, 6
	withRefusals(t, nodes, func(t *testing.T, c *cluster, extras *refusals) {
		for round := range rounds {
			var callers sync.WaitGroup
			for node := range nodes {
				callers.Go(func() { c.ask(node, perRound) })
			}
			callers.Wait()
			if round == rounds/3 {
				c.contexts[2]()
				c.start(2)
			}
			time.Sleep(500 * time.Millisecond)
		}
		extras.check(t)
		if extras.count() < testSlack {
			t.Errorf("%d extra attempts were sent, want the slack to be used", extras.count())
		}
	})
}

// TestSlackOfCutOffNode: a node that reaches no other one has its own part of the slack, and what it owns as an
// accountant, and no more.
func TestSlackOfCutOffNode(t *testing.T) {
	withRefusals(t, 6, func(t *testing.T, c *cluster, extras *refusals) {
		c.network.partition(func(from, to string) bool { return strings.HasSuffix(from, "-0") || strings.HasSuffix(to, "-0") })
		const requests = 40
		c.ask(0, requests)
		ownPart := 0.4 * 0.9 * testSlack / 6
		if got := float64(extras.count()); got < ownPart {
			t.Errorf("the node sent %v extra attempts, want its own part of the slack, at least %v", got, ownPart)
		}
		extras.check(t)
	})
}

// TestNoSlackAfterRestartOfAllNodes: after all nodes were restarted at once nobody knows what the processes before have sent.
// In the first window only the share of the requests is spent.
func TestNoSlackAfterRestartOfAllNodes(t *testing.T) {
	const nodes, requests = 4, 20
	withRefusals(t, nodes, func(t *testing.T, c *cluster, extras *refusals) {
		c.ask(0, requests)
		for node := range nodes {
			c.contexts[node]()
			c.start(node)
		}
		time.Sleep(3 * time.Second)
		before := extras.count()
		c.ask(1, requests)
		if got := extras.count() - before; float64(got) > testShare*requests {
			t.Errorf("%d extra attempts were sent for %d requests right after the restart, want at most the share", got, requests)
		}
	})
}

// TestSlackOfLostNodeReturns: a node that has borrowed most of the slack is cut off with its leases. After a window another
// node gets most of the slack.
func TestSlackOfLostNodeReturns(t *testing.T) {
	withRefusals(t, 6, func(t *testing.T, c *cluster, extras *refusals) {
		const requests = 40
		c.ask(0, requests)
		c.network.dropFrom(address(0))
		time.Sleep(3 * time.Second)
		before := extras.count()
		c.ask(1, requests)
		extras.check(t)
		time.Sleep(2 * testWindow)
		atOnce := extras.count() - before
		before = extras.count()
		c.ask(1, requests)
		evenPart := 0.9 * testSlack / 6
		if later := extras.count() - before; float64(later) < 2*evenPart {
			t.Errorf("the other node sent %d extra attempts two windows later and %d at once, want more than twice an even part of the slack, which is %v", later, atOnce, evenPart)
		}
		extras.check(t)
	})
}

// TestSlackHoldsInDrawnFleets: in drawn fleets, with skewed callers, restarts and cuts at random times, the extra attempts of
// all nodes stay within the bound in each window.
func TestSlackHoldsInDrawnFleets(t *testing.T) {
	for seed := range uint64(12) {
		random := rand.New(rand.NewPCG(seed, 5))
		nodes := 3 + random.IntN(4)
		withRefusals(t, nodes, func(t *testing.T, c *cluster, extras *refusals) {
			busy := random.IntN(nodes)
			for range 40 {
				switch node := random.IntN(nodes); random.IntN(8) {
				case 0:
					c.contexts[node]()
					c.start(node)
				case 1:
					cut := address(node)
					c.network.partition(func(from, to string) bool { return from == cut || to == cut })
				case 2:
					c.network.partition(nil)
				case 3:
					c.ask(node, 1+random.IntN(10))
				default:
					c.ask(busy, 1+random.IntN(10))
				}
				time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
			}
			extras.check(t)
		})
	}
}

// TestNodeThatMetNobodyLendsNoSlack checks that, where no tenant has a limit and so no roster is kept, a node that starts while it
// reaches no other member lends no retry slack, since the others may lend all of it.
func TestNodeThatMetNobodyLendsNoSlack(t *testing.T) {
	withCluster(t, 3, func(t *testing.T, c *cluster) {
		c.network.partition(func(from, to string) bool { return from == address(2) || to == address(2) })
		c.kill(2)
		c.start(2)
		c.backEnds.setHandler(func(context.Context, gateway.BackEndRequest) forward.Outcome {
			return forward.Outcome{Kind: forward.Refused}
		})
		time.Sleep(20 * time.Second)
		for range 300 {
			c.gateways[2].Serve(context.Background(), &gateway.Call{ID: "id", Host: "h", Path: "/all/x"})
			time.Sleep(10 * time.Millisecond)
		}
		if state := c.gateways[2].Status().Quotas; state.Limits == 0 || state.Lent+state.Used+state.Held > 0 {
			t.Errorf("a node that has met nobody has %+v", state)
		}
	})
}
