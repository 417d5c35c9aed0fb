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

// TestAfterAFailure: what an attempt's end leads to, by what may be repeated, by budget and by attempts allowed.
func TestAfterAFailure(t *testing.T) {
	cases := []struct {
		name       string
		kind       forward.OutcomeKind
		repeatable bool
		budget     int
		most       int
		again      bool
		notRun     bool
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
		{"not sent is no attempt", forward.NotSent, true, 0, 1, true, false},
		{"expired", forward.Expired, true, 9, 2, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			route := single(c.repeatable)
			route.MaximumAttempts = c.most
			s := start(t, route, newNode(c.budget, "a")).end(0, ended(c.kind))
			if again := len(s.sent) == 2; again != c.again {
				t.Fatalf("sent %v", s.sends())
			}
			if c.again {
				return
			}
			if s.answer == nil || s.answer.Failure == nil {
				t.Fatalf("answer %+v", s.answer)
			}
			if s.answer.Failure.NotRun != c.notRun {
				t.Errorf("not run is said %v", s.answer.Failure.NotRun)
			}
		})
	}
}

// TestNeverMoreAttemptsThanAllowed, whatever happens: hedges, retries, refusals.
func TestNeverMoreAttemptsThanAllowed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		route := fanOut("a", "b", "c")
		route.MaximumAttempts = rapid.IntRange(1, 3).Draw(rt, "most")
		budget := rapid.IntRange(0, 10).Draw(rt, "budget")
		node := newNode(budget, "a", "b", "c")
		s := &scene{t: t}
		request, actions := forward.Start(0, forward.Parameters{Route: route}, settings, node)
		s.request = request
		s.take(actions)
		written := map[int]int{}
		unsent := map[int]int{}
		for step := 0; s.answer == nil && step < 200; step++ {
			s.now += time.Duration(rapid.IntRange(0, 30).Draw(rt, "pass")) * millisecond
			if rapid.Bool().Draw(rt, "tick") {
				s.at(s.now)
				continue
			}
			number := rapid.IntRange(0, len(s.sent)-1).Draw(rt, "attempt")
			kind := rapid.SampledFrom([]forward.OutcomeKind{forward.Answered, forward.Refused, forward.Lost, forward.NotSent, forward.Failed}).Draw(rt, "kind")
			outcome := ended(kind)
			if kind == forward.Answered || kind == forward.Failed {
				outcome.Response = &forward.Response{Status: 200, Signature: "s"}
			}
			fresh := s.sent[number].Outcome.Kind == 0
			s.end(number, outcome)
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
				rt.Fatalf("shard %d was sent %d times, %d of them unsent; allowed are %d", shard, count, unsent[shard], route.MaximumAttempts)
			}
		}
		if extras > budget {
			rt.Fatalf("%d extra attempts with a budget of %d", extras, budget)
		}
	})
}

// TestHedge: another replica is asked after a share of the target, once, and the first answer wins.
func TestHedge(t *testing.T) {
	s := start(t, single(true), newNode(9, "a"))
	if s.at(49 * millisecond); len(s.sent) != 1 {
		t.Fatalf("hedged too early: %v", s.sends())
	}
	if s.at(50 * millisecond); !slices.Equal(s.sends(), []string{"a-1", "a-2"}) {
		t.Fatalf("sent %v", s.sends())
	}
	if s.at(150 * millisecond); len(s.sent) != 2 {
		t.Fatalf("more attempts than allowed: %v", s.sends())
	}
	s.end(1, part("s", ""))
	if s.answer == nil || s.answer.BackEndResponse == nil || len(s.cancels) != 1 || s.cancels[0] != s.sent[0] {
		t.Errorf("answer %+v, cancelled %v", s.answer, s.cancels)
	}
}

// TestLateAgainstSiblings: once half of the shards have answered, one that takes much longer is hedged; where the budget allows hardly
// any more extra attempts that is later, here at the share of the target at which any shard is hedged.
func TestLateAgainstSiblings(t *testing.T) {
	for few, want := range map[bool]time.Duration{false: 22 * millisecond, true: 50 * millisecond} {
		node := newNode(9, "a", "b")
		node.few = few
		route := fanOut("a", "b")
		s := start(t, route, node)
		s.at(5 * millisecond)
		s.end(0, part("s", ""))
		for now := 5 * millisecond; len(s.sent) == 2 && now < route.TargetLatency; now += millisecond {
			s.at(now)
			if len(s.sent) > 2 && now != want {
				t.Errorf("few extras %v: hedged at %s, want %s", few, now, want)
			}
		}
		if len(s.sent) != 3 {
			t.Errorf("few extras %v: not hedged", few)
		}
	}
}

