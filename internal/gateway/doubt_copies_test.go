package gateway_test

import (
	"testing"
	"time"
)

// TestDoubtLastsUntilWritten: a back end that the store has lost with a copy is known for as long as it takes to write itself again, which is longer than the
// doubt that follows an outage.
func TestDoubtLastsUntilWritten(t *testing.T) {
	play(t, func(t *testing.T, s *scene) {
		time.Sleep(10 * time.Second)
		kept := s.store.copy()
		s.store.put(backEnd("s0", "-new", "zone"))
		time.Sleep(3 * time.Second)
		known := s.gateway.BackEndsKnown()
		s.store.restore(kept)
		for began := time.Now(); time.Since(began) < 2300*time.Millisecond; time.Sleep(50 * time.Millisecond) {
			if now := s.gateway.BackEndsKnown(); now != known {
				t.Errorf("%v after the copy %d back ends are known, %d before", time.Since(began), now, known)
				break
			}
		}
		time.Sleep(2 * time.Second)
		if now := s.gateway.BackEndsKnown(); now != known-1 {
			t.Errorf("%d back ends are known in the end, want %d", now, known-1)
		}
	})
}
