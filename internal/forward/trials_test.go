package forward_test

import (
	"testing"

	"stiletrail/internal/failure"
	"stiletrail/internal/forward"
	"stiletrail/internal/quarantine"
)

// crashed is the outcome of an attempt whose back end crashed.
var crashed = forward.Outcome{Kind: forward.Lost, BackEndCrashed: true}

// wantAttempts reports a test failure unless exactly count attempts were started.
func (s *harness) wantAttempts(count int) {
	s.t.Helper()
	if len(s.sent) != count {
		s.t.Errorf("got %d attempts, want %d: %v", len(s.sent), count, s.sentTo())
	}
}

// TestCrashedShardIsRetriedAfterAnswer checks that a shard whose back end crashed is asked again once another shard
// has answered, and that no other attempt is cancelled.
func TestCrashedShardIsRetriedAfterAnswer(t *testing.T) {
	w := newNode(9, "a", "b", "c")
	w.verdict = quarantine.Clear
	s := start(t, fanOut("a", "b", "c"), w)
	w.verdict = quarantine.Suspect
	s.endAttempt(0, crashed).wantAttempts(3)
	s.endAttempt(1, answerOf("b-1", "")).wantAttempts(4)
	if got := s.sent[3]; got.Service != "a" || got.Replica.ID != "a-2" || len(s.cancelled) != 0 {
		t.Errorf("fourth attempt: shard %s at back end %s, %d attempts cancelled; want shard a at a-2 and none cancelled", got.Service, got.Replica.ID, len(s.cancelled))
	}
	s.endAttempt(2, answerOf("c-1", "")).endAttempt(3, answerOf("a-2", ""))
	if s.answer == nil || s.answer.MissingShards != 0 {
		t.Errorf("got answer %+v, want success with no missing shard", s.answer)
	}
}

// TestTwoCrashesCancelOthers checks that a second crash before any answer cancels the other attempts. One held shard
// is then tried, and all shards are asked once it has answered.
func TestTwoCrashesCancelOthers(t *testing.T) {
	w := newNode(9, "a", "b", "c", "d")
	s := start(t, fanOut("a", "b", "c", "d"), w)
	w.verdict = quarantine.Suspect
	s.endAttempt(0, crashed).endAttempt(1, crashed)
	if len(s.cancelled) != 2 {
		t.Fatalf("%d attempts cancelled, want 2", len(s.cancelled))
	}
	s.wantAttempts(5)
	s.tickAt(60 * millisecond).wantAttempts(5)
	s.endAttempt(4, answerOf("x", "")).wantAttempts(8)
	for i := 5; i < 8; i++ {
		s.endAttempt(i, answerOf(s.sent[i].Replica.ID, ""))
	}
	if s.answer == nil || s.answer.Failure != nil || s.answer.MissingShards != 0 {
		t.Errorf("got answer %+v, want success with no missing shard", s.answer)
	}
}

// TestTrialsEndWithQuarantine checks that a request is tried at one back end at a time until it is put under
// quarantine. It then gets its final answer at once, which must not say that the request did not run.
func TestTrialsEndWithQuarantine(t *testing.T) {
	w := newNode(9, "a", "b", "c", "d")
	s := start(t, fanOut("a", "b", "c", "d"), w)
	w.verdict = quarantine.Suspect
	s.endAttempt(0, crashed).endAttempt(1, crashed).endAttempt(4, crashed).wantAttempts(6)
	w.verdict = quarantine.Quarantined
	s.endAttempt(5, crashed).wantAttempts(6)
	if s.answer == nil || s.answer.Reason != forward.Quarantined || s.answer.Failure.Code != failure.Quarantined || s.answer.Failure.NotRun {
		t.Errorf("got answer %+v, want QUARANTINED without the claim that it did not run", s.answer)
	}
}

