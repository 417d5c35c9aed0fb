package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/failure"
	"stiletrail/internal/quarantine"
)

// How quarantines get into the store, which nodes that start read.
const (
	keepLook = 200 * time.Millisecond
	// keepWithin is how long a call may take, keepAgain the pause after one that failed; it is drawn from half to one and a half of it.
	keepWithin = 700 * time.Millisecond
	keepAgain  = 1500 * clock.Ms(1)
	// heardAfter is how long a node waits at least that has heard of a quarantine from another, for that one to write it; heardSpread more, drawn, for each
	// node known, so that few write where that one is gone. heardLongest bounds it.
	heardAfter   = 2 * clock.Second
	heardSpread  = 50 * clock.Ms(1)
	heardLongest = 60 * clock.Second
	// shortestKept is the shortest time for which something is written.
	shortestKept = 2 * clock.Second
	// otherCallerEvery is the pause between the callers, of all that ask a question under quarantine for others, of whom one is let ask it: it may end one back
	// end a minute, and a sound caller is not kept waiting for the end of the quarantine.
	otherCallerEvery = 60 * clock.Second
	// mostRetrials that a node remembers to have asked for; older ones are asked for again, which the store answers.
	mostRetrials = 1024
)

// quarantineWrites is what is to be written of quarantines, and what bounds the messages about them.
type quarantineWrites struct {
	random *rand.Rand
	// dues are when a request's quarantine is written next, at the latest; removals are requests whose quarantine was lifted.
	dues     map[quarantine.Mark]clock.Ms
	rewrites map[quarantine.Mark]bool
	removals map[quarantine.Mark]bool
	// retrials that this node has asked the store for, with when it may ask again; claims are those that it was let do, with when that is over, and
	// reclaims those of them that are to be written again.
	retrials map[string]clock.Ms
	claims   map[string]clock.Ms
	reclaims map[string]bool
	// told messages in the second that began at second.
	second clock.Ms
	told   int
	// accountedAt is when the last full account was given, changedAt when there was news last.
	accountedAt clock.Ms
	changedAt   clock.Ms
}

func newQuarantineWrites(random *rand.Rand) quarantineWrites {
	return quarantineWrites{
		random: random, dues: map[quarantine.Mark]clock.Ms{}, rewrites: map[quarantine.Mark]bool{}, removals: map[quarantine.Mark]bool{},
		retrials: map[string]clock.Ms{}, claims: map[string]clock.Ms{}, reclaims: map[string]bool{},
	}
}

// rewriteClaims has what this node was let do be written again, since the store may have lost it: another node would be let do the same.
func (k *quarantineWrites) rewriteClaims() {
	for key := range k.claims {
		k.reclaims[key] = true
	}
}

// won notes what this node was let do.
func (k *quarantineWrites) won(key string, now, length clock.Ms) {
	for known, over := range k.claims {
		if now >= over {
			delete(k.claims, known)
		}
	}
	k.claims[key] = now + length
}

// dueClaims are what was won that is to be written again.
func (k *quarantineWrites) dueClaims(now clock.Ms) (writes []Write) {
	for key := range k.reclaims {
		if left := k.claims[key] - now; left >= shortestKept {
			writes = append(writes, claimOf(key, left))
		}
	}
	clear(k.reclaims)
	return writes
}

// claimOf is the write by which a node is let do something that is for one node alone.
func claimOf(key string, length clock.Ms) Write {
	return Write{Key: key, Value: []byte("{}"), For: length, First: true}
}

// due has a request's quarantine written at a moment.
func (k *quarantineWrites) due(mark quarantine.Mark, at clock.Ms) { k.dues[mark] = at }

// settle has the store say what a request's quarantine is now: it is written anew where it is held, else removed.
func (k *quarantineWrites) settle(mark quarantine.Mark, held bool) {
	if held {
		k.rewrites[mark] = true
		return
	}
	k.removals[mark] = true
}

// mayAsk reports whether the store has not been asked for a retrial for so long, and notes that it is now.
func (k *quarantineWrites) mayAsk(key string, now, length clock.Ms) bool {
	if now < k.retrials[key] {
		return false
	}
	if len(k.retrials) >= mostRetrials {
		clear(k.retrials)
	}
	k.retrials[key] = now + length
	return true
}

// mayTell reports whether another message may begin in this second, and counts it.
func (k *quarantineWrites) mayTell(now clock.Ms) bool {
	if now-k.second >= clock.Second {
		k.second, k.told = now, 0
	}
	k.told++
	return k.told <= evidenceRate
}

// accountDue reports whether another full account is due, and notes that it is given.
func (k *quarantineWrites) accountDue(now clock.Ms) bool {
	pause := evidenceEvery
	if now-k.changedAt > evidenceNews {
		pause = evidenceQuiet
	}
	if now-k.accountedAt < pause {
		return false
	}
	k.accountedAt = now
	return true
}

