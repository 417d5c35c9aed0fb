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
	// writeInterval is the pause between looks at what is to be written.
	writeInterval = 200 * time.Millisecond
	// writeTimeout is how long a call may take, writeRetry the pause after one that failed; it is drawn from half to one and a half
	// of it.
	writeTimeout    = 700 * time.Millisecond
	writeRetryDelay = 1500 * clock.Ms(1)
	// peerWriteDelay is how long a node waits at least that has heard of a quarantine from another, for that one to write it;
	// peerWriteSpread more, drawn, for each node known, so that few write where that one is gone. peerWriteLongest bounds the drawn
	// part.
	peerWriteDelay         = 2 * clock.Second
	peerWriteJitterPerNode = 50 * clock.Ms(1)
	maximumPeerWriteJitter = 60 * clock.Second
	// minimumLease is the shortest time for which something is written.
	minimumLease = 2 * clock.Second
	// otherCallerInterval is the pause between the callers, of all that ask a question under quarantine for others, of whom one is let
	// ask it: it may end one back end a minute, and a sound caller is not kept waiting for the end of the quarantine.
	otherCallerInterval = 60 * clock.Second
	// maximumClaimRequests are remembered; older ones are asked for again, which the store answers.
	maximumClaimRequests = 1024
)

// quarantineWrites is what is to be written to the store of quarantines, and the claims by which this node was let do what is for
// one node alone. Guarded by Gateway.mu.
type quarantineWrites struct {
	random *rand.Rand
	// dueAt is when a request's quarantine is written next, at the latest.
	dueAt map[quarantine.Fingerprint]clock.Ms
	// rewrites are requests whose quarantine is written again, removals those whose quarantine was lifted.
	rewrites map[quarantine.Fingerprint]bool
	removals map[quarantine.Fingerprint]bool
	// claimRequests are the keys of claims that this node has asked the store for, with when it may ask again.
	claimRequests map[string]clock.Ms
	// claims are the keys of those that it holds, with when they end; claimRewrites those of them that are written again.
	claims        map[string]clock.Ms
	claimRewrites map[string]bool
}

func newQuarantineWrites(random *rand.Rand) quarantineWrites {
	return quarantineWrites{
		random: random, dueAt: map[quarantine.Fingerprint]clock.Ms{},
		rewrites: map[quarantine.Fingerprint]bool{}, removals: map[quarantine.Fingerprint]bool{},
		claimRequests: map[string]clock.Ms{}, claims: map[string]clock.Ms{}, claimRewrites: map[string]bool{},
	}
}

// schedule has a request's quarantine written at a moment.
func (q *quarantineWrites) schedule(mark quarantine.Fingerprint, at clock.Ms) { q.dueAt[mark] = at }

// scheduleUpdate has the store say what a request's quarantine is now: it is written anew where it is held, else removed.
func (q *quarantineWrites) scheduleUpdate(mark quarantine.Fingerprint, held bool) {
	if held {
		q.rewrites[mark] = true
		return
	}
	q.removals[mark] = true
}

// takeDue gives the quarantines that are written first now, of those that the store does not say, with how long they last. It
// forgets those that are not needed any more.
func (q *quarantineWrites) takeDue(now clock.Ms, unstored map[quarantine.Fingerprint]clock.Ms, nodes int) (marks []quarantine.Fingerprint) {
	for mark := range q.dueAt {
		if _, needed := unstored[mark]; !needed {
			delete(q.dueAt, mark)
		}
	}
	for mark, left := range unstored {
		at, known := q.dueAt[mark]
		switch {
		case left < minimumLease:
		case !known:
			spread := min(peerWriteJitterPerNode*clock.Ms(max(nodes, 1)), maximumPeerWriteJitter)
			q.dueAt[mark] = now + peerWriteDelay + clock.Ms(q.random.Int64N(int64(spread)))
		case now >= at:
			q.dueAt[mark] = now + writeRetryDelay/2 + clock.Ms(q.random.Int64N(int64(writeRetryDelay)))
			marks = append(marks, mark)
		}
	}
	return marks
}

// takeRewrites gives the quarantines that are written again now.
func (q *quarantineWrites) takeRewrites() (marks []quarantine.Fingerprint) {
	return drain(q.rewrites)
}

// takeRemovals gives the quarantines that are removed now.
func (q *quarantineWrites) takeRemovals() (marks []quarantine.Fingerprint) {
	return drain(q.removals)
}

func drain(set map[quarantine.Fingerprint]bool) (marks []quarantine.Fingerprint) {
	for mark := range set {
		marks = append(marks, mark)
	}
	clear(set)
	return marks
}

// mayRequestClaim reports whether the store has not been asked for a claim for so long, and notes that it is now.
func (q *quarantineWrites) mayRequestClaim(key string, now, length clock.Ms) bool {
	if now < q.claimRequests[key] {
		return false
	}
	if len(q.claimRequests) >= maximumClaimRequests {
		clear(q.claimRequests)
	}
	q.claimRequests[key] = now + length
	return true
}

// addClaim takes in that this node holds a claim for some time.
func (q *quarantineWrites) addClaim(key string, now, length clock.Ms) {
	for known, over := range q.claims {
		if now >= over {
			delete(q.claims, known)
		}
	}
	q.claims[key] = now + length
}

