package gateway_test

import (
	"testing"
	"time"
)

// TestDoubtLastsUntilRewritten guards against dropping a back end whose entry is missing after the store was restored
// from a backup. The node must keep it for as long as the back end needs to write the entry again, which is longer
// than entries are kept after an outage.
func TestDoubtLastsUntilRewritten(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		time.Sleep(10 * time.Second)
		backup := s.store.backup()
		s.store.put(backEnd("s0", "-new", "zone"))
		time.Sleep(3 * time.Second)
		known := s.gateway.BackEndsKnown()
		s.store.restore(backup)
		for restoredAt := time.Now(); time.Since(restoredAt) < 2300*time.Millisecond; time.Sleep(50 * time.Millisecond) {
			if now := s.gateway.BackEndsKnown(); now != known {
				t.Errorf("%v after the restore %d back ends are known, want %d as before", time.Since(restoredAt), now, known)
				break
			}
		}
		time.Sleep(2 * time.Second)
		if now := s.gateway.BackEndsKnown(); now != known-1 {
			t.Errorf("%d back ends are known in the end, want %d", now, known-1)
		}
	})
}
