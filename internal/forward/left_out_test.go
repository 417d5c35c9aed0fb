package forward_test

import "testing"

// TestShardExcludedWhileWaiting checks that a shard fails if it becomes excluded while it waits for capacity. It must
// not stay due at a time that has passed: the request would then run without a pause until it is answered.
func TestShardExcludedWhileWaiting(t *testing.T) {
	w := newNode(9, "a", "b", "c")
	w.fullServices["b"] = true
	s := start(t, fanOut("a", "b", "c"), w).endAttempt(0, answerOf("a-1", ""))
	w.excluded = map[string]bool{"b": true}
	s.tickAt(s.request.NextWake(s.now)).wantAttempts(2)
	if wake := s.request.NextWake(s.now); wake <= s.now {
		t.Errorf("next wake at %v, want a time after %v", wake, s.now)
	}
	s.endAttempt(1, answerOf("c-1", ""))
	if s.answer == nil || s.answer.MissingShards != 1 || s.answer.Failure != nil {
		t.Errorf("got answer %+v, want success with 1 missing shard", s.answer)
	}
}
