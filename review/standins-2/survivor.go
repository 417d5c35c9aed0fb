package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Timing of the case, and the bound on the recovery.
const (
	survivorLoadFrom  = 9 * time.Second
	removeAt          = 25 * time.Second
	finalKillAt       = 26 * time.Second
	seedLag           = 3 * time.Second
	recoveryTime      = 15 * time.Second
	survivorLoadUntil = 62 * time.Second
	survivorPerSecond = 20
	// servedShare is the share of the requests that must be served after the recovery, if it was served before.
	servedShare = 0.25
)

// attemptOfClient is a client's request with the status of its answer.
type attemptOfClient struct {
	sent   time.Duration
	status int
}

// playSurvivor removes two of three machines for good, and kills the process of the third one at the end. It starts again with
// seeds that lag by a second, and gets those of that moment in its settings soon after. A tenant asks for a fifth of its limit
// all the time.
func playSurvivor(s *scene) (string, bool, error) {
	zones := []string{"hall-a", "hall-b", "hall-c"}
	f, err := newFleet(s, zones, 1)
	if err != nil {
		return "", false, err
	}
	defer f.stop()
	for _, zone := range zones {
		if _, err := f.addBackEnd("i-"+zone, "receipts", zone, 5*time.Millisecond); err != nil {
			return "", false, err
		}
	}
	f.store.put("op/config", tenantConfiguration(limit{ratePerSecond: 100}))
	if err := f.start([]int{0, 1, 2}); err != nil {
		return "", false, err
	}
	if !f.awaitReady(8 * time.Second) {
		return "", false, errors.New("the gateways did not become ready")
	}
	var attempts []attemptOfClient
	var work sync.WaitGroup
	work.Go(func() { attempts = loadAnyNode(s, f) })
	if s.trouble {
		sleepUntil(s, removeAt)
		for _, n := range f.nodes[1:] {
			s.record.add("machine of node=%s is removed for good", n.name)
			n.stop()
		}
		sleepUntil(s, finalKillAt)
		s.record.add("final fault: all processes are killed")
		f.nodes[0].signal(syscall.SIGKILL)
		sleepUntil(s, removeAt+seedLag)
		if err := f.changeSeeds(f.nodes[0], []int{0}); err != nil {
			return "", false, err
		}
	}
	work.Wait()
	before, after := share(attempts, 0, finalKillAt), share(attempts, finalKillAt+restartDelay+recoveryTime, survivorLoadUntil)
	seen := fmt.Sprintf("RECOVER: served %.2f of the requests before the final fault, %.2f of those sent later than %v after the machine came back", before, after, recoveryTime)
	return seen, before >= servedShare && after < servedShare, nil
}

// share returns the share of the requests sent in a time that were served.
func share(attempts []attemptOfClient, from, until time.Duration) float64 {
	sent, served := 0, 0
	for _, a := range attempts {
		if a.sent < from || a.sent >= until {
			continue
		}
		sent++
		if a.status == 200 {
			served++
		}
	}
	return float64(served) / float64(max(sent, 1))
}

// loadAnyNode sends the requests of the tenant's clients to the nodes that are ready.
func loadAnyNode(s *scene, f *fleet) (attempts []attemptOfClient) {
	var mu sync.Mutex
	var open sync.WaitGroup
	for n := 0; s.record.now() < survivorLoadUntil; n++ {
		sleepUntil(s, survivorLoadFrom+time.Duration(n)*time.Second/survivorPerSecond)
		target := f.pickAny(n)
		if target == nil {
			continue
		}
		open.Go(func() {
			id, sent := newRequestID(), s.record.now()
			status := send(s.record, target.callers, request{id: id, host: "fetch.example", path: "/receipt/" + id, key: "key-1", deadline: clientTimeout})
			mu.Lock()
			defer mu.Unlock()
			attempts = append(attempts, attemptOfClient{sent, status})
		})
	}
	open.Wait()
	return attempts
}
