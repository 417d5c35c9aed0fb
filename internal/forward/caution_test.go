package forward_test

import (
	"testing"

	"stiletrail/internal/failure"
	"stiletrail/internal/forward"
	"stiletrail/internal/quarantine"
)

// gone is the outcome of an attempt whose back end ended.
var gone = forward.Outcome{Kind: forward.Lost, BackEndCrashed: true}

func (s *scene) wantSends(count int) {
	s.t.Helper()
	if len(s.sent) != count {
		s.t.Errorf("%d attempts, want %d: %v", len(s.sent), count, s.sends())
	}
}

// TestOneEndIsRetriedAfterAnAnswer: a shard whose back end ended is asked again once another one has answered.
func TestOneEndIsRetriedAfterAnAnswer(t *testing.T) {
	w := newNode(9, "a", "b", "c")
	w.verdict = quarantine.Clear
	s := start(t, fanOut("a", "b", "c"), w)
	w.verdict = quarantine.Suspect
	s.end(0, gone).wantSends(3)
	s.end(1, part("b-1", "")).wantSends(4)
	if got := s.sent[3]; got.Service != "a" || got.Replica.ID != "a-2" || len(s.cancels) != 0 {
		t.Errorf("sent %s at %s, %d withdrawn", got.Service, got.Replica.ID, len(s.cancels))
	}
	s.end(2, part("c-1", "")).end(3, part("a-2", ""))
	if s.answer == nil || s.answer.MissingShards != 0 {
		t.Errorf("answered %+v", s.answer)
	}
}

// TestTwoEndsWithdrawTheOthers: with a second end before any answer the other attempts are withdrawn, one shard is tried, and all go on once it has answered.
func TestTwoEndsWithdrawTheOthers(t *testing.T) {
	w := newNode(9, "a", "b", "c", "d")
	s := start(t, fanOut("a", "b", "c", "d"), w)
	w.verdict = quarantine.Suspect
	s.end(0, gone).end(1, gone)
	if len(s.cancels) != 2 {
		t.Fatalf("%d withdrawn", len(s.cancels))
	}
	s.wantSends(5)
	s.at(60 * millisecond).wantSends(5)
	s.end(4, part("x", "")).wantSends(8)
	for i := 5; i < 8; i++ {
		s.end(i, part(s.sent[i].Replica.ID, ""))
	}
	if s.answer == nil || s.answer.Failure != nil || s.answer.MissingShards != 0 {
		t.Errorf("answered %+v", s.answer)
	}
}

// TestTrialsEnd: one trial at a time until the request is under quarantine, and then its final answer at once, which does not say that nothing has run.
func TestTrialsEnd(t *testing.T) {
	w := newNode(9, "a", "b", "c", "d")
	s := start(t, fanOut("a", "b", "c", "d"), w)
	w.verdict = quarantine.Suspect
	s.end(0, gone).end(1, gone).end(4, gone).wantSends(6)
	w.verdict = quarantine.Quarantined
	s.end(5, gone).wantSends(6)
	if s.answer == nil || s.answer.Reason != forward.Quarantined || s.answer.Failure.Code != failure.Quarantined || s.answer.Failure.NotRun {
		t.Errorf("answered %+v", s.answer)
	}
}

// TestSuspectIsTried: a request that is suspected when it comes goes to one back end first, with no hedge beside, and another trial begins late.
func TestSuspectIsTried(t *testing.T) {
	w := newNode(9, "a", "b", "c")
	w.verdict = quarantine.Suspect
	s := start(t, fanOut("a", "b", "c"), w)
	s.wantSends(1)
	s.at(100 * millisecond).wantSends(1)
	s.at(181 * millisecond).wantSends(2)
	s.end(1, part("x", "")).wantSends(3)
}

// TestRetrialReachesOneBackEnd: a request under quarantine that may be tried all the same reaches one, whatever comes of it, unless nothing was sent.
func TestRetrialReachesOneBackEnd(t *testing.T) {
	for name, c := range map[string]struct {
		outcome forward.Outcome
		sends   int
		notRun  bool
	}{
		"ends":     {gone, 1, false},
		"refuses":  {ended(forward.Refused), 1, true},
		"not sent": {ended(forward.NotSent), 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newNode(9, "a", "b", "c")
			w.verdict = quarantine.Quarantined
			s := &scene{t: t}
			request, actions := forward.Start(0, forward.Parameters{Route: fanOut("a", "b", "c"), Retrial: true}, settings, w)
			s.request = request
			s.take(actions)
			s.end(0, c.outcome).wantSends(c.sends)
			if c.sends > 1 {
				return
			}
			if s.answer == nil || s.answer.Failure.Code != failure.Quarantined || s.answer.Failure.NotRun != c.notRun {
				t.Errorf("answered %+v", s.answer)
			}
		})
	}
}

// TestLeftOutShard: a shard whose back ends the request ends is missing from the answer, and is asked for nothing.
func TestLeftOutShard(t *testing.T) {
	w := newNode(9, "a", "b", "c")
	w.leftOut = map[string]bool{"b": true}
	s := start(t, fanOut("a", "b", "c"), w)
	s.wantSends(2)
	s.end(0, part("a-1", "")).end(1, part("c-1", ""))
	if s.answer == nil || s.answer.MissingShards != 1 || s.answer.Failure != nil {
		t.Errorf("answered %+v", s.answer)
	}
}

// TestNotRepeatableIsNotTriedAgain: an end leaves it unknown whether it has run.
func TestNotRepeatableIsNotTriedAgain(t *testing.T) {
	w := newNode(9, "a")
	s := start(t, single(false), w)
	w.verdict = quarantine.Suspect
	s.end(0, gone).wantSends(1)
	if s.answer == nil || s.answer.Failure.NotRun || s.answer.Failure.Code != failure.OutcomeUnknown {
		t.Errorf("answered %+v", s.answer)
	}
}

// TestPauseOutlastsCaution: a shard that pauses after a failure of its own is not tried again earlier because back ends end at others.
func TestPauseOutlastsCaution(t *testing.T) {
	w := newNode(0, "a", "b", "c", "d")
	paced := settings
	paced.RetryPause = 25 * millisecond
	s := &scene{t: t}
	request, actions := forward.Start(0, forward.Parameters{Route: fanOut("a", "b", "c", "d")}, paced, w)
	s.request = request
	s.take(actions)
	s.end(0, ended(forward.Lost))
	w.budget, w.verdict = 9, quarantine.Suspect
	s.end(1, gone).end(2, gone).wantSends(5)
	s.at(5*millisecond).end(4, part("x", ""))
	for _, attempt := range s.sent[5:] {
		if attempt.Service == "a" {
			t.Errorf("%s was sent %v after it failed", attempt.Replica.ID, s.now)
		}
	}
	s.at(25 * millisecond)
	if last := s.sent[len(s.sent)-1]; last.Service != "a" {
		t.Errorf("after its pause the last attempt is at %s", last.Service)
	}
}
