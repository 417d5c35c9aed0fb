package gateway_test

import (
	"testing"
	"time"
)

// TestDoubtLastsUntilRewritten: a back end that the store has lost with a copy is known for as long as it takes to write itself again, which is longer than the
// doubt that follows an outage.
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
				t.Errorf("%v after the copy %d back ends are known, %d before", time.Since(restoredAt), now, known)
				break
			}
		}
		time.Sleep(2 * time.Second)
		if now := s.gateway.BackEndsKnown(); now != known-1 {
			t.Errorf("%d back ends are known in the end, want %d", now, known-1)
		}
	})
}
