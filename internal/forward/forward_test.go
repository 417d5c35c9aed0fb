package forward_test

import (
	"bytes"
	"slices"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"stiletrail/internal/admit"
	"stiletrail/internal/failure"
	"stiletrail/internal/forward"
	"stiletrail/internal/replica"
)

// TestRetryAfterOutcome checks, for each outcome of an attempt, whether another attempt follows and whether the final
// failure says that the request did not run.
func TestRetryAfterOutcome(t *testing.T) {
	cases := []struct {
		name            string
		kind            forward.OutcomeKind
		repeatable      bool
		budget          int
		maximumAttempts int
		retried         bool
		notRun          bool
	}{
		{"refused, repeatable", forward.Refused, true, 9, 2, true, false},
		{"refused, not repeatable", forward.Refused, false, 9, 2, true, false},
		{"refused, no budget", forward.Refused, true, 0, 2, false, true},
		{"refused, one attempt", forward.Refused, true, 9, 1, false, true},
		{"misdirected, not repeatable", forward.Misdirected, false, 9, 2, true, false},
		{"lost, repeatable", forward.Lost, true, 9, 2, true, false},
		{"lost, not repeatable", forward.Lost, false, 9, 2, false, false},
		{"lost, no budget", forward.Lost, true, 0, 2, false, false},
		{"invalid, not repeatable", forward.Invalid, false, 9, 2, false, false},
		{"not sent needs no budget", forward.NotSent, false, 0, 2, true, false},
		{"not sent does not count as an attempt", forward.NotSent, true, 0, 1, true, false},
		{"expired", forward.Expired, true, 9, 2, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			route := single(c.repeatable)
			route.MaximumAttempts = c.maximumAttempts
			s := start(t, route, newNode(c.budget, "a")).endAttempt(0, outcomeOf(c.kind))
			if retried := len(s.sent) == 2; retried != c.retried {
				t.Fatalf("sent to %v, which is not what the case wants", s.sentTo())
			}
			if c.retried {
				return
			}
			if s.answer == nil || s.answer.Failure == nil {
				t.Fatalf("got answer %+v, want a failure", s.answer)
			}
			if s.answer.Failure.NotRun != c.notRun {
				t.Errorf("failure has NotRun %v, want the opposite", s.answer.Failure.NotRun)
			}
		})
	}
}

// TestNeverMoreAttemptsThanAllowed checks over random outcomes that no shard gets more attempts than the route
// allows, not counting attempts that were not sent, and that extra attempts stay within the budget.
func TestNeverMoreAttemptsThanAllowed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		route := fanOut("a", "b", "c")
		route.MaximumAttempts = rapid.IntRange(1, 3).Draw(rt, "most")
		budget := rapid.IntRange(0, 10).Draw(rt, "budget")
		node := newNode(budget, "a", "b", "c")
		s := &harness{t: t}
		request, actions := forward.Start(0, forward.Parameters{Route: route}, settings, node)
		s.request = request
		s.collect(actions)
		written := map[int]int{}
		unsent := map[int]int{}
		for step := 0; s.answer == nil && step < 200; step++ {
			s.now += time.Duration(rapid.IntRange(0, 30).Draw(rt, "pass")) * millisecond
			if rapid.Bool().Draw(rt, "tick") {
				s.tickAt(s.now)
				continue
			}
			number := rapid.IntRange(0, len(s.sent)-1).Draw(rt, "attempt")
			kind := rapid.SampledFrom([]forward.OutcomeKind{forward.Answered, forward.Refused, forward.Lost, forward.NotSent, forward.Failed}).Draw(rt, "kind")
			outcome := outcomeOf(kind)
			if kind == forward.Answered || kind == forward.Failed {
				outcome.Response = &forward.Response{Status: 200, Signature: "s"}
			}
			fresh := s.sent[number].Outcome.Kind == 0
			s.endAttempt(number, outcome)
			if fresh && s.sent[number].Outcome.Kind == forward.NotSent {
				unsent[s.sent[number].Shard]++
			}
		}
		for _, attempt := range s.sent {
			written[attempt.Shard]++
		}
		extras := len(s.sent) - 3
		for shard, count := range written {
			extras -= unsent[shard]
			if count-unsent[shard] > route.MaximumAttempts {
				rt.Fatalf("shard %d got %d attempts, %d of them not sent; the route allows %d", shard, count, unsent[shard], route.MaximumAttempts)
			}
		}
		if extras > budget {
			rt.Fatalf("%d extra attempts were sent with a budget of %d", extras, budget)
		}
	})
}

