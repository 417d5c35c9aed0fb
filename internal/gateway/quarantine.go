package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/failure"
	"stiletrail/internal/forward"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/routing"
)

// How what is known of requests that end back ends goes to other nodes. An end costs a message to each of four nodes, which pass it on once: it reaches all
// nodes in about as many steps as the logarithm of their number, and none is left out that its neighbours know. In a small fleet all are told at once.
const (
	// evidenceNext nodes that follow in the region are told; two, since one may be gone and not known to be.
	evidenceNext = 2
	// evidenceEvery is the pause between full accounts to a random node, for what single messages have missed, while something has changed within
	// evidenceNews; later evidenceQuiet. An account has up to 8 KB, a third of a kilobyte a second then, of the 7 that a node may spend on control.
	// Nothing is sent where there is nothing to tell.
	evidenceEvery = clock.Second
	evidenceNews  = 10 * clock.Second
	evidenceQuiet = 30 * clock.Second
	// evidenceRate bounds the messages that a node begins, a second: back ends that end by themselves take many requests with them.
	evidenceRate = 50
)

// Who a verdict is by.
const (
	byOwn   = "own"
	byPeer  = "peer"
	byStore = "store"
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
	g.mutex.Lock()
	defer g.mutex.Unlock()
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
				k.left = min(k.left, otherEvery)
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
	g.mutex.Lock()
	defer g.mutex.Unlock()
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

// Ended implements forward.World.
func (w world) Ended(attempt *forward.Attempt) quarantine.Verdict {
	g, now := w.gateway, clock.Of(w.now)
	if w.run.call.Identity == (quarantine.Identity{}) {
		return quarantine.Clear
	}
	verdict, change := g.quarantine.Ended(now, w.run.call.Identity, quarantine.Run{
		Service: attempt.Service, BackEnd: attempt.Replica.ID, Version: attempt.Replica.Version,
		Began: clock.Of(attempt.StartedAt), Ended: clock.Of(attempt.EndedAt),
	})
	if change.First && w.run.route.FansOut() {
		// Most often another shard answers soon, and nobody need hear of it.
		w.run.untold = w.run.untold || len(change.Tell) > 0
		change.Tell = nil
	}
	g.changed(now, change, byOwn)
	return verdict
}

// Verdict implements forward.World.
func (w world) Verdict() quarantine.Verdict {
	return w.gateway.quarantine.Verdict(clock.Of(w.now), w.run.call.Identity)
}

// LeftOut implements forward.World.
func (w world) LeftOut(service string) bool {
	return w.gateway.quarantine.LeftOut(clock.Of(w.now), w.run.call.Identity, service)
}

// Ran implements forward.World.
func (w world) Ran(attempt *forward.Attempt) {
	g, now := w.gateway, clock.Of(w.now)
	w.run.untold = false
	change := g.quarantine.Answered(now, w.run.call.Identity, attempt.Service, attempt.Replica.Version)
	for _, mark := range change.Judged {
		_, held := g.quarantine.Held(now, mark)
		g.keeping.again(mark, !held)
	}
	g.changed(now, change, byOwn)
}

// changed takes note of what has become of requests, has the store told of a quarantine by this node, and tells other nodes; the lock is held.
func (g *Gateway) changed(now clock.Ms, change quarantine.Change, by string) {
	for _, mark := range change.Judged {
		left, held := g.quarantine.Held(now, mark)
		verdict := quarantine.Clear
		if held {
			verdict = quarantine.Quarantined
		}
		g.journal.Judged(mark, verdict, by, left)
		if held && by == byOwn {
			g.keeping.due(mark, now)
		}
	}
	if len(change.Tell) > 0 {
		g.keeping.changedAt = now
	}
	g.tellEvidence(now, change.Tell...)
}

// tellEvidence tells other nodes what is known of requests; the lock is held.
func (g *Gateway) tellEvidence(now clock.Ms, marks ...quarantine.Mark) {
	if g.members == nil || len(marks) == 0 || !g.keeping.mayTell(now) {
		return
	}
	m := g.quarantine.Tell(now, marks...)
	for _, peer := range g.evidencePeers() {
		g.peers.Send(peer, m)
	}
}

// evidencePeers are those that are told of an end: all nodes of a small fleet; in a large one the next ones in the region, so that each node of it is told
// by somebody, a random one there, so that it takes few steps, and one of another region.
func (g *Gateway) evidencePeers() []string {
	if g.members.AliveCount() <= smallFleet {
		return g.members.Pick(smallFleet, membership.Member.Usable)
	}
	self := g.members.Self()
	var region []string
	others := map[string]bool{}
	for _, m := range g.members.Members() {
		switch {
		case !m.Usable():
		case m.Region == self.Region:
			region = append(region, m.Address)
		default:
			others[m.Region] = true
		}
	}
	picked := nextOf(region, self.Address, evidenceNext)
	picked = append(picked, g.members.Pick(1, func(m membership.Member) bool { return m.Usable() && m.Region == self.Region })...)
	if len(others) == 0 {
		return picked
	}
	far := slices.Sorted(maps.Keys(others))[g.keeping.random.IntN(len(others))]
	return append(picked, g.members.Pick(1, func(m membership.Member) bool { return m.Usable() && m.Region == far })...)
}

// nextOf are up to count addresses that follow one's own in the order of all, the first after the last.
func nextOf(addresses []string, own string, count int) []string {
	slices.Sort(addresses)
	at, _ := slices.BinarySearch(addresses, own)
	var next []string
	for step := 1; step < len(addresses) && len(next) < count; step++ {
		next = append(next, addresses[(at+step)%len(addresses)])
	}
	return next
}

// tellEvidenceTo tells a node all that is known of requests that ended back ends; the lock is held.
func (g *Gateway) tellEvidenceTo(now time.Duration, peer string) {
	if m := g.quarantine.TellAll(clock.Of(now)); m != nil {
		g.peers.Send(peer, m)
	}
}

// compareEvidence tells a random node all that is known, each so often, where there is anything; the lock is held.
func (g *Gateway) compareEvidence(now time.Duration) {
	if !g.keeping.accountDue(clock.Of(now)) {
		return
	}
	g.quarantine.Forget(clock.Of(now))
	for _, peer := range g.members.Pick(1, membership.Member.Usable) {
		g.tellEvidenceTo(now, peer)
	}
}

// receiveEvidence takes in what another node knows of requests, and passes on what is news; the lock is held.
func (g *Gateway) receiveEvidence(at time.Duration, m *message.Evidence) {
	now := clock.Of(at)
	g.changed(now, g.quarantine.Receive(now, m), byPeer)
}

// takeQuarantine takes in what the store says of a request; the lock is held.
func (g *Gateway) takeQuarantine(at time.Duration, mark quarantine.Mark, record message.StoreRecord) {
	now := clock.Of(at)
	if g.view.RewriteLeft(at) > 0 && g.quarantine.Lifted(mark) {
		g.keeping.again(mark, true)
		return
	}
	convicted, err := g.quarantine.Store(now, mark, record.Value)
	if err != nil {
		g.journal.Rejected(&Item{Key: record.Key, Revision: record.Revision, Err: err})
		return
	}
	if convicted {
		g.changed(now, quarantine.Change{Judged: []quarantine.Mark{mark}}, byStore)
	}
}

// dropQuarantine takes in that the store says nothing of a request any more; the lock is held.
func (g *Gateway) dropQuarantine(at time.Duration, mark quarantine.Mark) {
	if g.view.RewriteLeft(at) > 0 {
		g.quarantine.Lost(mark)
		return
	}
	if now := clock.Of(at); g.quarantine.Unstore(now, mark) {
		g.changed(now, quarantine.Change{Judged: []quarantine.Mark{mark}}, byStore)
	}
}