// TestSuspectedRequestIsTriedSerially checks that a request that is suspected on arrival is sent to one back end
// without a hedge, that the next trial begins after 0.9 of the target latency, and that all shards are asked after an
// answer.
func TestSuspectedRequestIsTriedSerially(t *testing.T) {
	w := newNode(9, "a", "b", "c")
	w.verdict = quarantine.Suspect
	s := start(t, fanOut("a", "b", "c"), w)
	s.wantAttempts(1)
	s.tickAt(100 * millisecond).wantAttempts(1)
	s.tickAt(181 * millisecond).wantAttempts(2)
	s.endAttempt(1, answerOf("x", "")).wantAttempts(3)
}

// TestRetrialReachesOneBackEnd checks that a request under quarantine that is allowed one attempt reaches one back
// end only, whatever the outcome. An attempt that was not sent may be replaced.
func TestRetrialReachesOneBackEnd(t *testing.T) {
	for name, c := range map[string]struct {
		outcome forward.Outcome
		sends   int
		notRun  bool
	}{
		"crashes":  {crashed, 1, false},
		"refuses":  {outcomeOf(forward.Refused), 1, true},
		"not sent": {outcomeOf(forward.NotSent), 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newNode(9, "a", "b", "c")
			w.verdict = quarantine.Quarantined
			s := &harness{t: t}
			request, actions := forward.Start(0, forward.Parameters{Route: fanOut("a", "b", "c"), Retrial: true}, settings, w)
			s.request = request
			s.collect(actions)
			s.endAttempt(0, c.outcome).wantAttempts(c.sends)
			if c.sends > 1 {
				return
			}
			if s.answer == nil || s.answer.Failure.Code != failure.Quarantined || s.answer.Failure.NotRun != c.notRun {
				t.Errorf("got answer %+v, want QUARANTINED with the not-run claim of the case", s.answer)
			}
		})
	}
}

// TestExcludedShard checks that nothing is sent to a shard whose back ends the request crashes, and that the answer
// counts it as missing.
func TestExcludedShard(t *testing.T) {
	w := newNode(9, "a", "b", "c")
	w.excluded = map[string]bool{"b": true}
	s := start(t, fanOut("a", "b", "c"), w)
	s.wantAttempts(2)
	s.endAttempt(0, answerOf("a-1", "")).endAttempt(1, answerOf("c-1", ""))
	if s.answer == nil || s.answer.MissingShards != 1 || s.answer.Failure != nil {
		t.Errorf("got answer %+v, want success with 1 missing shard", s.answer)
	}
}

// TestNotRepeatableIsNotRetriedAfterCrash checks that a request that is not repeatable is not sent again after a
// crash, since it may have run.
func TestNotRepeatableIsNotRetriedAfterCrash(t *testing.T) {
	w := newNode(9, "a")
	s := start(t, single(false), w)
	w.verdict = quarantine.Suspect
	s.endAttempt(0, crashed).wantAttempts(1)
	if s.answer == nil || s.answer.Failure.NotRun || s.answer.Failure.Code != failure.OutcomeUnknown {
		t.Errorf("got answer %+v, want OUTCOME_UNKNOWN", s.answer)
	}
}

// TestTrialsDoNotShortenPause checks that a shard that is paused after a failure of its own is not asked before its
// pause ends when crashes at other shards start trials.
func TestTrialsDoNotShortenPause(t *testing.T) {
	w := newNode(0, "a", "b", "c", "d")
	paced := settings
	paced.RetryPause = 25 * millisecond
	s := &harness{t: t}
	request, actions := forward.Start(0, forward.Parameters{Route: fanOut("a", "b", "c", "d")}, paced, w)
	s.request = request
	s.collect(actions)
	s.endAttempt(0, outcomeOf(forward.Lost))
	w.budget, w.verdict = 9, quarantine.Suspect
	s.endAttempt(1, crashed).endAttempt(2, crashed).wantAttempts(5)
	s.tickAt(5*millisecond).endAttempt(4, answerOf("x", ""))
	for _, attempt := range s.sent[5:] {
		if attempt.Service == "a" {
			t.Errorf("%s was asked %v after the start, want no attempt before its pause of 25 ms ends", attempt.Replica.ID, s.now)
		}
	}
	s.tickAt(25 * millisecond)
	if last := s.sent[len(s.sent)-1]; last.Service != "a" {
		t.Errorf("after the pause the last attempt is at shard %s, want a", last.Service)
	}
}