// TestHedge checks that another replica is asked once, after a quarter of the target latency, and that the first
// answer cancels the other attempt.
func TestHedge(t *testing.T) {
	s := start(t, single(true), newNode(9, "a"))
	if s.tickAt(49 * millisecond); len(s.sent) != 1 {
		t.Fatalf("sent to %v before the hedge is due, want one attempt", s.sentTo())
	}
	if s.tickAt(50 * millisecond); !slices.Equal(s.sentTo(), []string{"a-1", "a-2"}) {
		t.Fatalf("sent to %v, want a-1 and a-2", s.sentTo())
	}
	if s.tickAt(150 * millisecond); len(s.sent) != 2 {
		t.Fatalf("sent to %v, want no more than 2 attempts", s.sentTo())
	}
	s.endAttempt(1, answerOf("s", ""))
	if s.answer == nil || s.answer.BackEndResponse == nil || len(s.cancelled) != 1 || s.cancelled[0] != s.sent[0] {
		t.Errorf("got answer %+v with %v cancelled, want the answer of a-2 and the attempt at a-1 cancelled", s.answer, s.cancelled)
	}
}

// TestSiblingHedge checks that a shard is hedged if it takes much longer than the half of the shards that has
// answered. While few extra attempts are left it is hedged later, here at HedgeShare of the target latency.
func TestSiblingHedge(t *testing.T) {
	for few, want := range map[bool]time.Duration{false: 22 * millisecond, true: 50 * millisecond} {
		node := newNode(9, "a", "b")
		node.fewExtrasLeft = few
		route := fanOut("a", "b")
		s := start(t, route, node)
		s.tickAt(5 * millisecond)
		s.endAttempt(0, answerOf("s", ""))
		for now := 5 * millisecond; len(s.sent) == 2 && now < route.TargetLatency; now += millisecond {
			s.tickAt(now)
			if len(s.sent) > 2 && now != want {
				t.Errorf("few extra attempts left %v: hedged at %s, want %s", few, now, want)
			}
		}
		if len(s.sent) != 3 {
			t.Errorf("few extra attempts left %v: not hedged, want one hedge", few)
		}
	}
}

// TestNoHedgeBeyondMaximumAttempts checks that a route with a single attempt schedules no hedge and records none as
// denied.
func TestNoHedgeBeyondMaximumAttempts(t *testing.T) {
	route := fanOut("a", "b")
	route.MaximumAttempts = 1
	s := start(t, route, newNode(9, "a", "b")).endAttempt(0, answerOf("sa", ""))
	if wake := s.request.NextWake(s.now); wake != 190*millisecond {
		t.Errorf("next wake at %v, want 190ms, the target latency less the answer margin", wake)
	}
	s.tickAt(100 * millisecond)
	if denied := s.request.Denied(s.sent[1]); len(s.sent) != 2 || denied != "" {
		t.Errorf("sent to %v, denied %q, want 2 attempts and none denied", s.sentTo(), denied)
	}
}

// TestNoHedge checks that no hedge is sent for a request that is not repeatable, on a route with a single attempt, or
// without budget.
func TestNoHedge(t *testing.T) {
	once := single(true)
	once.MaximumAttempts = 1
	for name, s := range map[string]*harness{
		"not repeatable": start(t, single(false), newNode(9, "a")),
		"one attempt":    start(t, once, newNode(9, "a")),
		"no budget":      start(t, single(true), newNode(0, "a")),
	} {
		for now := time.Duration(0); now < 900*millisecond; now += 10 * millisecond {
			s.tickAt(now)
		}
		if len(s.sent) != 1 {
			t.Errorf("%s: sent to %v, want one attempt", name, s.sentTo())
		}
	}
}

