package gateway

import (
	"context"
	"slices"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/failure"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/routing"
)

const (
	// trialLook is the pause between looks at whether another call's trial of the same request is over.
	trialLook = 5 * time.Millisecond
	// trialComeBack is when a caller may come back whose request waited for a trial in vain.
	trialComeBack = 200 * time.Millisecond
)

// allow decides whether a request may be sent, as far as it has ended back ends: it is refused at once under quarantine, and waits for another call's trial.
func (g *Gateway) allow(ctx context.Context, call *Call, route *routing.Route, until time.Duration) (allowance, *failure.Failure) {
	for {
		known := g.knownOf(call, route)
		switch {
		case known.verdict == quarantine.Clear:
			return allowance{}, nil
		case known.verdict == quarantine.Quarantined && len(known.sound) > 0:
			return allowance{versions: known.sound}, nil
		case known.untried != "" && g.claimRetrial(ctx, known.mark, known.untried):
			return allowance{versions: []string{known.untried}, retrial: true}, nil
		case known.other && g.claimRetrial(ctx, known.mark, ""):
			// The question may end back ends for others only. One caller finds out for all.
			return allowance{retrial: true}, nil
		case known.verdict == quarantine.Quarantined:
			return allowance{}, failure.Refused(failure.Quarantined, "back ends end when they run the request", known.left.Duration())
		case !known.trying:
			return allowance{}, nil
		case g.now() >= until || ctx.Err() != nil:
			return allowance{}, failure.Refused(failure.Quarantined, "back ends ended when they ran the request, and it is being tried", trialComeBack)
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

// known is what a node knows of a request that may have ended back ends.
type known struct {
	verdict quarantine.Verdict
	// trying: another call of the same request is sent to one back end at a time now.
	trying bool
	// left of a quarantine, sound versions of software that run the request, and one that has not had it yet, with the mark that the quarantine goes by.
	left    clock.Ms
	sound   []string
	untried string
	mark    quarantine.Mark
	// other: it is under quarantine by what others asked.
	other bool
}

func (g *Gateway) knownOf(call *Call, route *routing.Route) (k known) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Of(g.now())
	if k.verdict = g.quarantine.Verdict(now, call.Identity); k.verdict == quarantine.Clear {
		return k
	}
	k.trying = g.trials[call.Identity.Question] > 0
	k.left, k.sound = g.quarantine.Left(now, call.Identity), g.quarantine.Sound(now, call.Identity)
	if k.verdict == quarantine.Quarantined {
		if k.mark, k.untried, _ = g.quarantine.Untried(now, call.Identity, g.versionsFor(route)); k.untried == "" {
			var wait clock.Ms
			k.mark, wait, k.other = g.quarantine.OtherCaller(now, call.Identity)
			switch {
			case k.other && wait > 0:
				k.left, k.other = min(k.left, wait), false
			case k.other:
				k.left = min(k.left, otherCallerEvery)
			}
		}
	}
	return k
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
	if !r.trial && g.quarantine.Verdict(clock.Of(now), r.call.Identity) != quarantine.Clear {
		r.trial = true
		g.trials[r.call.Identity.Question]++
	}
}

// endTrial has others of the same request go on, and tells other nodes what none of them has been told of yet.
func (r *run) endTrial() {
	if !r.trial && !r.untold {
		return
	}
	g := r.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.untold {
		g.tellEvidence(clock.Of(g.now()), r.call.Identity.Question, r.call.Identity.Asked)
	}
	if !r.trial {
		return
	}
	if g.trials[r.call.Identity.Question]--; g.trials[r.call.Identity.Question] == 0 {
		delete(g.trials, r.call.Identity.Question)
	}
}
