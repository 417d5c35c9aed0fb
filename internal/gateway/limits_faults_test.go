package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"stiletrail/internal/tenant"
)

const (
	// recoveryTime is the time after the last fault from which on a quarter of what is within a limit must be served, and
	// healTime that from which on all must be.
	recoveryTime = 30 * time.Second
	healTime     = 80 * time.Second
	// faultsLast is how long faults begin in a run.
	faultsLast = 100 * time.Second
	// lastSeriesTime is how long a series of restarts takes at most.
	lastSeriesTime = 25 * time.Second
)

// TestLimitsUnderCutsAndRestarts draws cuts between nodes and from the store, restarts in any order before, during and after
// them, and nodes that are gone for good. In no window may more run than the bound of a limit. Once the faults are over, a
// quarter of what is within a limit must be served soon, and all of it later, unless nodes are gone.
func TestLimitsUnderCutsAndRestarts(t *testing.T) {
	for _, seed := range seeds() {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 3))
			hot := limited("hot", []float64{12, 20, 40}[random.IntN(3)], []float64{0, 40}[random.IntN(2)])
			calm := limited("calm", 20, 0)
			runLimits(t, seed, 2+random.IntN(2), 1+random.IntN(2), []tenant.Tenant{hot, calm}, func(r *limitRun) {
				r.until = r.began.Add(faultsLast + lastSeriesTime + healTime + 10*time.Second)
				r.calls.Go(func() { r.load(hot.Name, 3*(hot.Rate+hot.Burst/5), rand.New(rand.NewPCG(seed, 1))) })
				r.calls.Go(func() { r.load(calm.Name, calm.Rate/2, rand.New(rand.NewPCG(seed, 2))) })
				r.drawFaults()
				time.Sleep(time.Until(r.until))
				r.calls.Wait()
				r.checkBound(hot)
				r.checkBound(calm)
				r.checkServed(calm.Name)
			})
		})
	}
}

// drawFaults draws faults until faultsLast has passed, and ends them all.
func (r *limitRun) drawFaults() {
	everybody := r.numbers()
	for end := r.began.Add(faultsLast); ; {
		time.Sleep(min(time.Duration(r.random.ExpFloat64()*float64(7*time.Second)), time.Until(end)))
		if !time.Now().Before(end) {
			break
		}
		some := r.drawNodes(everybody)
		switch r.random.IntN(7) {
		case 0, 1:
			r.t.Logf("%.1f s: %v are cut off", r.seconds(), some)
			r.cut(1+r.random.IntN(2), some...)
			if r.random.IntN(4) == 0 {
				r.t.Logf("%.1f s: %v do not reach the store", r.seconds(), some)
				r.setStoreReach(false, some...)
			}
		case 2:
			r.t.Logf("%.1f s: the cut ends", r.seconds())
			r.cut(0, everybody...)
		case 3:
			r.t.Logf("%.1f s: all reach the store", r.seconds())
			r.setStoreReach(true, everybody...)
		case 4, 5:
			for range 1 + r.random.IntN(3) {
				r.t.Logf("%.1f s: %v are restarted", r.seconds(), some)
				r.restart(time.Duration(200+r.random.IntN(1500))*time.Millisecond, some...)
				time.Sleep(time.Duration(1800+r.random.IntN(4000)) * time.Millisecond)
			}
		case 6:
			if r.random.IntN(3) == 0 && !slices.Contains(r.gone, true) {
				some = slices.DeleteFunc(slices.Clone(some), func(number int) bool { return number == 0 })
				r.t.Logf("%.1f s: %v are gone for good", r.seconds(), some)
				r.remove(some...)
			}
		}
	}
	r.t.Logf("%.1f s: all faults end", r.seconds())
	r.cut(0, everybody...)
	r.setStoreReach(true, everybody...)
}

func (r *limitRun) seconds() float64 { return time.Since(r.began).Seconds() }

// drawNodes draws all nodes, those of a zone, or one.
func (r *limitRun) drawNodes(everybody []int) []int {
	one := r.random.IntN(len(everybody))
	switch r.random.IntN(4) {
	case 0:
		return everybody
	case 1:
		return []int{one}
	}
	return slices.DeleteFunc(slices.Clone(everybody), func(number int) bool { return r.zoneOf(number) != r.zoneOf(one) })
}

// checkServed fails the test if too little of what is within a limit was served after the last fault.
func (r *limitRun) checkServed(name string) {
	r.t.Helper()
	use := r.uses[name]
	if share := use.served(r.lastFault.Add(recoveryTime), r.until); share < 0.25 {
		r.t.Errorf("%s: %.2f of the calls were served from %v after the last fault on", name, share, recoveryTime)
	}
	if share := use.served(r.lastFault.Add(healTime), r.until); share < 0.98 && !slices.Contains(r.gone, true) {
		r.t.Errorf("%s: %.2f of the calls were served from %v after the last fault on", name, share, healTime)
	}
}