// TestFinish checks when a request over several shards is answered, and with what.
func TestFinish(t *testing.T) {
	t.Run("complete", func(t *testing.T) {
		s := start(t, fanOut("a", "b"), newNode(0, "a", "b")).endAttempt(0, answerOf("sa", "")).endAttempt(1, answerOf("sb", ""))
		if s.answer == nil || s.answer.MissingShards != 0 || s.answer.Reason != forward.Complete {
			t.Errorf("got answer %+v, want success with no missing shard", s.answer)
		}
	})
	t.Run("at the target latency with enough shards", func(t *testing.T) {
		s := start(t, fanOut("a", "b"), newNode(0, "a", "b")).endAttempt(0, answerOf("sa", "")).tickAt(189 * millisecond)
		if s.answer != nil {
			t.Fatal("answered before the target latency")
		}
		s.tickAt(190 * millisecond)
		if s.answer == nil || s.answer.MissingShards != 1 || s.answer.Reason != forward.TargetReached || len(s.cancelled) != 1 {
			t.Errorf("got answer %+v, want success at the target with 1 missing shard", s.answer)
		}
	})
	t.Run("after the target latency as soon as enough shards have answered", func(t *testing.T) {
		s := start(t, fanOut("a", "b"), newNode(0, "a", "b")).tickAt(300*millisecond).endAttempt(0, answerOf("sa", ""))
		if s.answer == nil || s.answer.MissingShards != 1 {
			t.Errorf("got answer %+v, want success with 1 missing shard", s.answer)
		}
	})
	t.Run("at the deadline with too few shards", func(t *testing.T) {
		s := start(t, fanOut("a", "b"), newNode(0, "a", "b")).tickAt(time.Second)
		if s.answer == nil || s.answer.Failure == nil || s.answer.Failure.Code != failure.DeadlineExceeded || s.answer.Failure.NotRun {
			t.Errorf("got answer %+v, want DEADLINE_EXCEEDED without the claim that it did not run", s.answer)
		}
	})
	t.Run("as soon as too few shards can answer", func(t *testing.T) {
		s := start(t, fanOut("a", "b", "c"), newNode(0, "a", "b", "c")).endAttempt(0, outcomeOf(forward.Lost)).endAttempt(1, outcomeOf(forward.Lost))
		if s.answer == nil || s.answer.Failure == nil || s.answer.Failure.NotRun {
			t.Errorf("got answer %+v, want a failure without the claim that it did not run", s.answer)
		}
	})
	t.Run("an answer without a signature does not count", func(t *testing.T) {
		s := start(t, fanOut("a", "b"), newNode(0, "a", "b")).endAttempt(0, answerOf("", "")).endAttempt(1, answerOf("sb", ""))
		if s.answer == nil || s.answer.MissingShards != 1 || !slices.Equal(s.answer.Signatures, []string{"sb"}) {
			t.Errorf("got answer %+v, want success with 1 missing shard and signature sb", s.answer)
		}
	})
	t.Run("the node stops", func(t *testing.T) {
		s := start(t, fanOut("a", "b"), newNode(0, "a", "b")).endAttempt(0, answerOf("sa", ""))
		s.collect(s.request.GiveUp(s.now))
		if s.answer == nil || s.answer.MissingShards != 1 || s.answer.Reason != forward.GivenUp {
			t.Errorf("got answer %+v, want success with 1 missing shard, reason given_up", s.answer)
		}
	})
	t.Run("the caller disconnects", func(t *testing.T) {
		s := start(t, fanOut("a", "b"), newNode(0, "a", "b"))
		s.collect(s.request.CallerGone())
		if s.answer != nil || len(s.cancelled) != 2 || !s.request.Done() {
			t.Errorf("got answer %+v with %d attempts cancelled, want no answer and 2 cancelled", s.answer, len(s.cancelled))
		}
	})
}

// TestRefusedWithTooFewShards checks that a request is refused as not run, with a retry-after time, if too few shards
// have back ends, and that nothing is sent. Right after all entries of back ends had lapsed, requests were sent to
// the few shards that were known.
func TestRefusedWithTooFewShards(t *testing.T) {
	s := start(t, fanOut("a", "b", "c"), newNode(9, "a"))
	if len(s.sent) != 0 || s.answer == nil || s.answer.Failure == nil {
		t.Fatalf("sent to %v with answer %+v, want no attempt and a failure", s.sentTo(), s.answer)
	}
	if f := s.answer.Failure; !f.NotRun || f.RetryAfter != settings.RetryAfter {
		t.Errorf("got failure %+v, want not run with the retry-after time of the settings", f)
	}
}

// TestRefusedWithoutCapacity checks that a request whose replicas are all at their limit waits for a fifth of its
// target latency, is sent as soon as there is capacity, and is refused as not run otherwise.
func TestRefusedWithoutCapacity(t *testing.T) {
	node := newNode(9, "a")
	node.fullServices["a"] = true
	s := start(t, single(true), node)
	if s.answer != nil {
		t.Fatal("answered at once, want a wait for capacity")
	}
	s.tickAt(20 * millisecond)
	node.fullServices["a"] = false
	wake := s.request.NextWake(s.now)
	if wake > 40*millisecond {
		t.Errorf("next wake at %v, want 40ms at the latest", wake)
	}
	if s.tickAt(wake); len(s.sent) != 1 {
		t.Fatal("no attempt was sent although a replica has capacity")
	}
	node.fullServices["a"] = true
	s = start(t, single(true), node).tickAt(40 * millisecond)
	if s.answer == nil || s.answer.Failure == nil || !s.answer.Failure.NotRun || s.answer.Failure.RetryAfter == 0 {
		t.Errorf("got answer %+v, want a refusal with a retry-after time", s.answer)
	}
}