// TestOneAttemptIsNotHedged: where the route allows no other attempt none is looked for, and the log says nothing of one that was due.
func TestOneAttemptIsNotHedged(t *testing.T) {
	route := fanOut("a", "b")
	route.MaximumAttempts = 1
	s := start(t, route, newNode(9, "a", "b")).end(0, part("sa", ""))
	if wake := s.request.NextWake(s.now); wake != 190*millisecond {
		t.Errorf("wakes at %v, want the target", wake)
	}
	s.at(100 * millisecond)
	if denied := s.request.Denied(s.sent[1]); len(s.sent) != 2 || denied != "" {
		t.Errorf("sent %v, denied %q", s.sends(), denied)
	}
}

// TestNoHedge: where it is not allowed or there is no budget.
func TestNoHedge(t *testing.T) {
	once := single(true)
	once.MaximumAttempts = 1
	for name, s := range map[string]*scene{
		"not repeatable": start(t, single(false), newNode(9, "a")),
		"one attempt":    start(t, once, newNode(9, "a")),
		"no budget":      start(t, single(true), newNode(0, "a")),
	} {
		for now := time.Duration(0); now < 900*millisecond; now += 10 * millisecond {
			s.at(now)
		}
		if len(s.sent) != 1 {
			t.Errorf("%s: sent %v", name, s.sends())
		}
	}
}

// TestFinish: when a gathered request is answered, and with what.
func TestFinish(t *testing.T) {
	t.Run("complete", func(t *testing.T) {
		s := start(t, fanOut("a", "b"), newNode(0, "a", "b")).end(0, part("sa", "")).end(1, part("sb", ""))
		if s.answer == nil || s.answer.MissingShards != 0 || s.answer.Reason != forward.Complete {
			t.Errorf("answer %+v", s.answer)
		}
	})
	t.Run("at the target with enough", func(t *testing.T) {
		s := start(t, fanOut("a", "b"), newNode(0, "a", "b")).end(0, part("sa", "")).at(189 * millisecond)
		if s.answer != nil {
			t.Fatal("before the target")
		}
		s.at(190 * millisecond)
		if s.answer == nil || s.answer.MissingShards != 1 || s.answer.Reason != forward.TargetReached || len(s.cancels) != 1 {
			t.Errorf("answer %+v", s.answer)
		}
	})
	t.Run("after the target as soon as there is enough", func(t *testing.T) {
		s := start(t, fanOut("a", "b"), newNode(0, "a", "b")).at(300*millisecond).end(0, part("sa", ""))
		if s.answer == nil || s.answer.MissingShards != 1 {
			t.Errorf("answer %+v", s.answer)
		}
	})
	t.Run("at the deadline with too little", func(t *testing.T) {
		s := start(t, fanOut("a", "b"), newNode(0, "a", "b")).at(time.Second)
		if s.answer == nil || s.answer.Failure == nil || s.answer.Failure.Code != failure.DeadlineExceeded || s.answer.Failure.NotRun {
			t.Errorf("answer %+v", s.answer)
		}
	})
	t.Run("as soon as there can't be enough", func(t *testing.T) {
		s := start(t, fanOut("a", "b", "c"), newNode(0, "a", "b", "c")).end(0, ended(forward.Lost)).end(1, ended(forward.Lost))
		if s.answer == nil || s.answer.Failure == nil || s.answer.Failure.NotRun {
			t.Errorf("answer %+v", s.answer)
		}
	})
	t.Run("a part that is not signed does not count", func(t *testing.T) {
		s := start(t, fanOut("a", "b"), newNode(0, "a", "b")).end(0, part("", "")).end(1, part("sb", ""))
		if s.answer == nil || s.answer.MissingShards != 1 || !slices.Equal(s.answer.Signatures, []string{"sb"}) {
			t.Errorf("answer %+v", s.answer)
		}
	})
	t.Run("given up as the node stops", func(t *testing.T) {
		s := start(t, fanOut("a", "b"), newNode(0, "a", "b")).end(0, part("sa", ""))
		s.take(s.request.GiveUp(s.now))
		if s.answer == nil || s.answer.MissingShards != 1 || s.answer.Reason != forward.GivenUp {
			t.Errorf("answer %+v", s.answer)
		}
	})
	t.Run("the caller left", func(t *testing.T) {
		s := start(t, fanOut("a", "b"), newNode(0, "a", "b"))
		s.take(s.request.CallerGone())
		if s.answer != nil || len(s.cancels) != 2 || !s.request.Done() {
			t.Errorf("answer %+v, cancelled %d", s.answer, len(s.cancels))
		}
	})
}

// TestTooFewKnown: nothing is sent, the request did not run, and the caller is told when to come back.
func TestTooFewKnown(t *testing.T) {
	s := start(t, fanOut("a", "b", "c"), newNode(9, "a"))
	if len(s.sent) != 0 || s.answer == nil || s.answer.Failure == nil {
		t.Fatalf("sent %v, answer %+v", s.sends(), s.answer)
	}
	if f := s.answer.Failure; !f.NotRun || f.RetryAfter != settings.RetryAfter {
		t.Errorf("failure %+v", f)
	}
}

