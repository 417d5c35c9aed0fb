package gateway_test

import (
	"strings"
	"testing"
	"time"

	"stiletrail/internal/forward"
	"stiletrail/internal/gateway"
)

// countKeys counts the keys of the store that begin with a prefix.
func (s *fakeStore) countKeys(prefix string) (count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			count++
		}
	}
	return count
}

const (
	quarantines = "quarantine/"
	retrials    = "quarantine-retrial/"
	// rewrittenWithin is the longest time until a quarantine is in the store again. It covers the pauses of nodes
	// that know the quarantine only from others, before they write it.
	rewrittenWithin = 10 * time.Second
)

// TestQuarantineMissingFromRestoredStore guards against a quarantine that ends because the store was restored from a
// backup that lacks it. All nodes must keep it, also when they know it from the store alone, and write it again, so
// that a node that starts afterwards knows it.
func TestQuarantineMissingFromRestoredStore(t *testing.T) {
	withCrashFleet(t, 5, func(f *crashFleet) {
		const path = "/all/!"
		backup := f.store.backup()
		f.quarantineRequest(path)
		for number := range fleetNodes {
			f.contexts[number]()
		}
		for number := range fleetNodes {
			f.restart(number)
		}
		time.Sleep(10 * time.Second)
		f.store.restore(backup)
		f.store.rewriteLost()
		for restoredAt := time.Now(); time.Since(restoredAt) < rewrittenWithin; time.Sleep(200 * time.Millisecond) {
			f.checkRefusedByAll(t, path)
		}
		if f.store.countKeys(quarantines) == 0 {
			t.Error("the quarantine was not written to the restored store again")
		}
		if len(f.reachTimes) > 0 {
			t.Errorf("%d back ends were reached by the quarantined request, want none", len(f.reachTimes))
		}
		f.restart(2)
		time.Sleep(3 * time.Second)
		f.checkRefusedByAll(t, path)
	})
}

// TestLiftedQuarantineInRestoredStore guards against a quarantine that returns because the store was restored from a
// backup that still contains it, although an answer had ended it. The nodes must refuse no request, and remove the
// quarantine from the store again.
func TestLiftedQuarantineInRestoredStore(t *testing.T) {
	withCrashFleet(t, 5, func(f *crashFleet) {
		const path = "/all/!"
		f.quarantineRequest(path)
		backup := f.store.backup()
		f.mu.Lock()
		f.crashes = func(gateway.BackEndRequest) bool { return false }
		f.mu.Unlock()
		if result := f.requestAs(1, "somebody else", path, ""); result.Failure != nil {
			t.Errorf("the request of another caller was refused: %v", result.Reason)
		}
		time.Sleep(3 * time.Second)
		before := f.store.countKeys(quarantines)
		f.checkServedByAll(t, path)
		f.store.restore(backup)
		f.store.rewriteLost()
		for restoredAt := time.Now(); time.Since(restoredAt) < rewrittenWithin; time.Sleep(500 * time.Millisecond) {
			f.checkServedByAll(t, path)
		}
		if now := f.store.countKeys(quarantines); now > before {
			t.Errorf("the restored store contains %d quarantines, want no more than the %d before the restore", now, before)
		}
	})
}

// TestRetrialMissingFromRestoredStore checks that a claim that lets one node retry a quarantined request for all
// nodes is written again after the store was restored from a backup that lacks it. While the store may lack the claim
// of another node, no node may claim a retrial.
func TestRetrialMissingFromRestoredStore(t *testing.T) {
	withCrashFleet(t, 5, func(f *crashFleet) {
		const path = "/all/!"
		f.quarantineRequest(path)
		f.mu.Lock()
		f.version = "v2"
		f.mu.Unlock()
		for shard := range fleetShards {
			f.startBackEnd(fleetShard(shard), fleetZone(shard))
		}
		time.Sleep(3 * time.Second)
		backup := f.store.backup()
		f.store.restore(backup)
		time.Sleep(1500 * time.Millisecond)
		f.checkRefusedByAll(t, path)
		if len(f.reachTimes) > 0 || f.store.countKeys(retrials) > 0 {
			t.Errorf("%d back ends of the new version were reached, want none while the store may lack a claim", len(f.reachTimes))
		}
		time.Sleep(3 * time.Second)
		f.request(0, path)
		time.Sleep(time.Second)
		if len(f.reachTimes) != 1 || f.store.countKeys(retrials) != 1 {
			t.Errorf("%d back ends of the new version were reached, want one, by one claim in the store", len(f.reachTimes))
		}
		f.store.restore(backup)
		time.Sleep(2 * time.Second)
		if f.store.countKeys(retrials) != 1 {
			t.Error("the claim of the retrial was not written to the restored store again")
		}
	})
}

// quarantineRequest sends a request until it is under quarantine on all nodes and in the store, and then clears what
// it reached.
func (f *crashFleet) quarantineRequest(path string) {
	for number := 0; f.request(number%fleetNodes, path).Reason != forward.Quarantined; number++ {
		time.Sleep(crashingInterval)
	}
	time.Sleep(5 * time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reachTimes = nil
}

// checkServedByAll checks that each node serves the request for a caller that has crashed no back end.
func (f *crashFleet) checkServedByAll(t *testing.T, path string) {
	t.Helper()
	for number := range fleetNodes {
		if result := f.requestAs(number, "a third one", path, ""); result.Failure != nil {
			t.Errorf("node %d refuses the request of another caller: %v", number, result.Reason)
		}
	}
}

func (f *crashFleet) checkRefusedByAll(t *testing.T, path string) {
	t.Helper()
	for number := range fleetNodes {
		if result := f.request(number, path); result.Reason != forward.Quarantined {
			t.Errorf("node %d does not refuse the request as quarantined: %v, %v", number, result.Reason, result.Failure)
		}
	}
}
