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

// trialPollInterval is the pause between looks at whether another call's trial of the same request is over.
const trialPollInterval = 5 * time.Millisecond

// checkQuarantine decides what a request may be sent to that has ended back ends, or that it is refused (refusals.go):
//   - one that is clear goes to all, and so does one that is suspected and that no other call tries now: it goes to one
//     back end at a time by itself (forward/caution.go);
//   - one that is suspected and being tried waits for the trial, no longer than until a moment;
//   - one under quarantine goes to versions of the back ends' software that are known to run it; else it may be let go to
//     one back end, by the one node that the store lets, for a version that has not had it or for a caller that asked it
//     for the first time; else it is refused at once.
func (g *Gateway) checkQuarantine(ctx context.Context, call *Call, route *routing.Route, until time.Duration) (restriction, *forward.Answer) {
	for {
		known := g.quarantineStateOf(call, route)
		switch {
		case known.verdict == quarantine.Clear:
			return restriction{}, nil
		case known.verdict == quarantine.Quarantined && len(known.safeVersions) > 0:
			return restriction{versions: known.safeVersions}, nil
		case known.untriedVersion != "" && g.claimRetrial(ctx, known.mark, known.untriedVersion):
			return restriction{versions: []string{known.untriedVersion}, retrial: true}, nil
		case known.otherCaller && g.claimRetrial(ctx, known.mark, ""):
			return restriction{retrial: true}, nil
		case known.verdict == quarantine.Quarantined:
			return restriction{}, refuseQuarantined(known.left)
		case !known.trialRunning:
			return restriction{}, nil
		case g.now() >= until || ctx.Err() != nil:
			return restriction{}, refuseUnderTrial()
		}
		pause(ctx, trialPollInterval)
	}
}

// restriction is what a request may be sent to.
type restriction struct {
	// versions of software, if only some.
	versions []string
	// retrial: it is under quarantine, and one back end may get it.
	retrial bool
}

// quarantineState is what the node knows of a request that may have ended back ends.
type quarantineState struct {
	verdict quarantine.Verdict
	// trialRunning: another call of the same request is sent to one back end at a time now.
	trialRunning bool
	// left is how much longer it is under quarantine, as far as is known now.
	left clock.Ms
	// safeVersions versions of the back ends' software are known to run the request; untried is one that has not had it.
	safeVersions   []string
	untriedVersion string
	// otherCaller: it is under quarantine by what it asks, and this caller may be let ask it: it may end back ends for the
	// others only.
	otherCaller bool
	// mark that the quarantine goes by.
	mark quarantine.Fingerprint
}

func (g *Gateway) quarantineStateOf(call *Call, route *routing.Route) (s quarantineState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.FromDuration(g.now())
	if s.verdict = g.quarantine.Verdict(now, call.Identity); s.verdict == quarantine.Clear {
		return s
	}
	s.trialRunning = g.trials[call.Identity.Request] > 0
	s.left, s.safeVersions = g.quarantine.Remaining(now, call.Identity), g.quarantine.SafeVersions(now, call.Identity)
	if s.verdict == quarantine.Quarantined {
		g.findRetrial(now, call, route, &s)
	}
	return s
}

// findRetrial looks for what a request under quarantine may be let go to all the same; the lock is held.
func (g *Gateway) findRetrial(now clock.Ms, call *Call, route *routing.Route, s *quarantineState) {
	s.mark, s.untriedVersion, _ = g.quarantine.UntriedVersion(now, call.Identity, g.versionsFor(route))
	if s.untriedVersion != "" {
		return
	}
	mark, wait, other := g.quarantine.OtherCaller(now, call.Identity)
	s.mark = mark
	switch {
	case !other:
	case wait > 0:
		s.left = min(s.left, wait)
	default:
		s.left = min(s.left, otherCallerInterval)
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
func (r *requestRun) beginTrial(now time.Duration) {
	g := r.gateway
	if !r.trial && g.quarantine.Verdict(clock.FromDuration(now), r.call.Identity) != quarantine.Clear {
		r.trial = true
		g.trials[r.call.Identity.Request]++
	}
}

// endTrial has others of the same request go on, and tells other nodes what none of them has been told of yet.
func (r *requestRun) endTrial() {
	if !r.trial && !r.evidencePending {
		return
	}
	g := r.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.evidencePending {
		g.shareEvidence(clock.FromDuration(g.now()), r.call.Identity.Request, r.call.Identity.CallerRequest)
	}
	if !r.trial {
		return
	}
	if g.trials[r.call.Identity.Request]--; g.trials[r.call.Identity.Request] == 0 {
		delete(g.trials, r.call.Identity.Request)
	}
}
