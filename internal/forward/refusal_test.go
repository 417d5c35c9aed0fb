package forward_test

import (
	"testing"
	"time"

	"stiletrail/internal/failure"
	"stiletrail/internal/forward"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/replica"
)

// TestRefusals checks code, reason and retry-after time of each row of the table in refusal.go.
func TestRefusals(t *testing.T) {
	refuses := outcomeOf(forward.Refused)
	named := outcomeOf(forward.Refused)
	named.RetryAfter = 300 * millisecond
	for name, c := range map[string]struct {
		play       func(t *testing.T) *harness
		code       failure.Code
		reason     forward.Reason
		retryAfter time.Duration
	}{
		"too few shards at the start": {func(t *testing.T) *harness {
			return start(t, fanOut("a", "b", "c"), newNode(9, "a"))
		}, failure.NoReplica, forward.NoBackEnd, settings.RetryAfter},
		"no back end left": {func(t *testing.T) *harness {
			node := newNode(9, "a")
			node.fullServices["a"] = true
			s := start(t, single(true), node)
			node.fullServices, node.replicas = map[string]bool{}, map[string][]*replica.Replica{}
			return s.tickAt(5 * millisecond)
		}, failure.NoReplica, forward.NoBackEnd, settings.RetryAfter},
		"all replicas at their limit": {func(t *testing.T) *harness {
			node := newNode(9, "a")
			node.fullServices["a"] = true
			return start(t, single(true), node).tickAt(40 * millisecond)
		}, failure.Overloaded, forward.NoRoom, 60 * millisecond},
		"all refused": {func(t *testing.T) *harness {
			return start(t, single(true), newNode(0, "a")).endAttempt(0, refuses)
		}, failure.Overloaded, forward.AllRefused, 60 * millisecond},
		"all refused, with a retry-after time": {func(t *testing.T) *harness {
			return start(t, single(true), newNode(0, "a")).endAttempt(0, named)
		}, failure.Overloaded, forward.AllRefused, 300 * millisecond},
		"the one attempt under quarantine was refused": {func(t *testing.T) *harness {
			node := newNode(9, "a", "b", "c")
			node.verdict = quarantine.Quarantined
			s := &harness{t: t}
			request, actions := forward.Start(0, forward.Parameters{Route: fanOut("a", "b", "c"), Retrial: true}, settings, node)
			s.request = request
			s.collect(actions)
			return s.endAttempt(0, refuses)
		}, failure.Quarantined, forward.Quarantined, settings.RetryAfter},
		"at the deadline": {func(t *testing.T) *harness {
			s := start(t, single(true), newNode(9, "a"))
			s.now = time.Second
			return s.endAttempt(0, refuses)
		}, failure.DeadlineExceeded, forward.DeadlineReached, 60 * millisecond},
		"the node stops": {func(t *testing.T) *harness {
			node := newNode(9, "a")
			node.fullServices["a"] = true
			s := start(t, single(true), node)
			s.collect(s.request.GiveUp(s.now))
			return s
		}, failure.Leaving, forward.GivenUp, 60 * millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := c.play(t)
			if s.answer == nil || s.answer.Failure == nil {
				t.Fatalf("got answer %+v, want a failure", s.answer)
			}
			f := s.answer.Failure
			if !f.NotRun || f.Code != c.code || s.answer.Reason != c.reason || f.RetryAfter != c.retryAfter {
				t.Errorf("got code %s, reason %s, retry after %v, not run %v; want those of the case, and not run", f.Code, s.answer.Reason, f.RetryAfter, f.NotRun)
			}
		})
	}
}
