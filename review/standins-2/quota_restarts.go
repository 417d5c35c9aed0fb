package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Timing of the case. The tenant begins to ask at hotFrom.
const (
	hotFrom       = 14 * time.Second
	firstKillAt   = hotFrom + 1300*time.Millisecond
	secondKillAt  = hotFrom + 3100*time.Millisecond
	hotUntil      = 22 * time.Second
	hotPerZone    = 90
	restartsReady = 8 * time.Second
)

// restartsLimit is the limit of the tenant in this case.
var restartsLimit = limit{ratePerSecond: 12, burst: 40}

// playQuotaRestarts kills the processes of all gateways twice within a window while a tenant asks for more than its limit.
func playQuotaRestarts(s *scene) (string, bool, error) {
	f, err := newFleet(s, []string{"hall-a", "hall-b", "hall-c"}, 2)
	if err != nil {
		return "", false, err
	}
	defer f.stop()
	u := newUsage()
	if err := f.addCountedBackEnds(u); err != nil {
		return "", false, err
	}
	f.store.put("op/config", tenantConfiguration(restartsLimit))
	if err := f.start([]int{0, 2, 4}); err != nil {
		return "", false, err
	}
	if !f.awaitReady(restartsReady) {
		return "", false, errors.New("the gateways did not become ready")
	}
	var work sync.WaitGroup
	for _, zone := range f.zones {
		work.Go(func() { loadTenant(s, f, u, zone, load{from: hotFrom, until: hotUntil, perSecond: hotPerZone}) })
	}
	if s.trouble {
		for _, at := range []time.Duration{firstKillAt, secondKillAt} {
			sleepUntil(s, at)
			for _, n := range f.nodes {
				n.signal(syscall.SIGKILL)
			}
		}
	}
	work.Wait()
	time.Sleep(clientTimeout)
	most, end := u.busiest(quotaWindow)
	seen := fmt.Sprintf("QUOTA: at most %d requests sent and run within %v (until %.1f s), bound %.0f", most, quotaWindow, end.Seconds(), restartsLimit.bound())
	return seen, float64(most) > restartsLimit.bound(), nil
}
