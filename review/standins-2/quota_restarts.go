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
	return playKills(s, restartDelay, firstKillAt, secondKillAt)
}

// lateRestart is the delay after which the processes of one hall start again in the case with one kill.
const lateRestart = 1600 * time.Millisecond

// playQuotaOneRestart kills the processes of all gateways once. Those of one hall start again later than the others.
func playQuotaOneRestart(s *scene) (string, bool, error) {
	return playKills(s, lateRestart, firstKillAt)
}

// playKills kills the processes of all gateways at some moments while a tenant asks for more than its limit. The processes of
// the last hall start again after a delay of their own.
func playKills(s *scene, lastHallDelay time.Duration, kills ...time.Duration) (string, bool, error) {
	f, err := newFleet(s, []string{"hall-a", "hall-b", "hall-c"}, 2)
	if err != nil {
		return "", false, err
	}
	defer f.stop()
	for _, n := range f.nodes[4:] {
		n.restartAfter = lastHallDelay
	}
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
		for _, at := range kills {
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