// TestNotRunOnlyWithProof checks over random outcomes that a failure says that the request did not run only if every
// attempt provably did not.
func TestNotRunOnlyWithProof(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		route := single(rapid.Bool().Draw(rt, "repeatable"))
		s := &harness{t: t}
		request, actions := forward.Start(0, forward.Parameters{Route: route, Service: "a"}, settings, newNode(3, "a"))
		s.request = request
		s.collect(actions)
		for s.answer == nil {
			s.now += 40 * millisecond
			kind := rapid.SampledFrom([]forward.OutcomeKind{0, forward.Refused, forward.Lost, forward.NotSent, forward.Misdirected}).Draw(rt, "kind")
			if kind == 0 {
				s.tickAt(s.now)
			} else {
				s.endAttempt(rapid.IntRange(0, len(s.sent)-1).Draw(rt, "attempt"), outcomeOf(kind))
			}
		}
		if s.answer.Failure == nil || !s.answer.Failure.NotRun {
			return
		}
		for _, attempt := range s.sent {
			if !attempt.Outcome.Kind.NotRun() || attempt.Outcome.Kind == 0 {
				rt.Fatalf("the failure says not run, but an attempt ended as %v", attempt.Outcome.Kind)
			}
		}
	})
}

// TestMerge checks the merged records against sorting all records: the greatest come first, and equal ones are all
// kept.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		top := rapid.IntRange(0, 6).Draw(rt, "top")
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 100), 1, 4).Draw(rt, "parts")
		route := fanOut("a", "b", "c", "d")
		route.Shards = route.Shards[:len(parts)]
		route.MaximumRecords = top
		s := start(t, route, newNode(0, "a", "b", "c", "d"))
		var all [][]byte
		for i, body := range parts {
			for rest := body; len(rest) >= forward.RecordSize; rest = rest[forward.RecordSize:] {
				all = append(all, rest[:forward.RecordSize])
			}
			s.endAttempt(i, answerOf("s", string(body)))
		}
		sort.SliceStable(all, func(i, j int) bool { return bytes.Compare(all[i], all[j]) > 0 })
		want := bytes.Join(all[:min(top, len(all))], nil)
		if !bytes.Equal(s.answer.Records, want) {
			rt.Fatalf("got records %x, want %x", s.answer.Records, want)
		}
	})
}

// TestSample checks that a request over several shards records one sample, at its target or earlier when it succeeds.
// The sample has the shards that are missing and the attempts that full back ends refused.
func TestSample(t *testing.T) {
	t.Run("at the target latency", func(t *testing.T) {
		node := newNode(0, "a", "b", "c")
		s := start(t, fanOut("a", "b", "c"), node).endAttempt(0, answerOf("sa", "")).endAttempt(1, outcomeOf(forward.Refused))
		if s.tickAt(189 * millisecond); len(node.samples) > 0 {
			t.Errorf("got samples %+v before the target, want none", node.samples)
		}
		s.tickAt(190 * millisecond)
		s.tickAt(400 * millisecond)
		want := admit.Sample{Missing: 2, AllowedMissing: 1, ShedAttempts: 1, Attempts: 3}
		if len(node.samples) != 1 || node.samples[0] != want {
			t.Errorf("got samples %+v, want %+v once", node.samples, want)
		}
	})
	t.Run("when it succeeds", func(t *testing.T) {
		node := newNode(0, "a", "b")
		start(t, fanOut("a", "b"), node).endAttempt(0, answerOf("sa", "")).endAttempt(1, answerOf("sb", ""))
		want := admit.Sample{Missing: 0, AllowedMissing: 1, Attempts: 2}
		if len(node.samples) != 1 || node.samples[0] != want {
			t.Errorf("got samples %+v, want %+v once", node.samples, want)
		}
	})
	t.Run("refused although slots are free", func(t *testing.T) {
		node := newNode(0, "a", "b", "c")
		refused := outcomeOf(forward.Refused)
		refused.Load = replica.Load{Reported: true, Running: 1, Slots: 4, Slowdown: 1}
		start(t, fanOut("a", "b", "c"), node).endAttempt(0, answerOf("sa", "")).endAttempt(1, refused).tickAt(190 * millisecond)
		if len(node.samples) != 1 || node.samples[0].ShedAttempts != 0 {
			t.Errorf("got samples %+v, want one with no shed attempt: no back end was full", node.samples)
		}
	})
	t.Run("request to a single back end", func(t *testing.T) {
		node := newNode(0, "a")
		start(t, single(true), node).endAttempt(0, answerOf("sa", ""))
		if len(node.samples) > 0 {
			t.Errorf("got samples %+v, want none for a request to a single back end", node.samples)
		}
	})
}
