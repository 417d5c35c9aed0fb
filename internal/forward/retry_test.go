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

// paced returns the settings with pauses between tries.
func paced() forward.Settings {
	with := settings
	with.RetryPause = 25 * millisecond
	with.HedgeShare = 0
	return with
}

func startPaced(t *testing.T, route *routing.Route, node forward.Node) *scene {
	s := &scene{t: t}
	request, actions := forward.Start(0, forward.Parameters{Route: route, Service: "a"}, paced(), node)
	s.request = request
	s.take(actions)
	return s
}

// TestTriedAgainAfterAPause: a shard that lacks budget is tried again while there is time, and the request is not given up.
func TestTriedAgainAfterAPause(t *testing.T) {
	node := newNode(0, "a", "b")
	route := fanOut("a", "b")
	route.MinimumCoverage = 1
	s := startPaced(t, route, node).end(0, part("sa", "")).end(1, ended(forward.Lost))
	if s.answer != nil {
		t.Fatalf("given up with a second left: %+v", s.answer)
	}
	if wake := s.request.NextWake(0); wake != 25*millisecond {
		t.Errorf("looks again at %v", wake)
	}
	if s.at(25 * millisecond); len(s.sent) != 2 {
		t.Fatalf("sent without budget: %v", s.sends())
	}
	node.budget = 1
	if s.at(75 * millisecond); !slices.Equal(s.sends(), []string{"a-1", "b-1", "b-1"}) {
		t.Fatalf("sent %v", s.sends())
	}
	if s.end(2, part("sb", "")); s.answer == nil || s.answer.Reason != forward.Complete {
		t.Errorf("answer %+v", s.answer)
	}
}

// TestNothingCanCome: a request is answered at the first moment at which nothing can come any more in the time there is.
func TestNothingCanCome(t *testing.T) {
	t.Run("every replica is ejected beyond the deadline", func(t *testing.T) {
		node := newNode(0, "a")
		node.recovers = map[string]time.Duration{"a": 2 * time.Second}
		s := startPaced(t, single(true), node).end(0, ended(forward.Lost))
		if s.answer == nil || s.answer.Failure == nil || s.answer.Failure.Code != failure.OutcomeUnknown {
			t.Errorf("answer %+v", s.answer)
		}
	})
	t.Run("with enough, every replica is ejected beyond the target", func(t *testing.T) {
		node := newNode(0, "a", "b")
		node.recovers = map[string]time.Duration{"b": 400 * millisecond}
		s := startPaced(t, fanOut("a", "b"), node).end(1, ended(forward.Lost)).end(0, part("sa", ""))
		if s.answer == nil || s.answer.MissingShards != 1 || s.answer.Reason != forward.ShardsFailed {
			t.Errorf("answer %+v", s.answer)
		}
	})
	t.Run("with enough, a replica may answer by the target", func(t *testing.T) {
		s := startPaced(t, fanOut("a", "b"), newNode(0, "a", "b")).end(1, ended(forward.Lost)).end(0, part("sa", ""))
		if s.answer != nil {
			t.Fatalf("answer %+v", s.answer)
		}
		if s.at(190 * millisecond); s.answer == nil || s.answer.Reason != forward.TargetReached {
			t.Errorf("answer %+v", s.answer)
		}
	})
	t.Run("nothing of it has run for a fifth of the target", func(t *testing.T) {
		node := newNode(0, "a")
		s := startPaced(t, single(true), node).end(0, ended(forward.Refused))
		if wake := s.request.NextWake(0); s.answer != nil || wake != 25*millisecond {
			t.Fatalf("looks again at %v, answer %+v", wake, s.answer)
		}
		s.at(25 * millisecond)
		if wake := s.request.NextWake(s.now); wake != 40*millisecond {
			t.Fatalf("looks again at %v", wake)
		}
		if s.at(40 * millisecond); s.answer == nil || s.answer.Failure == nil || !s.answer.Failure.NotRun || s.answer.Failure.RetryAfter == 0 {
			t.Errorf("answer %+v", s.answer)
		}
	})
	t.Run("the only back end's own failure", func(t *testing.T) {
		failed := forward.Outcome{Kind: forward.Failed, Response: &forward.Response{Status: 500}}
		s := startPaced(t, single(true), newNode(0, "a")).end(0, failed)
		if s.answer == nil || s.answer.BackEndResponse == nil {
			t.Errorf("answer %+v", s.answer)
		}
	})
	t.Run("a request that is not repeatable may have run", func(t *testing.T) {
		s := startPaced(t, single(false), newNode(9, "a")).end(0, ended(forward.Lost))
		if s.answer == nil || s.answer.Failure == nil || s.answer.Failure.NotRun {
			t.Errorf("answer %+v", s.answer)
		}
	})
}