// TestNoRoom: a request that no replica has room for is held for a part of its target only, and then refused.
func TestNoRoom(t *testing.T) {
	node := newNode(9, "a")
	node.full["a"] = true
	s := start(t, single(true), node)
	if s.answer != nil {
		t.Fatal("refused at once")
	}
	s.at(20 * millisecond)
	node.full["a"] = false
	wake := s.request.NextWake(s.now)
	if wake > 40*millisecond {
		t.Errorf("looks for room again only at %v", wake)
	}
	if s.at(wake); len(s.sent) != 1 {
		t.Fatal("not sent when there is room")
	}
	node.full["a"] = true
	s = start(t, single(true), node).at(40 * millisecond)
	if s.answer == nil || s.answer.Failure == nil || !s.answer.Failure.NotRun || s.answer.Failure.RetryAfter == 0 {
		t.Errorf("answer %+v", s.answer)
	}
}

// TestNotRunIsSaidWithProofOnly: over random outcomes, a refusal is given only if no attempt may have run.
func TestNotRunIsSaidWithProofOnly(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		route := single(rapid.Bool().Draw(rt, "repeatable"))
		s := &scene{t: t}
		request, actions := forward.Start(0, forward.Parameters{Route: route, Service: "a"}, settings, newNode(3, "a"))
		s.request = request
		s.take(actions)
		for s.answer == nil {
			s.now += 40 * millisecond
			kind := rapid.SampledFrom([]forward.OutcomeKind{0, forward.Refused, forward.Lost, forward.NotSent, forward.Misdirected}).Draw(rt, "kind")
			if kind == 0 {
				s.at(s.now)
			} else {
				s.end(rapid.IntRange(0, len(s.sent)-1).Draw(rt, "attempt"), ended(kind))
			}
		}
		if s.answer.Failure == nil || !s.answer.Failure.NotRun {
			return
		}
		for _, attempt := range s.sent {
			if !attempt.Outcome.Kind.NotRun() || attempt.Outcome.Kind == 0 {
				rt.Fatalf("said not to have run with an attempt that ended as %v", attempt.Outcome.Kind)
			}
		}
	})
}

// TestMerge: the greatest records of all parts, falling, equal ones as often as they come; against sorting them all.
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
			s.end(i, part("s", string(body)))
		}
		sort.SliceStable(all, func(i, j int) bool { return bytes.Compare(all[i], all[j]) > 0 })
		want := bytes.Join(all[:min(top, len(all))], nil)
		if !bytes.Equal(s.answer.Records, want) {
			rt.Fatalf("got %x, want %x", s.answer.Records, want)
		}
	})
}

// TestWhatARequestMet: a request tells once, at its target, how many shards it lacks and how many attempts were shed; before it where it succeeds.
func TestWhatARequestMet(t *testing.T) {
	t.Run("at the target", func(t *testing.T) {
		node := newNode(0, "a", "b", "c")
		s := start(t, fanOut("a", "b", "c"), node).end(0, part("sa", "")).end(1, ended(forward.Refused))
		if s.at(189 * millisecond); len(node.samples) > 0 {
			t.Errorf("told %+v before the target", node.samples)
		}
		s.at(190 * millisecond)
		s.at(400 * millisecond)
		want := admit.Sample{Missing: 2, AllowedMissing: 1, ShedAttempts: 1, Attempts: 3}
		if len(node.samples) != 1 || node.samples[0] != want {
			t.Errorf("told %+v, want %+v once", node.samples, want)
		}
	})
	t.Run("when it succeeds", func(t *testing.T) {
		node := newNode(0, "a", "b")
		start(t, fanOut("a", "b"), node).end(0, part("sa", "")).end(1, part("sb", ""))
		want := admit.Sample{Missing: 0, AllowedMissing: 1, Attempts: 2}
		if len(node.samples) != 1 || node.samples[0] != want {
			t.Errorf("told %+v, want %+v once", node.samples, want)
		}
	})
	t.Run("refused though slots are free", func(t *testing.T) {
		node := newNode(0, "a", "b", "c")
		refused := ended(forward.Refused)
		refused.Load = replica.Load{Reported: true, Running: 1, Slots: 4, Slowdown: 1}
		start(t, fanOut("a", "b", "c"), node).end(0, part("sa", "")).end(1, refused).at(190 * millisecond)
		if len(node.samples) != 1 || node.samples[0].ShedAttempts != 0 {
			t.Errorf("told %+v: no back end was full", node.samples)
		}
	})
	t.Run("of one back end", func(t *testing.T) {
		node := newNode(0, "a")
		start(t, single(true), node).end(0, part("sa", ""))
		if len(node.samples) > 0 {
			t.Errorf("told %+v", node.samples)
		}
	})
}
