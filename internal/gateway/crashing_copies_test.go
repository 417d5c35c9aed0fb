package gateway_test

import (
	"strings"
	"testing"
	"time"

	"stiletrail/internal/forward"
	"stiletrail/internal/gateway"
)

// keys of the store that begin with a prefix.
func (s *fakeStore) keys(prefix string) (count int) {
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
	// storedWithin is how long it takes at most until a quarantine is in the store again: the pauses before nodes write that have only heard of it.
	storedWithin = 10 * time.Second
)

// TestQuarantineLostWithACopy: a store that is back from a copy and knows of no quarantine lets nobody go, also where all nodes know it from the store alone; they
// write it again, and one that starts then knows it.
func TestQuarantineLostWithACopy(t *testing.T) {
	playFrail(t, 5, func(f *frailFleet) {
		const path = "/all/!"
		kept := f.store.copy()
		f.convict(path)
		for number := range frailNodes {
			f.contexts[number]()
		}
		for number := range frailNodes {
			f.restart(number)
		}
		time.Sleep(10 * time.Second)
		f.store.restore(kept)
		f.store.rewrite()
		for began := time.Now(); time.Since(began) < storedWithin; time.Sleep(200 * time.Millisecond) {
			f.refusedByAll(t, path)
		}
		if f.store.keys(quarantines) == 0 {
			t.Error("the store does not know the quarantine again")
		}
		if len(f.reached) > 0 {
			t.Errorf("%d back ends were reached", len(f.reached))
		}
		f.restart(2)
		time.Sleep(3 * time.Second)
		f.refusedByAll(t, path)
	})
}

// TestLiftedQuarantineComesBackWithACopy: a quarantine that an answer had ended, and that a copy of the store names again, holds up nobody, and is taken away again.
func TestLiftedQuarantineComesBackWithACopy(t *testing.T) {
	playFrail(t, 5, func(f *frailFleet) {
		const path = "/all/!"
		f.convict(path)
		kept := f.store.copy()
		f.mu.Lock()
		f.crashes = func(gateway.BackEndRequest) bool { return false }
		f.mu.Unlock()
		if result := f.askAs(1, "somebody else", path, ""); result.Failure != nil {
			t.Errorf("somebody else is refused: %v", result.Reason)
		}
		time.Sleep(3 * time.Second)
		left := f.store.keys(quarantines)
		f.servedByAll(t, path)
		f.store.restore(kept)
		f.store.rewrite()
		for began := time.Now(); time.Since(began) < storedWithin; time.Sleep(500 * time.Millisecond) {
			f.servedByAll(t, path)
		}
		if now := f.store.keys(quarantines); now > left {
			t.Errorf("the store goes on naming %d quarantines, %d before the copy", now, left)
		}
	})
}

// TestRetrialLostWithACopy: what one node was let do for all is written again, and nobody is let do anything while the store may lack that another was.
func TestRetrialLostWithACopy(t *testing.T) {
	playFrail(t, 5, func(f *frailFleet) {
		const path = "/all/!"
		f.convict(path)
		f.mu.Lock()
		f.version = "v2"
		f.mu.Unlock()
		for shard := range frailShards {
			f.begin(frailShard(shard), frailZone(shard))
		}
		time.Sleep(3 * time.Second)
		kept := f.store.copy()
		f.store.restore(kept)
		time.Sleep(1500 * time.Millisecond)
		f.refusedByAll(t, path)
		if len(f.reached) > 0 || f.store.keys(retrials) > 0 {
			t.Errorf("%d back ends of the new version were reached while the store may lack that others were", len(f.reached))
		}
		time.Sleep(3 * time.Second)
		f.ask(0, path)
		time.Sleep(time.Second)
		if len(f.reached) != 1 || f.store.keys(retrials) != 1 {
			t.Errorf("%d back ends of the new version were reached", len(f.reached))
		}
		f.store.restore(kept)
		time.Sleep(2 * time.Second)
		if f.store.keys(retrials) != 1 {
			t.Error("the store does not know again that one was let try")
		}
	})
}

// convict has a request put under quarantine, on all nodes and in the store, and forgets what it reached.
func (f *frailFleet) convict(path string) {
	for number := 0; f.ask(number%frailNodes, path).Reason != forward.Quarantined; number++ {
		time.Sleep(crashingEvery)
	}
	time.Sleep(5 * time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reached = nil
}

// servedByAll checks that no node refuses what others than the one who ended back ends with it ask.
func (f *frailFleet) servedByAll(t *testing.T, path string) {
	t.Helper()
	for number := range frailNodes {
		if result := f.askAs(number, "a third one", path, ""); result.Failure != nil {
			t.Errorf("node %d refuses: %v", number, result.Reason)
		}
	}
}

func (f *frailFleet) refusedByAll(t *testing.T, path string) {
	t.Helper()
	for number := range frailNodes {
		if result := f.ask(number, path); result.Reason != forward.Quarantined {
			t.Errorf("node %d does not refuse: %v, %v", number, result.Reason, result.Failure)
		}
	}
}
