package forward_test

import (
	"testing"
	"time"

	"stiletrail/internal/failure"
	"stiletrail/internal/forward"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/replica"
)

// TestRefusals: the table of refusals, each with its code, its reason and its time to come back.
func TestRefusals(t *testing.T) {
	refuses := ended(forward.Refused)
	named := ended(forward.Refused)
	named.RetryAfter = 300 * millisecond
	for name, c := range map[string]struct {
		play       func(t *testing.T) *scene
		code       failure.Code
		reason     forward.Reason
		retryAfter time.Duration
	}{
		"too few at the start": {func(t *testing.T) *scene {
			return start(t, fanOut("a", "b", "c"), newNode(9, "a"))
		}, failure.NoReplica, forward.NoBackEnd, settings.RetryAfter},
		"none any more": {func(t *testing.T) *scene {
			node := newNode(9, "a")
			node.full["a"] = true
			s := start(t, single(true), node)
			node.full, node.replicas = map[string]bool{}, map[string][]*replica.Replica{}
			return s.at(5 * millisecond)
		}, failure.NoReplica, forward.NoBackEnd, settings.RetryAfter},
		"no room": {func(t *testing.T) *scene {
			node := newNode(9, "a")
			node.full["a"] = true
			return start(t, single(true), node).at(40 * millisecond)
		}, failure.Overloaded, forward.NoRoom, 60 * millisecond},
		"all refused": {func(t *testing.T) *scene {
			return start(t, single(true), newNode(0, "a")).end(0, refuses)
		}, failure.Overloaded, forward.AllRefused, 60 * millisecond},
		"all refused, with a time": {func(t *testing.T) *scene {
			return start(t, single(true), newNode(0, "a")).end(0, named)
		}, failure.Overloaded, forward.AllRefused, 300 * millisecond},
		"a retrial that was refused": {func(t *testing.T) *scene {
			node := newNode(9, "a", "b", "c")
			node.verdict = quarantine.Quarantined
			s := &scene{t: t}
			request, actions := forward.Start(0, forward.Parameters{Route: fanOut("a", "b", "c"), Retrial: true}, settings, node)
			s.request = request
			s.take(actions)
			return s.end(0, refuses)
		}, failure.Quarantined, forward.Quarantined, settings.RetryAfter},
		"at the deadline": {func(t *testing.T) *scene {
			s := start(t, single(true), newNode(9, "a"))
			s.now = time.Second
			return s.end(0, refuses)
		}, failure.DeadlineExceeded, forward.DeadlineReached, 60 * millisecond},
		"the node stops": {func(t *testing.T) *scene {
			node := newNode(9, "a")
			node.full["a"] = true
			s := start(t, single(true), node)
			s.take(s.request.GiveUp(s.now))
			return s
		}, failure.Leaving, forward.GivenUp, 60 * millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := c.play(t)
			if s.answer == nil || s.answer.Failure == nil {
				t.Fatalf("answered %+v", s.answer)
			}
			f := s.answer.Failure
			if !f.NotRun || f.Code != c.code || s.answer.Reason != c.reason || f.RetryAfter != c.retryAfter {
				t.Errorf("%s, %s, come back in %v, not run %v", f.Code, s.answer.Reason, f.RetryAfter, f.NotRun)
			}
		})
	}
}
