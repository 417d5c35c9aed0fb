package main

import (
	"errors"
	"fmt"
	"sort"
	"sync"
	"time"
)

// The bounds on limits.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

// cutLimit is the limit of the tenant in this case.
var cutLimit = limit{ratePerSecond: 40}

// limit is the limit of a tenant.
type limit struct{ ratePerSecond, burst float64 }

// bound returns the number of requests of the tenant that must not be exceeded in any window.
func (l limit) bound() float64 {
	return (l.ratePerSecond*quotaWindow.Seconds()+l.burst)*(1+quotaOverage) + quotaSlack
}

// moments are those at which a request was sent and began to run.
type moments struct{ sent, ran time.Duration }

// usage records the requests of a tenant that back ends have run.
type usage struct {
	mu   sync.Mutex
	sent map[string]time.Duration
	ran  map[string]time.Duration
}

func newUsage() *usage {
	return &usage{sent: map[string]time.Duration{}, ran: map[string]time.Duration{}}
}

// addCountedBackEnds starts two back ends in each zone that count the requests which they run.
func (f *fleet) addCountedBackEnds(u *usage) error {
	for _, zone := range f.zones {
		for i := range 2 {
			b, err := f.addBackEnd(fmt.Sprintf("i-%s-%d", zone, i), "receipts", zone, 5*time.Millisecond)
			if err != nil {
				return err
			}
			b.onRun = func(id, _ string) {
				u.mu.Lock()
				defer u.mu.Unlock()
				if _, again := u.ran[id]; !again {
					u.ran[id] = f.scene.record.now()
				}
			}
		}
	}
	return nil
}

// busiest returns the greatest number of requests that were both sent and run within one window, and when it ended.
func (u *usage) busiest(window time.Duration) (most int, end time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	var all []moments
	for id, ran := range u.ran {
		all = append(all, moments{u.sent[id], ran})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].sent < all[j].sent })
	for first := range all {
		from, count := all[first].sent, 0
		for _, m := range all[first:] {
			if m.ran < from+window {
				count++
			}
		}
		if count > most {
			most, end = count, from+window
		}
	}
	return most, end
}

// Timing of the case.
const (
	loadFrom      = 9 * time.Second
	cutAt         = 12 * time.Second
	killAt        = 13 * time.Second
	healAt        = 24 * time.Second
	loadUntil     = 27 * time.Second
	loadPerZone   = 60
	clientTimeout = 2 * time.Second
)

// playQuotaCut cuts one of three halls from the others for 11 seconds, and kills its processes during the cut. A tenant asks
// for more than its limit in all halls.
func playQuotaCut(s *scene) (string, bool, error) {
	zones := []string{"hall-a", "hall-b", "hall-c"}
	f, err := newFleet(s, zones, 2)
	if err != nil {
		return "", false, err
	}
	defer f.stop()
	u := newUsage()
	if err := f.addCountedBackEnds(u); err != nil {
		return "", false, err
	}
	f.store.put("op/config", tenantConfiguration(cutLimit))
	// One machine of each hall is among the seeds.
	if err := f.start([]int{0, 2, 4}); err != nil {
		return "", false, err
	}
	if !f.awaitReady(8 * time.Second) {
		return "", false, errors.New("the gateways did not become ready")
	}
	var work sync.WaitGroup
	for _, zone := range zones {
		work.Go(func() { loadTenant(s, f, u, zone, load{from: loadFrom, until: loadUntil, perSecond: loadPerZone}) })
	}
	if s.trouble {
		sleepUntil(s, cutAt)
		s.record.add("hall-c is cut from the other halls")
		f.setCut("hall-c", true)
		sleepUntil(s, killAt)
		f.killZone("hall-c")
		sleepUntil(s, healAt)
		s.record.add("the cut heals")
		f.setCut("hall-c", false)
	}
	work.Wait()
	time.Sleep(clientTimeout)
	most, end := u.busiest(quotaWindow)
	seen := fmt.Sprintf("QUOTA: at most %d requests sent and run within %v (until %.1f s), bound %.0f", most, quotaWindow, end.Seconds(), cutLimit.bound())
	return seen, float64(most) > cutLimit.bound(), nil
}

func sleepUntil(s *scene, moment time.Duration) { time.Sleep(moment - s.record.now()) }

// load is the traffic of the tenant's clients of one zone.
type load struct {
	from, until time.Duration
	perSecond   int
}

// loadTenant sends the requests of the tenant's clients of one zone.
func loadTenant(s *scene, f *fleet, u *usage, zone string, l load) {
	var open sync.WaitGroup
	for n := 0; s.record.now() < l.until; n++ {
		sleepUntil(s, l.from+time.Duration(n)*time.Second/time.Duration(l.perSecond))
		target := f.pick(zone, n)
		if target == nil {
			continue
		}
		open.Go(func() {
			id := newRequestID()
			u.mu.Lock()
			u.sent[id] = s.record.now()
			u.mu.Unlock()
			send(s.record, target.callers, request{id: id, host: "fetch.example", path: "/receipt/" + id, key: "key-1", deadline: clientTimeout})
		})
	}
	open.Wait()
}

// tenantConfiguration returns a configuration with one route and one tenant.
func tenantConfiguration(l limit) map[string]any {
	return map[string]any{
		"Version": 7,
		"Routes": []any{map[string]any{
			"Name": "receipt", "Host": "fetch.example", "PathPrefix": "/receipt/", "Type": "idempotent", "TimeoutMs": 2000,
			"TargetLatencyMs": 1000, "MaxAttempts": 2, "Priority": 1, "Service": "receipts",
		}},
		"Services": []any{map[string]any{"Name": "receipts", "HealthPath": "/health", "MaxConnections": 200}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000},
		"Tenants":  []any{map[string]any{"Name": "tenant-1", "ApiKeys": []string{"key-1"}, "RatePerS": l.ratePerSecond, "Burst": l.burst}},
	}
}
