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

// trialPollInterval is the pause between two checks whether another call's trial of the same request has ended.
const trialPollInterval = 5 * time.Millisecond

// checkQuarantine decides which back ends a request may be sent to, or refuses it (refusals.go):
//   - A clear request may go to all back ends.
//   - A suspected request for which no other call has a trial may go to all, but to one back end at a time
//     (forward/trials.go).
//   - A suspected request for which another call has a trial waits until the trial ends, but not beyond until.
//   - A quarantined request goes to back ends with versions of the software that are known to answer it. If there are
//     none, one node may try it on one back end: with a version that has not yet run it, or for a caller that has not yet
//     sent it. The store gives the claim for that to one node. Otherwise the request is refused at once.
func (g *Gateway) checkQuarantine(
	ctx context.Context, call *Call, route *routing.Route, until time.Duration,
) (restriction, *forward.Answer) {
	for {
		known := g.quarantineStateOf(call, route)
		switch {
		case known.verdict == quarantine.Clear:
			return restriction{}, nil
		case known.verdict == quarantine.Quarantined && len(known.safeVersions) > 0:
			return restriction{versions: known.safeVersions}, nil
		case known.untriedVersion != "" && g.claimRetrial(ctx, known.fingerprint, known.untriedVersion):
			return restriction{versions: []string{known.untriedVersion}, retrial: true}, nil
		case known.otherCaller && g.claimRetrial(ctx, known.fingerprint, ""):
			return restriction{retrial: true}, nil
		case known.verdict == quarantine.Quarantined:
			return restriction{}, refuseQuarantined(known.remaining)
		case !known.trialRunning:
			return restriction{}, nil
		case g.now() >= until || ctx.Err() != nil:
			return restriction{}, refuseUnderTrial()
		}
		pause(ctx, trialPollInterval)
	}
}

// restriction limits which back ends a request may be sent to. The zero value allows all.
type restriction struct {
	// versions are the versions of the back ends' software that are allowed, or nil for all versions.
	versions []string
	// retrial is set if the request is quarantined and may be sent to a single back end.
	retrial bool
}

// quarantineState is what the node knows of a request that may crash back ends.
type quarantineState struct {
	verdict quarantine.Verdict
	// trialRunning is set while another call sends the same request to one back end at a time.
	trialRunning bool
	// remaining is how much longer the request is quarantined, as far as this node knows now.
	remaining clock.Ms
	// safeVersions are the versions of the back ends' software that are known to answer the request. untriedVersion is
	// one that has not run it yet.
	safeVersions   []string
	untriedVersion string
	// otherCaller is set if the request is quarantined for all callers and this caller may still try it, because the
	// request may crash back ends only when others send it.
	otherCaller bool
	// fingerprint is the key that the quarantine is recorded under.
	fingerprint quarantine.Fingerprint
}

func (g *Gateway) quarantineStateOf(call *Call, route *routing.Route) (s quarantineState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.FromDuration(g.now())
	if s.verdict = g.quarantine.Verdict(now, call.Identity); s.verdict == quarantine.Clear {
		return s
	}
	s.trialRunning = g.trials[call.Identity.Request] > 0
	s.remaining, s.safeVersions = g.quarantine.Remaining(now, call.Identity), g.quarantine.SafeVersions(now, call.Identity)
	if s.verdict == quarantine.Quarantined {
		g.findRetrial(now, call, route, &s)
	}
	return s
}

// findRetrial looks for a retrial that a quarantined request may get. The caller holds the lock.
func (g *Gateway) findRetrial(now clock.Ms, call *Call, route *routing.Route, s *quarantineState) {
	s.fingerprint, s.untriedVersion, _ = g.quarantine.UntriedVersion(now, call.Identity, g.versionsFor(route))
	if s.untriedVersion != "" {
		return
	}
	fingerprint, wait, other := g.quarantine.OtherCaller(now, call.Identity)
	s.fingerprint = fingerprint
	switch {
	case !other:
	case wait > 0:
		s.remaining = min(s.remaining, wait)
	default:
		s.remaining = min(s.remaining, otherCallerInterval)
		s.otherCaller = true
	}
}

// versionsFor returns the software versions of the back ends that a route leads to. The caller holds the lock.
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

// beginTrial records that a request is sent to one back end at a time, if it is not clear. The caller holds the lock.
func (r *requestRun) beginTrial(now time.Duration) {
	g := r.gateway
	if !r.trial && g.quarantine.Verdict(clock.FromDuration(now), r.call.Identity) != quarantine.Clear {
		r.trial = true
		g.trials[r.call.Identity.Request]++
	}
}

// endTrial lets other calls of the same request go on, and shares the evidence that other nodes have not yet been sent.
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
