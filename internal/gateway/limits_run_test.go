package gateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"stiletrail/internal/failure"
	"stiletrail/internal/forward"
	"stiletrail/internal/gateway"
	"stiletrail/internal/tenant"
)

const (
	// limitWindow is the window of limits, limitOverage and limitSlack what may go beyond them in it.
	limitWindow  = 5 * time.Second
	limitOverage = 0.1
	limitSlack   = 20
)

// limitUse records what a tenant has sent, and what of it was served.
type limitUse struct {
	mutex sync.Mutex
	calls []limitedCall
	index map[string]int
}

// limitedCall is a call of a tenant. ranAt is zero if no back end has run it.
type limitedCall struct {
	sentAt, ranAt time.Time
	served        bool
}

func newLimitUse() *limitUse { return &limitUse{index: map[string]int{}} }

func (u *limitUse) send(id string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.index[id] = len(u.calls)
	u.calls = append(u.calls, limitedCall{sentAt: time.Now()})
}

func (u *limitUse) update(id string, change func(*limitedCall)) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if at, known := u.index[id]; known {
		change(&u.calls[at])
	}
}

// busiest returns the greatest number of calls that were both sent and run within one window, and when it began.
func (u *limitUse) busiest() (most int, from time.Time) {
	for i, first := range u.calls {
		count := 0
		for _, call := range u.calls[i:] {
			if call.sentAt.Sub(first.sentAt) >= limitWindow {
				break
			}
			if !call.ranAt.IsZero() && call.ranAt.Sub(first.sentAt) < limitWindow {
				count++
			}
		}
		if count > most {
			most, from = count, first.sentAt
		}
	}
	return most, from
}

// served returns the share of the calls sent in a time that were served.
func (u *limitUse) served(from, until time.Time) float64 {
	sent, served := 0, 0
	for _, call := range u.calls {
		if call.sentAt.Before(from) || !call.sentAt.Before(until) {
			continue
		}
		sent++
		if call.served {
			served++
		}
	}
	return float64(served) / float64(max(sent, 1))
}

// limitRun is a cluster whose nodes share limits while faults happen.
type limitRun struct {
	*cluster
	t      *testing.T
	random *rand.Rand
	began  time.Time
	until  time.Time
	// side is the side of the cut on which each node is. Nodes of different sides do not reach each other.
	mutex sync.Mutex
	side  []int
	up    []bool
	gone  []bool
	uses  map[string]*limitUse
	calls sync.WaitGroup
	sent  int
	// lastFault is when the last fault began or ended.
	lastFault time.Time
}

// bound returns the number of calls of a tenant that must not be exceeded in any window.
func bound(t tenant.Tenant) float64 {
	return (t.Rate*limitWindow.Seconds()+t.Burst)*(1+limitOverage) + limitSlack
}

// runLimits runs a cluster of nodes in some zones, each a region of its own, with tenants that send to all nodes that are up.
func runLimits(t *testing.T, seed uint64, zones, nodesPerZone int, tenants []tenant.Tenant, test func(*limitRun)) {
	names := []string{"zone", "other", "third"}
	c := &cluster{
		zoneOf:  func(number int) string { return names[number/nodesPerZone] },
		regions: map[string]string{"zone": "a", "other": "b", "third": "c"},
	}
	nodes := zones * nodesPerZone
	for zone := range zones {
		c.seeds = append(c.seeds, zone*nodesPerZone)
	}
	runCluster(t, nodes, c, func(t *testing.T, c *cluster) {
		r := &limitRun{
			cluster: c, t: t, random: rand.New(rand.NewPCG(seed, 5)), side: make([]int, nodes), up: make([]bool, nodes),
			gone: make([]bool, nodes), uses: map[string]*limitUse{},
		}
		for number := range r.up {
			r.up[number] = true
		}
		c.network.partition(func(from, to string) bool { return r.sideOf(from) != r.sideOf(to) })
		c.store.put(withTenants(2, tenants...))
		c.backEnds.setHandler(func(ctx context.Context, request gateway.BackEndRequest) forward.Outcome {
			for _, use := range r.uses {
				use.update(request.Call.ID, func(call *limitedCall) {
					if call.ranAt.IsZero() {
						call.ranAt = time.Now()
					}
				})
			}
			return answerAfter(5*time.Millisecond)(ctx, request)
		})
		for _, held := range tenants {
			r.uses[held.Name] = newLimitUse()
		}
		time.Sleep(2 * inDoubt)
		r.began = time.Now()
		test(r)
		r.calls.Wait()
	})
}

