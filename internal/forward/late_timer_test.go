package forward_test

import "testing"

// TestLateTimerIsNoSlowBackEnd guards against a burst of hedges after the node has stood still: the timers of all hedges are
// late, and the answers that came meanwhile are not read yet.
func TestLateTimerIsNoSlowBackEnd(t *testing.T) {
	s := start(t, fanOut("a", "b", "c", "d"), newNode(100, "a", "b", "c", "d"))
	s.tickAt(150 * millisecond)
	if len(s.sent) != 4 {
		t.Errorf("%d attempts are sent, with hedges 100 ms after they were due; want the 4 first attempts", len(s.sent))
	}
	if wake := s.request.NextWake(s.now); wake != 170*millisecond {
		t.Errorf("the next wake is %v, want 20 ms later, when the answers are read", wake)
	}
	s.answerFirst(2)
	if s.tickAt(170 * millisecond); len(s.sent) != 6 {
		t.Errorf("%d attempts are sent once the answers are read, want the 4 first ones and 2 hedges", len(s.sent))
	}
}