// TestPacedTries: whatever happens, a shard's request goes to no more back ends than the route allows, to none while another attempt
// at it is under way, and extra arrivals keep to the budget; every request is answered by its deadline.
func TestPacedTries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		route := fanOut("a", "b", "c")
		route.MaximumAttempts = rapid.IntRange(1, 3).Draw(rt, "most")
		budget := rapid.IntRange(0, 10).Draw(rt, "budget")
		s := startPaced(t, route, newNode(budget, "a", "b", "c"))
		for step := 0; s.answer == nil && step < 400; step++ {
			s.now += time.Duration(rapid.IntRange(0, 30).Draw(rt, "pass")) * millisecond
			number := rapid.IntRange(-1, len(s.sent)-1).Draw(rt, "attempt")
			if number < 0 {
				s.at(s.now)
				continue
			}
			kind := rapid.SampledFrom([]forward.OutcomeKind{forward.Answered, forward.Refused, forward.Lost, forward.NotSent}).Draw(rt, "kind")
			outcome := ended(kind)
			if kind == forward.Answered {
				outcome.Response = &forward.Response{Status: 200, Signature: "s"}
			}
			s.end(number, outcome)
		}
		if s.at(route.Timeout); s.answer == nil {
			rt.Fatal("not answered at the deadline")
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
				rt.Fatalf("%s: %d back ends asked, allowed are %d", service, len(asked), route.MaximumAttempts)
			}
			extras += max(0, arrived-1)
		}
		if extras > budget {
			rt.Fatalf("%d extra arrivals with a budget of %d", extras, budget)
		}
	})
}

// TestNoSendThatCannotBeAnswered: no attempt goes out whose answer cannot come by the deadline, at the start, after a failure or as a hedge; what
// has not run is then refused as not run.
func TestNoSendThatCannotBeAnswered(t *testing.T) {
	const floor = 60 * millisecond
	far := func(services ...string) *fakeNode {
		w := newNode(9, services...)
		for _, replicas := range w.replicas {
			for _, r := range replicas {
				r.StartAttempt(0)
				r.FinishAttempt(floor, 0, replica.Answered)
			}
		}
		return w
	}
	begin := func(route *routing.Route, deadline time.Duration) *scene {
		s := &scene{t: t}
		paced := settings
		paced.RetryPause = 25 * millisecond
		request, actions := forward.Start(0, forward.Parameters{Route: route, Service: "a", Deadline: deadline}, paced, far("a", "b", "c"))
		s.request = request
		s.take(actions)
		return s
	}
	t.Run("first", func(t *testing.T) {
		s := begin(fanOut("a", "b", "c"), floor)
		if len(s.sent) > 0 || s.answer == nil || s.answer.Failure == nil || !s.answer.Failure.NotRun {
			t.Errorf("sent %v, answer %+v", s.sends(), s.answer)
		}
	})
	t.Run("retry", func(t *testing.T) {
		s := begin(single(true), 100*millisecond)
		s.now = 50 * millisecond
		s.end(0, ended(forward.Refused))
		if s.at(90 * millisecond); len(s.sent) != 1 || s.answer == nil || !s.answer.Failure.NotRun {
			t.Errorf("sent %v, answer %+v", s.sends(), s.answer)
		}
	})
	t.Run("hedge", func(t *testing.T) {
		s := begin(single(true), 115*millisecond)
		if s.at(52 * millisecond); len(s.sent) != 1 || s.request.Denied(s.sent[0]) != forward.DeniedTooLate {
			t.Errorf("sent %v, denied %q", s.sends(), s.request.Denied(s.sent[0]))
		}
	})
	t.Run("in time", func(t *testing.T) {
		if s := begin(single(true), 115*millisecond).at(5 * millisecond); len(s.sent) != 1 || s.answer != nil {
			t.Errorf("sent %v, answer %+v", s.sends(), s.answer)
		}
	})
}