// next gives the writes that are due, and forgets those that are not needed any more.
func (k *quarantineWrites) next(now clock.Ms, unstored map[quarantine.Mark]clock.Ms, nodes int) (marks []quarantine.Mark) {
	for mark := range k.dues {
		if _, needed := unstored[mark]; !needed {
			delete(k.dues, mark)
		}
	}
	for mark, left := range unstored {
		at, known := k.dues[mark]
		switch {
		case left < shortestKept:
		case !known:
			spread := min(heardSpread*clock.Ms(max(nodes, 1)), heardLongest)
			k.dues[mark] = now + heardAfter + clock.Ms(k.random.Int64N(int64(spread)))
		case now >= at:
			k.dues[mark] = now + keepAgain/2 + clock.Ms(k.random.Int64N(int64(keepAgain)))
			marks = append(marks, mark)
		}
	}
	return marks
}

// keepQuarantines writes quarantines to the store until the context ends, so that nodes that start know them.
func (g *Gateway) keepQuarantines(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, keepLook)
		for _, w := range g.dueWrites() {
			g.keep(ctx, w)
		}
		for _, w := range g.dueClaims() {
			g.reclaim(ctx, w)
		}
		for _, mark := range g.dueRemovals() {
			g.lift(ctx, mark)
		}
	}
}

// markedWrite is a write about a request.
type markedWrite struct {
	mark quarantine.Mark
	Write
}

func (g *Gateway) dueWrites() (writes []markedWrite) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Of(g.now())
	unstored := g.quarantine.Unstored(now)
	add := func(mark quarantine.Mark, first bool) {
		length, held := g.quarantine.Held(now, mark)
		if !held {
			return
		}
		writes = append(writes, markedWrite{mark, Write{Key: quarantine.KeyOf(mark), Value: g.quarantine.Encode(mark), For: length, First: first}})
	}
	for _, mark := range g.quarantineWrites.next(now, unstored, g.nodes) {
		add(mark, true)
	}
	for mark := range g.quarantineWrites.rewrites {
		add(mark, false)
	}
	clear(g.quarantineWrites.rewrites)
	return writes
}

func (g *Gateway) dueClaims() []Write {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantineWrites.dueClaims(clock.Of(g.now()))
}

// reclaim writes again what this node was let do, until the store has taken it.
func (g *Gateway) reclaim(ctx context.Context, w Write) {
	bounded, cancel := context.WithTimeout(ctx, keepWithin)
	defer cancel()
	if _, err := g.store.Write(bounded, w); err == nil || ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantineWrites.reclaims[w.Key] = true
}

func (g *Gateway) dueRemovals() (marks []quarantine.Mark) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for mark := range g.quarantineWrites.removals {
		marks = append(marks, mark)
	}
	clear(g.quarantineWrites.removals)
	return marks
}

func (g *Gateway) keep(ctx context.Context, w markedWrite) {
	bounded, cancel := context.WithTimeout(ctx, keepWithin)
	defer cancel()
	_, err := g.store.Write(bounded, w.Write)
	if err == nil || ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log.QuarantineLost(w.mark, failure.From(err))
	if !w.First {
		g.quarantineWrites.rewrites[w.mark] = true
	}
}

func (g *Gateway) lift(ctx context.Context, mark quarantine.Mark) {
	bounded, cancel := context.WithTimeout(ctx, keepWithin)
	defer cancel()
	err := g.store.Remove(bounded, quarantine.KeyOf(mark))
	if err == nil || ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log.QuarantineLost(mark, failure.From(err))
	g.quarantineWrites.removals[mark] = true
}

// claimRetrial asks the store to let this node be the one that sends a request under quarantine to a new version of the software, or with no version on
// behalf of another caller. Without the store nobody does: several nodes that tried would end a back end each.
func (g *Gateway) claimRetrial(ctx context.Context, mark quarantine.Mark, version string) bool {
	key := quarantine.RetrialKey(mark, version)
	g.mu.Lock()
	length := g.settings.Load().Quarantine.For
	if version == "" {
		length = min(length, otherCallerEvery)
	}
	// A store that has just come back from a copy may have lost that another node was let do it.
	mayAsk := g.view.RewriteLeft(g.now()) == 0 && g.quarantineWrites.mayAsk(key, clock.Of(g.now()), length)
	g.mu.Unlock()
	if !mayAsk {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, keepWithin)
	defer cancel()
	won, err := g.store.Write(bounded, claimOf(key, length))
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.log.QuarantineLost(mark, failure.From(err))
		// The call may have been done: only a refusal that says that nothing was done lets this node ask again.
		return false
	}
	if won {
		g.quarantineWrites.won(key, clock.Of(g.now()), length)
		g.log.Retrial(mark, version)
	}
	return won
}
