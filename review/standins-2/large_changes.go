package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

// Timing and sizes of the case.
const (
	storeCutAt  = 12 * time.Second
	storeHealAt = storeCutAt + 5500*time.Millisecond
	probeUntil  = 45 * time.Second
	probePause  = 100 * time.Millisecond
	// stormFrom is when the first of the versions in quick succession is written, stormPause the time between two.
	stormFrom     = storeCutAt + 500*time.Millisecond
	stormPause    = 330 * time.Millisecond
	stormVersions = 13
	// configurationBytes is the size of a version: a little under value_bytes, 1,048,576.
	configurationBytes = 1_048_000
)

// playLargeChanges cuts the store off from the gateways for 5.5 seconds, while the operator writes large versions in quick
// succession. The first of them moves a route to another service.
func playLargeChanges(s *scene) (string, bool, error) {
	f, err := newFleet(s, []string{"hall-a"}, 2)
	if err != nil {
		return "", false, err
	}
	defer f.stop()
	var mu sync.Mutex
	ranOld := map[string]bool{}
	for _, service := range []string{"old", "new"} {
		b, err := f.addBackEnd("i-"+service, service, "hall-a", 5*time.Millisecond)
		if err != nil {
			return "", false, err
		}
		b.onRun = func(id, _ string) {
			mu.Lock()
			defer mu.Unlock()
			ranOld[id] = service == "old"
		}
	}
	f.store.put("op/config", largeConfiguration(1, "old"))
	if err := f.start([]int{0, 1}); err != nil {
		return "", false, err
	}
	if !f.awaitReady(8 * time.Second) {
		return "", false, errors.New("the gateways did not become ready")
	}
	var acknowledged time.Duration
	var work sync.WaitGroup
	work.Go(func() {
		for i := range stormVersions {
			sleepUntil(s, stormFrom+time.Duration(i)*stormPause)
			f.store.put("op/config", largeConfiguration(2+i, "new"))
			s.record.add("version=%d is acknowledged", 2+i)
			if i == 0 {
				acknowledged = s.record.now()
			}
		}
	})
	if s.trouble {
		work.Go(func() {
			sleepUntil(s, storeCutAt)
			s.record.add("the store is cut off")
			for _, n := range f.nodes {
				n.storeLink.setSilent(true)
			}
			sleepUntil(s, storeHealAt)
			s.record.add("the cut heals")
			for _, n := range f.nodes {
				n.storeLink.setSilent(false)
			}
		})
	}
	sent := map[string]time.Duration{}
	for i := 0; s.record.now() < probeUntil; i++ {
		target := f.nodes[i%len(f.nodes)]
		id := newRequestID()
		sent[id] = s.record.now()
		send(s.record, target.callers, request{id: id, host: "fetch.example", path: "/receipt/" + id, deadline: clientTimeout})
		time.Sleep(probePause)
	}
	work.Wait()
	inTouchFrom := max(acknowledged+applyWithin, storeHealAt+contactTime)
	stale, last := 0, time.Duration(0)
	for id, at := range sent {
		if at > inTouchFrom && ranOld[id] {
			stale++
			last = max(last, at)
		}
	}
	seen := fmt.Sprintf("CONFIG: %d requests sent later than %v after the acknowledgement (%.1f s), by machines in touch (from %.1f s), ran at the old service, the last sent at %.1f s",
		stale, applyWithin, acknowledged.Seconds(), inTouchFrom.Seconds(), last.Seconds())
	return seen, stale > 0, nil
}

// largeConfiguration returns a configuration whose first route leads to a service, with as many further routes as make it
// nearly as large as a value may be.
func largeConfiguration(version int, service string) map[string]any {
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{
			"Name": name, "Host": "fetch.example", "PathPrefix": prefix, "Type": "idempotent", "TimeoutMs": 2000,
			"TargetLatencyMs": 1000, "MaxAttempts": 2, "Priority": 1, "Service": service,
		}
	}
	routes := []any{route("receipt", "/receipt/", service)}
	const furtherBytes = 400
	for i := range (configurationBytes - 1000) / furtherBytes {
		name := fmt.Sprintf("route-%05d", i)
		further := route(name, "/"+name+"-"+strings.Repeat("x", furtherBytes-198)+"/", "old")
		routes = append(routes, further)
	}
	return map[string]any{
		"Version": version, "Routes": routes,
		"Services": []any{
			map[string]any{"Name": "old", "HealthPath": "/health", "MaxConnections": 200},
			map[string]any{"Name": "new", "HealthPath": "/health", "MaxConnections": 200},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000},
	}
}