// scheduleClaimRewrites has all claims written again, since the store may have lost them: another node would be let do the same.
func (q *quarantineWrites) scheduleClaimRewrites() {
	for key := range q.claims {
		q.claimRewrites[key] = true
	}
}

// takeClaimRewrites gives the writes of the claims that are written again now.
func (q *quarantineWrites) takeClaimRewrites(now clock.Ms) (writes []StoreWrite) {
	for key := range q.claimRewrites {
		if left := q.claims[key] - now; left >= minimumLease {
			writes = append(writes, claimWrite(key, left))
		}
	}
	clear(q.claimRewrites)
	return writes
}

// claimWrite is the write by which a node is let do something that is for one node alone.
func claimWrite(key string, length clock.Ms) StoreWrite {
	return StoreWrite{Key: key, Value: []byte("{}"), Lease: length, IfAbsent: true}
}

// writeQuarantines writes quarantines to the store until the context ends, so that nodes that start know them.
func (g *Gateway) writeQuarantines(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, writeInterval)
		for _, w := range g.quarantineWritesDue() {
			g.writeQuarantine(ctx, w)
		}
		for _, w := range g.claimRewritesDue() {
			g.rewriteClaim(ctx, w)
		}
		for _, mark := range g.quarantineRemovalsDue() {
			g.removeQuarantine(ctx, mark)
		}
	}
}

// quarantineWrite is a write about a request.
type quarantineWrite struct {
	mark quarantine.Fingerprint
	StoreWrite
}

func (g *Gateway) quarantineWritesDue() (writes []quarantineWrite) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.FromDuration(g.now())
	unstored := g.quarantine.MissingFromStore(now)
	add := func(mark quarantine.Fingerprint, ifAbsent bool) {
		length, held := g.quarantine.RemainingOf(now, mark)
		if !held {
			return
		}
		w := StoreWrite{Key: quarantine.KeyOf(mark), Value: g.quarantine.Encode(mark), Lease: length, IfAbsent: ifAbsent}
		writes = append(writes, quarantineWrite{mark, w})
	}
	for _, mark := range g.quarantineWrites.takeDue(now, unstored, g.fleet.nodeCount) {
		add(mark, true)
	}
	for _, mark := range g.quarantineWrites.takeRewrites() {
		add(mark, false)
	}
	return writes
}

func (g *Gateway) claimRewritesDue() []StoreWrite {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantineWrites.takeClaimRewrites(clock.FromDuration(g.now()))
}

func (g *Gateway) quarantineRemovalsDue() []quarantine.Fingerprint {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantineWrites.takeRemovals()
}

func (g *Gateway) writeQuarantine(ctx context.Context, w quarantineWrite) {
	bounded, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := g.store.Write(bounded, w.StoreWrite)
	if err == nil || ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log.QuarantineNotWritten(w.mark, failure.From(err))
	if !w.IfAbsent {
		g.quarantineWrites.scheduleUpdate(w.mark, true)
	}
}

func (g *Gateway) removeQuarantine(ctx context.Context, mark quarantine.Fingerprint) {
	bounded, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := g.store.Remove(bounded, quarantine.KeyOf(mark))
	if err == nil || ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log.QuarantineNotWritten(mark, failure.From(err))
	g.quarantineWrites.scheduleUpdate(mark, false)
}

// rewriteClaim writes a claim again, until the store has taken it.
func (g *Gateway) rewriteClaim(ctx context.Context, w StoreWrite) {
	bounded, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if _, err := g.store.Write(bounded, w); err == nil || ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantineWrites.claimRewrites[w.Key] = true
}

// claimRetrial asks the store to let this node be the one that sends a request under quarantine to a new version of the software,
// or with no version on behalf of another caller. Without the store nobody does: several nodes that tried would end a back end
// each.
func (g *Gateway) claimRetrial(ctx context.Context, mark quarantine.Fingerprint, version string) bool {
	key := quarantine.RetrialKey(mark, version)
	length, mayAsk := g.mayClaimRetrial(key, version)
	if !mayAsk {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	claimed, err := g.store.Write(bounded, claimWrite(key, length))
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.log.QuarantineNotWritten(mark, failure.From(err))
		// The call may have been done: only a refusal that says that nothing was done lets this node ask again.
		return false
	}
	if claimed {
		g.quarantineWrites.addClaim(key, clock.FromDuration(g.now()), length)
		g.log.RetrialClaimed(mark, version)
	}
	return claimed
}

// mayClaimRetrial reports whether the store may be asked for the claim of a retrial now, and for how long it would be.
func (g *Gateway) mayClaimRetrial(key, version string) (length clock.Ms, may bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	length = g.settings.Load().Quarantine.Duration
	if version == "" {
		length = min(length, otherCallerInterval)
	}
	if g.storeCopy.records.RewriteRemaining(g.now()) > 0 {
		// A restored store may have lost that another node was let do it.
		return length, false
	}
	return length, g.quarantineWrites.mayRequestClaim(key, clock.FromDuration(g.now()), length)
}
