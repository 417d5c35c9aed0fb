package gateway_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestStoreOutOfReachOfAllNodes guards against a checker that takes faults which overlap for a fault of the gateway: if each
// node is disconnected from the store by a fault of its own, no node can learn of a change, as in an outage of the store.
func TestStoreOutOfReachOfAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := &nodeStore{}, &nodeStore{}
		s := &simulation{cluster: &cluster{stores: []*nodeStore{first, second}}}
		start := time.Now()
		at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
		s.setStoreAccess(first, false)
		time.Sleep(time.Second)
		if s.inOutage(start, at(1)) {
			t.Error("an outage is reported while one node is connected")
		}
		s.setStoreAccess(second, false)
		time.Sleep(time.Second)
		if !s.inOutage(start, at(2)) || s.inOutage(start, at(1)) {
			t.Error("an outage must be reported since the second node was disconnected, and not before")
		}
		s.setStoreAccess(first, true)
		s.setStoreAccess(second, true)
		if !s.inOutage(at(2), at(3)) || s.inOutage(at(2).Add(settleTime), at(60)) {
			t.Error("the outage must last until settleTime after the first node was connected again")
		}
	})
}
