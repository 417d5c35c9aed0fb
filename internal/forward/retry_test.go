package forward_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"stiletrail/internal/failure"
	"stiletrail/internal/forward"
	"stiletrail/internal/replica"
	"stiletrail/internal/routing"
)

// withRetryPause returns settings with a pause of 25 ms before a retry, and without hedges.
func withRetryPause() forward.Settings {
	with := settings
	with.RetryPause = 25 * millisecond
	with.HedgeShare = 0
	return with
}

func startWithRetryPause(t *testing.T, route *routing.Route, node forward.Node) *harness {
	s := &harness{t: t}
	request, actions := forward.Start(0, forward.Parameters{Route: route, Service: "a"}, withRetryPause(), node)
	s.request = request
	s.collect(actions)
	return s
}

// TestRetryAfterPause checks that a shard without budget for a retry is asked again after pauses. The request once
// failed at this point with most of its time left.
func TestRetryAfterPause(t *testing.T) {
	node := newNode(0, "a", "b")
	route := fanOut("a", "b")
	route.MinimumCoverage = 1
	s := startWithRetryPause(t, route, node).endAttempt(0, answerOf("sa", "")).endAttempt(1, outcomeOf(forward.Lost))
	if s.answer != nil {
		t.Fatalf("got answer %+v with a second left, want a pause before a retry", s.answer)
	}
	if wake := s.request.NextWake(0); wake != 25*millisecond {
		t.Errorf("next wake at %v, want 25ms", wake)
	}
	if s.tickAt(25 * millisecond); len(s.sent) != 2 {
		t.Fatalf("sent to %v without budget, want no retry", s.sentTo())
	}
	node.budget = 1
	if s.tickAt(75 * millisecond); !slices.Equal(s.sentTo(), []string{"a-1", "b-1", "b-1"}) {
		t.Fatalf("sent to %v, want a-1, b-1 and b-1 again", s.sentTo())
	}
	if s.endAttempt(2, answerOf("sb", "")); s.answer == nil || s.answer.Reason != forward.Complete {
		t.Errorf("got answer %+v, want reason complete", s.answer)
	}
}

// TestAnsweredOnceNothingMoreCanArrive checks that a request is answered as soon as no further answer can arrive in
// time.
func TestAnsweredOnceNothingMoreCanArrive(t *testing.T) {
	t.Run("every replica is ejected beyond the deadline", func(t *testing.T) {
		node := newNode(0, "a")
		node.recoverAt = map[string]time.Duration{"a": 2 * time.Second}
		s := startWithRetryPause(t, single(true), node).endAttempt(0, outcomeOf(forward.Lost))
		if s.answer == nil || s.answer.Failure == nil || s.answer.Failure.Code != failure.OutcomeUnknown {
			t.Errorf("got answer %+v, want OUTCOME_UNKNOWN", s.answer)
		}
	})
	t.Run("enough shards have answered, and every replica is ejected beyond the target", func(t *testing.T) {
		node := newNode(0, "a", "b")
		node.recoverAt = map[string]time.Duration{"b": 400 * millisecond}
		s := startWithRetryPause(t, fanOut("a", "b"), node).endAttempt(1, outcomeOf(forward.Lost)).endAttempt(0, answerOf("sa", ""))
		if s.answer == nil || s.answer.MissingShards != 1 || s.answer.Reason != forward.ShardsFailed {
			t.Errorf("got answer %+v, want success with 1 missing shard, reason shards_failed", s.answer)
		}
	})
	t.Run("enough shards have answered, and a replica may answer by the target", func(t *testing.T) {
		s := startWithRetryPause(t, fanOut("a", "b"), newNode(0, "a", "b")).endAttempt(1, outcomeOf(forward.Lost)).endAttempt(0, answerOf("sa", ""))
		if s.answer != nil {
			t.Fatalf("got answer %+v, want none before the target latency", s.answer)
		}
		if s.tickAt(190 * millisecond); s.answer == nil || s.answer.Reason != forward.TargetReached {
			t.Errorf("got answer %+v, want reason target_reached", s.answer)
		}
	})
	t.Run("no back end has run it within a fifth of the target", func(t *testing.T) {
		node := newNode(0, "a")
		s := startWithRetryPause(t, single(true), node).endAttempt(0, outcomeOf(forward.Refused))
		if wake := s.request.NextWake(0); s.answer != nil || wake != 25*millisecond {
			t.Fatalf("next wake at %v with answer %+v, want 25ms and no answer", wake, s.answer)
		}
		s.tickAt(25 * millisecond)
		if wake := s.request.NextWake(s.now); wake != 40*millisecond {
			t.Fatalf("next wake at %v, want 40ms", wake)
		}
		if s.tickAt(40 * millisecond); s.answer == nil || s.answer.Failure == nil || !s.answer.Failure.NotRun || s.answer.Failure.RetryAfter == 0 {
			t.Errorf("got answer %+v, want a refusal with a retry-after time", s.answer)
		}
	})
	t.Run("the only back end gave a failure of its own", func(t *testing.T) {
		failed := forward.Outcome{Kind: forward.Failed, Response: &forward.Response{Status: 500}}
		s := startWithRetryPause(t, single(true), newNode(0, "a")).endAttempt(0, failed)
		if s.answer == nil || s.answer.BackEndResponse == nil {
			t.Errorf("got answer %+v, want the answer of the back end", s.answer)
		}
	})
	t.Run("a request that is not repeatable may have run", func(t *testing.T) {
		s := startWithRetryPause(t, single(false), newNode(9, "a")).endAttempt(0, outcomeOf(forward.Lost))
		if s.answer == nil || s.answer.Failure == nil || s.answer.Failure.NotRun {
			t.Errorf("got answer %+v, want a failure without the claim that it did not run", s.answer)
		}
	})
}

