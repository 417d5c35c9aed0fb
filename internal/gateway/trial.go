package gateway

import (
	"context"
	"slices"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/forward"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/routing"
)

// trialLook is the pause between looks at whether another call's trial of the same request is over.
const trialLook = 5 * time.Millisecond

// allow decides what a request may be sent to that has ended back ends, or that it is refused (refusals.go):
//   - one that is clear goes to all, and so does one that is suspected and that no other call tries now: it goes to one
//     back end at a time by itself (forward/caution.go);
//   - one that is suspected and being tried waits for the trial, no longer than until a moment;
//   - one under quarantine goes to versions of the back ends' software that are known to run it; else it may be let go to
//     one back end, by the one node that the store lets, for a version that has not had it or for a caller that asked it
//     for the first time; else it is refused at once.
func (g *Gateway) allow(ctx context.Context, call *Call, route *routing.Route, until time.Duration) (allowance, *forward.Answer) {
	for {
		known := g.suspicionOf(call, route)
		switch {
		case known.verdict == quarantine.Clear:
			return allowance{}, nil
		case known.verdict == quarantine.Quarantined && len(known.sound) > 0:
			return allowance{versions: known.sound}, nil
		case known.untried != "" && g.claimRetrial(ctx, known.mark, known.untried):
			return allowance{versions: []string{known.untried}, retrial: true}, nil
		case known.otherCaller && g.claimRetrial(ctx, known.mark, ""):
			return allowance{retrial: true}, nil
		case known.verdict == quarantine.Quarantined:
			return allowance{}, refuseQuarantined(known.left)
		case !known.trying:
			return allowance{}, nil
		case g.now() >= until || ctx.Err() != nil:
			return allowance{}, refuseUnderTrial()
		}
		pause(ctx, trialLook)
	}
}

// allowance is what a request may be sent to.
type allowance struct {
	// versions of software, if only some.
	versions []string
	// retrial: it is under quarantine, and one back end may get it.
	retrial bool
}

// suspicion is what the node knows of a request that may have ended back ends.
type suspicion struct {
	verdict quarantine.Verdict
	// trying: another call of the same request is sent to one back end at a time now.
	trying bool
	// left is how much longer it is under quarantine, as far as is known now.
	left clock.Ms
	// sound versions of the back ends' software are known to run the request; untried is one that has not had it.
	sound   []string
	untried string
	// otherCaller: it is under quarantine by what it asks, and this caller may be let ask it: it may end back ends for the
	// others only.
	otherCaller bool
	// mark that the quarantine goes by.
	mark quarantine.Fingerprint
}

func (g *Gateway) suspicionOf(call *Call, route *routing.Route) (s suspicion) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.FromDuration(g.now())
	if s.verdict = g.quarantine.Verdict(now, call.Identity); s.verdict == quarantine.Clear {
		return s
	}
	s.trying = g.trials[call.Identity.Request] > 0
	s.left, s.sound = g.quarantine.Remaining(now, call.Identity), g.quarantine.SafeVersions(now, call.Identity)
	if s.verdict == quarantine.Quarantined {
		g.findRetrial(now, call, route, &s)
	}
	return s
}

// findRetrial looks for what a request under quarantine may be let go to all the same; the lock is held.
func (g *Gateway) findRetrial(now clock.Ms, call *Call, route *routing.Route, s *suspicion) {
	s.mark, s.untried, _ = g.quarantine.UntriedVersion(now, call.Identity, g.versionsFor(route))
	if s.untried != "" {
		return
	}
	mark, wait, other := g.quarantine.OtherCaller(now, call.Identity)
	s.mark = mark
	switch {
	case !other:
	case wait > 0:
		s.left = min(s.left, wait)
	default:
		s.left = min(s.left, otherCallerEvery)
		s.otherCaller = true
	}
}

// versionsFor are the versions of software of the back ends that a route goes to; the lock is held.
func (g *Gateway) versionsFor(route *routing.Route) (versions []string) {
	add := func(service string) {
		for _, version := range g.replicas.Versions(service, route.Regions) {
			if !slices.Contains(versions, version) {
				versions = append(versions, version)
			}
		}
	}
	for _, service := range route.Shards {
		add(service)
	}
	for _, target := range route.Targets {
		add(target.Service)
	}
	return versions
}

// beginTrial notes that a request is sent to one back end at a time; the lock is held.
func (r *run) beginTrial(now time.Duration) {
	g := r.gateway
	if !r.trial && g.quarantine.Verdict(clock.FromDuration(now), r.call.Identity) != quarantine.Clear {
		r.trial = true
		g.trials[r.call.Identity.Request]++
	}
}

// endTrial has others of the same request go on, and tells other nodes what none of them has been told of yet.
func (r *run) endTrial() {
	if !r.trial && !r.evidencePending {
		return
	}
	g := r.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.evidencePending {
		g.tellEvidence(clock.FromDuration(g.now()), r.call.Identity.Request, r.call.Identity.CallerRequest)
	}
	if !r.trial {
		return
	}
	if g.trials[r.call.Identity.Request]--; g.trials[r.call.Identity.Request] == 0 {
		delete(g.trials, r.call.Identity.Request)
	}
}
