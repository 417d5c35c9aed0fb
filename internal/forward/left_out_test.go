package forward_test

import "testing"

// TestLeftOutWhileItWaits: a shard that waits for room and is then left out has failed, and is not looked for any more.
func TestLeftOutWhileItWaits(t *testing.T) {
	w := newNode(9, "a", "b", "c")
	w.full["b"] = true
	s := start(t, fanOut("a", "b", "c"), w).end(0, part("a-1", ""))
	w.leftOut = map[string]bool{"b": true}
	s.at(s.request.NextWake(s.now)).wantSends(2)
	if wake := s.request.NextWake(s.now); wake <= s.now {
		t.Errorf("wakes at %v, and it is %v", wake, s.now)
	}
	s.end(1, part("c-1", ""))
	if s.answer == nil || s.answer.MissingShards != 1 || s.answer.Failure != nil {
		t.Errorf("answered %+v", s.answer)
	}
}
