package forward_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"stiletrail/internal/forward"
	"stiletrail/internal/quarantine"
)

// TestRandomSchedule checks over random outcomes, budgets and verdicts that each shard keeps to the table of states,
// that NextWake never returns a time that has passed, and that the request is answered by its deadline.
func TestRandomSchedule(t *testing.T) {
	verdicts := []quarantine.Verdict{quarantine.Clear, quarantine.Suspect, quarantine.Quarantined}
	kinds := []forward.OutcomeKind{
		forward.Answered, forward.Failed, forward.Refused, forward.Misdirected, forward.NotSent, forward.Lost, forward.Invalid, forward.Expired,
	}
	rapid.Check(t, func(rt *rapid.T) {
		services := []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(rt, "shards")]
		route := fanOut(services...)
		route.MaximumAttempts = rapid.IntRange(1, 3).Draw(rt, "most")
		node := newNode(rapid.IntRange(0, 9).Draw(rt, "budget"), services...)
		node.excluded = map[string]bool{}
		node.verdict = rapid.SampledFrom(verdicts).Draw(rt, "verdict at the start")
		with := settings
		with.RetryPause = time.Duration(rapid.SampledFrom([]int{0, 25}).Draw(rt, "pause")) * millisecond
		parameters := forward.Parameters{Route: route, Retrial: node.verdict == quarantine.Quarantined}
		s := &harness{t: t}
		request, actions := forward.Start(0, parameters, with, node)
		s.request = request
		s.collect(actions)
		for step := 0; s.answer == nil && step < 300; step++ {
			service := rapid.SampledFrom(services).Draw(rt, "service")
			node.fullServices[service] = rapid.Bool().Draw(rt, "full")
			node.excluded[service] = rapid.IntRange(0, 9).Draw(rt, "excluded") == 0
			if len(s.sent) > 0 && rapid.Bool().Draw(rt, "an attempt ends") {
				outcome := forward.Outcome{Kind: rapid.SampledFrom(kinds).Draw(rt, "kind")}
				if outcome.Kind == forward.Answered || outcome.Kind == forward.Failed {
					outcome.Response = &forward.Response{Status: 200, Signature: "s"}
				}
				if outcome.Kind == forward.Lost && rapid.Bool().Draw(rt, "back end crashed") {
					outcome.BackEndCrashed = true
					node.verdict = rapid.SampledFrom(verdicts).Draw(rt, "verdict")
				}
				s.endAttempt(rapid.IntRange(0, len(s.sent)-1).Draw(rt, "attempt"), outcome)
				continue
			}
			s.tickAt(max(s.now, s.request.NextWake(s.now)))
			if wake := s.request.NextWake(s.now); s.answer == nil && wake <= s.now {
				rt.Fatalf("at %v the next wake is at %v, want a later time", s.now, wake)
			}
		}
		if s.tickAt(route.Timeout); s.answer == nil {
			rt.Fatal("no answer at the deadline")
		}
	})
}