func (r *limitRun) sideOf(node string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for number, side := range r.side {
		if address(number) == node {
			return side
		}
	}
	return 0
}

// cut puts nodes on a side of their own. Side 0 is that of all others.
func (r *limitRun) cut(side int, nodes ...int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, number := range nodes {
		r.side[number] = side
	}
	r.lastFault = time.Now()
}

// load lets a tenant send calls at a rate to random nodes that are up, until the end of the run.
func (r *limitRun) load(name string, perSecond float64, random *rand.Rand) {
	use := r.uses[name]
	for time.Now().Before(r.until) {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / perSecond))
		target := r.pickUp(random)
		if target == nil {
			continue
		}
		r.mutex.Lock()
		r.sent++
		id := fmt.Sprint(name, "-", r.sent)
		r.mutex.Unlock()
		use.send(id)
		r.calls.Go(func() {
			call := &gateway.Call{ID: id, Host: "h", Path: "/all/x", Key: tenant.NewKey(name)}
			result := target.Serve(context.Background(), call)
			if result.Failure == nil {
				use.update(id, func(call *limitedCall) { call.served = true })
			} else if result.Failure.Code == failure.Internal {
				r.t.Errorf("answered %v", result.Failure)
			}
		})
	}
}

// pickUp returns a random node that is up, or nil if there is none.
func (r *limitRun) pickUp(random *rand.Rand) *gateway.Gateway {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var up []*gateway.Gateway
	for number, isUp := range r.up {
		if isUp {
			up = append(up, r.gateways[number])
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[random.IntN(len(up))]
}

// restart kills nodes and starts each again after a while, unless it is gone for good.
func (r *limitRun) restart(down time.Duration, nodes ...int) {
	r.mutex.Lock()
	for _, number := range nodes {
		if r.up[number] {
			r.up[number] = false
			r.kill(number)
			time.AfterFunc(down, func() { r.startAgain(number) })
		}
	}
	r.lastFault = time.Now()
	r.mutex.Unlock()
}

func (r *limitRun) startAgain(number int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.gone[number] && !r.up[number] && time.Now().Before(r.until) {
		r.start(number)
		r.up[number] = true
		r.lastFault = time.Now()
	}
}

// remove ends nodes for good.
func (r *limitRun) remove(nodes ...int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, number := range nodes {
		r.gone[number] = true
		if r.up[number] {
			r.up[number] = false
			r.kill(number)
		}
	}
	r.lastFault = time.Now()
}

// setStoreReach lets nodes reach the store or not.
func (r *limitRun) setStoreReach(reaches bool, nodes ...int) {
	for _, number := range nodes {
		r.stores[number].disconnected.Store(!reaches)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lastFault = time.Now()
}

func (r *limitRun) checkBound(held tenant.Tenant) {
	r.t.Helper()
	if most, from := r.uses[held.Name].busiest(); float64(most) > bound(held) {
		r.t.Errorf("%s: %d calls were sent and run within a window that began at %.1f s, the bound is %.0f", held.Name, most, from.Sub(r.began).Seconds(), bound(held))
	}
}

// numbers returns the numbers of all nodes.
func (r *limitRun) numbers() []int {
	numbers := make([]int, len(r.gateways))
	for number := range numbers {
		numbers[number] = number
	}
	return numbers
}