// TestRetryPauseBounds checks over random outcomes, with pauses, that the request of a shard goes to no more back
// ends than the route allows, that extra attempts stay within the budget, and that the request is answered by its
// deadline.
func TestRetryPauseBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		route := fanOut("a", "b", "c")
		route.MaximumAttempts = rapid.IntRange(1, 3).Draw(rt, "most")
		budget := rapid.IntRange(0, 10).Draw(rt, "budget")
		s := startWithRetryPause(t, route, newNode(budget, "a", "b", "c"))
		for step := 0; s.answer == nil && step < 400; step++ {
			s.now += time.Duration(rapid.IntRange(0, 30).Draw(rt, "pass")) * millisecond
			number := rapid.IntRange(-1, len(s.sent)-1).Draw(rt, "attempt")
			if number < 0 {
				s.tickAt(s.now)
				continue
			}
			kind := rapid.SampledFrom([]forward.OutcomeKind{forward.Answered, forward.Refused, forward.Lost, forward.NotSent}).Draw(rt, "kind")
			outcome := outcomeOf(kind)
			if kind == forward.Answered {
				outcome.Response = &forward.Response{Status: 200, Signature: "s"}
			}
			s.endAttempt(number, outcome)
		}
		if s.tickAt(route.Timeout); s.answer == nil {
			rt.Fatal("no answer at the deadline")
		}
		extras := 0
		for shard, service := range route.Shards {
			arrived := 0
			asked := map[*replica.Replica]bool{}
			for _, attempt := range s.sent {
				if attempt.Shard == shard && attempt.Outcome.Kind != forward.NotSent {
					arrived++
					asked[attempt.Replica] = true
				}
			}
			if len(asked) > route.MaximumAttempts {
				rt.Fatalf("%s: %d back ends were asked, the route allows %d", service, len(asked), route.MaximumAttempts)
			}
			extras += max(0, arrived-1)
		}
		if extras > budget {
			rt.Fatalf("%d extra attempts were delivered with a budget of %d", extras, budget)
		}
	})
}

// TestNoAttemptThatCannotMeetDeadline checks that no first attempt, retry or hedge is sent whose answer cannot arrive
// by the deadline. A request of which nothing has run is then refused as not run.
func TestNoAttemptThatCannotMeetDeadline(t *testing.T) {
	const minimumLatency = 60 * millisecond
	newDistantNode := func(services ...string) *fakeNode {
		w := newNode(9, services...)
		for _, replicas := range w.replicas {
			for _, r := range replicas {
				r.StartAttempt(0)
				r.FinishAttempt(minimumLatency, 0, replica.Answered)
			}
		}
		return w
	}
	startWithDeadline := func(route *routing.Route, deadline time.Duration) *harness {
		s := &harness{t: t}
		paced := settings
		paced.RetryPause = 25 * millisecond
		request, actions := forward.Start(0, forward.Parameters{Route: route, Service: "a", Deadline: deadline}, paced, newDistantNode("a", "b", "c"))
		s.request = request
		s.collect(actions)
		return s
	}
	t.Run("first", func(t *testing.T) {
		s := startWithDeadline(fanOut("a", "b", "c"), minimumLatency)
		if len(s.sent) > 0 || s.answer == nil || s.answer.Failure == nil || !s.answer.Failure.NotRun {
			t.Errorf("sent to %v with answer %+v, want no attempt and a refusal as not run", s.sentTo(), s.answer)
		}
	})
	t.Run("retry", func(t *testing.T) {
		s := startWithDeadline(single(true), 100*millisecond)
		s.now = 50 * millisecond
		s.endAttempt(0, outcomeOf(forward.Refused))
		if s.tickAt(90 * millisecond); len(s.sent) != 1 || s.answer == nil || !s.answer.Failure.NotRun {
			t.Errorf("sent to %v with answer %+v, want one attempt and a refusal as not run", s.sentTo(), s.answer)
		}
	})
	t.Run("hedge", func(t *testing.T) {
		s := startWithDeadline(single(true), 115*millisecond)
		if s.tickAt(52 * millisecond); len(s.sent) != 1 || s.request.Denied(s.sent[0]) != forward.DeniedTooLate {
			t.Errorf("sent to %v, denied %q, want one attempt and too_late", s.sentTo(), s.request.Denied(s.sent[0]))
		}
	})
	t.Run("in time", func(t *testing.T) {
		if s := startWithDeadline(single(true), 115*millisecond).tickAt(5 * millisecond); len(s.sent) != 1 || s.answer != nil {
			t.Errorf("sent to %v with answer %+v, want one attempt and no answer yet", s.sentTo(), s.answer)
		}
	})
}
