package gateway

import (
	"context"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/failure"
	"stiletrail/internal/follow"
)

// Waits are those of a node for news of the store. They are derived from one bound, so that together they stay within it whichever way the news
// takes: a node whose own watch or whose peers have fallen silent has no sign of that but the time.
//
// Where peers tell it: a watcher gathers changes for no longer than it tells others, the next one tells (TellEvery), the node notices
// at its next look among peers, waits for its own watch (Patience), asks, and asks another if the answer is lost (AnswerWithin).
// Where nobody does: its copy turns stale (StaleAfter), it asks the store over a new connection (LookTimeout), and once more if that is lost.
//
// Before, each wait was chosen by itself: a watch could be silent for 8.7 s among nine nodes, and a back end that leaves got requests for up to 3.7 s too
// long after connections had fallen silent (TestLeavingAfterConnectionsFellSilent). TestWaitsStayWithinTheBound adds them up.
type Waits struct {
	// Within is the bound: the time in which what the store has acknowledged must be in force.
	Within clock.Ms
	// StaleAfter is how long a node goes by a copy of the store that nobody has confirmed to be complete, before it asks the store itself.
	StaleAfter clock.Ms
	// TellEvery is how often one of the watchers of a group hears from the store at the latest, and tells the others.
	TellEvery clock.Ms
	// Patience is how long a node that the store serves waits for its own watch when a peer knows more.
	Patience clock.Ms
	// AnswerWithin is how long a node waits for a peer's answer before it asks another.
	AnswerWithin clock.Ms
	// LookTimeout is the wait for the store's answer to a node whose copy is stale.
	LookTimeout clock.Ms
}

// Parts of the bound that single waits have. They add up to less than all of it on either way, with one answer lost on it.
const (
	stalePart   = 0.45
	tellPart    = 0.3
	patientPart = 0.2
	answerPart  = 0.3
	lookPart    = 0.2
)

// Waits are no longer than these where the bound is ample: what is learned sooner costs hardly more.
const (
	longestStale    = 2 * clock.Second
	longestTell     = 900 * clock.Ms(1)
	longestPatience = clock.Second
	longestAnswer   = 1500 * clock.Ms(1)
	longestLook     = 700 * clock.Ms(1)
)

// WaitsWithin derives the waits from their bound.
func WaitsWithin(bound clock.Ms) Waits {
	part := func(of float64, most clock.Ms) clock.Ms { return min(clock.Ms(of*float64(bound)), most) }
	return Waits{
		Within: bound, StaleAfter: part(stalePart, longestStale), TellEvery: part(tellPart, longestTell), Patience: part(patientPart, longestPatience),
		AnswerWithin: part(answerPart, longestAnswer), LookTimeout: part(lookPart, longestLook),
	}
}

// neverConfirmed stands for the age of a copy of the store that was never known to be complete.
const neverConfirmed clock.Ms = -1

// copyAge is how long ago the copy of the store was last known to be complete; the lock is held.
func (g *Gateway) copyAge(now time.Duration) clock.Ms {
	if age, known := g.view.Age(now); known {
		return age
	}
	return neverConfirmed
}

// fresh reports whether the copy was known to be complete lately; the lock is held.
func (g *Gateway) fresh(now time.Duration) bool {
	return g.view.ConfirmedWithin(now, g.settings.Load().Waits.StaleAfter)
}

// noteAge has the journal know when the copy turns stale and when it is complete again; the lock is held.
func (g *Gateway) noteAge(now time.Duration) {
	stale := !g.fresh(now) && g.copyAge(now) != neverConfirmed
	if stale == g.stale {
		return
	}
	if g.stale = stale; stale {
		g.log.CopyStale(g.copyAge(now))
	} else {
		g.log.CopyFresh()
	}
}

// copyState is how the copy of the store stands, for the next call to it; the lock is held.
func (g *Gateway) copyState(now time.Duration) follow.CopyState {
	return follow.CopyState{Stale: !g.fresh(now), PeersSilent: !g.view.PeersConfirmedWithin(now, g.settings.Load().Waits.StaleAfter)}
}

// endWhenStale ends a watch at the moment at which the copy turns stale: its connection may carry nothing any more, and the store is asked over
// another one. A look, which the copy is stale at the beginning of, is left to its own time. The function returned stops that, and reports
// whether it has come to it.
func (g *Gateway) endWhenStale(end context.CancelFunc) (stop func() (ended bool)) {
	if g.staleIn() <= 0 {
		return func() bool { return false }
	}
	over, result := make(chan struct{}), make(chan bool, 1)
	woke := g.wakes.next()
	go func() {
		for left := g.staleIn(); left > 0; left = g.staleIn() {
			select {
			case <-over:
				result <- false
				return
			case <-woke:
				woke = g.wakes.next()
			case <-time.After(left.Duration()):
			}
		}
		end()
		result <- true
	}()
	return func() bool {
		close(over)
		return <-result
	}
}

// watchWasSilent takes in that a watch was ended. That is no trouble of the store, which may be well: the next call is a look.
func (g *Gateway) watchWasSilent(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log.StoreLost(follow.Silent, failure.From(err), g.follower.ContactAge(g.now()))
}

// staleIn is how long from now the copy turns stale if nobody confirms it.
func (g *Gateway) staleIn() clock.Ms {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.settings.Load().Waits.StaleAfter - g.copyAge(g.now()) + 1
}

// doubtMargin of the bound is left for requests that are under way when a doubt ends, and for the look that ends it.
const doubtMargin = 300 * clock.Ms(1)

// doubtUntil is the moment until which back ends are used on whose entries have just been found gone, so many of them at once; now where that is
// proof that they leave. The copy has not been confirmed yet by what told of it. The lock is held.
func (g *Gateway) doubtUntil(now time.Duration, gone int) time.Duration {
	return g.doubtUntilAt(now, g.copyAge(now), gone)
}

// doubtUntilAt is doubtUntil for a copy that was of some age before. An entry may have gone right after the copy was last confirmed: where the
// store was not away, so that its back end is given the usual time from then on, the doubt is over by then.
func (g *Gateway) doubtUntilAt(now time.Duration, age clock.Ms, gone int) time.Duration {
	settings := g.settings.Load()
	full := now + settings.DoubtFor
	if settings.DoubtFor > 0 {
		full = max(full, now+g.view.RewriteLeft(now).Duration())
	}
	switch {
	case !g.view.Settled(now):
		return full
	case g.massVanishing(gone):
		return min(full, now+(settings.Waits.Within-age-doubtMargin).Duration())
	}
	return now
}
