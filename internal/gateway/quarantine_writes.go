package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/failure"
	"stiletrail/internal/quarantine"
)

// How quarantines are written to the store. Nodes that start read them there.
const (
	// writeInterval is the pause between two checks for pending writes.
	writeInterval = 200 * time.Millisecond
	// writeTimeout is the longest time that a call may take. writeRetryDelay is the mean pause after a failed call; the pause
	// is random, between half and one and a half times that.
	writeTimeout    = 700 * time.Millisecond
	writeRetryDelay = 1500 * clock.Ms(1)
	// A node that has heard of a quarantine from a peer leaves the write to that peer for at least peerWriteDelay. It
	// then waits for a further random time of up to peerWriteJitterPerNode for each known node, so that few nodes write
	// if the peer is down. maximumPeerWriteJitter limits the random time.
	peerWriteDelay         = 2 * clock.Second
	peerWriteJitterPerNode = 50 * clock.Ms(1)
	maximumPeerWriteJitter = 60 * clock.Second
	// minimumLease is the shortest remaining time for which an entry is still written.
	minimumLease = 2 * clock.Second
	// otherCallerInterval is the pause after which one more caller of a request that is quarantined for all its callers may
	// try it. The request can thus crash at most one back end per minute, and a caller whose request is harmless
	// need not wait for the end of the quarantine.
	otherCallerInterval = 60 * clock.Second
	// maximumClaimRequests is the number of requested claims that are remembered. When it is reached all are forgotten; the
	// store then decides on each claim again.
	maximumClaimRequests = 1024
)

// quarantineWrites holds the quarantines that must be written to the store, and the claims of this node. A claim gives one
// node the right to do something that only one node may do. Gateway.mu guards it.
type quarantineWrites struct {
	random *rand.Rand
	// dueAt is when the quarantine of a request is next written to the store, if it is not there by then.
	dueAt map[quarantine.Fingerprint]clock.Ms
	// rewrites are the quarantines that must be written again, removals the lifted ones that must be removed.
	rewrites map[quarantine.Fingerprint]bool
	removals map[quarantine.Fingerprint]bool
	// claimRequests holds, for each claim that the store was asked for, the time from which it may be asked again.
	claimRequests map[string]clock.Ms
	// claims holds the end of each claim that this node has. claimRewrites are those that must be written again.
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

// schedule makes the quarantine of a request be written at the given moment.
func (q *quarantineWrites) schedule(fingerprint quarantine.Fingerprint, at clock.Ms) {
	q.dueAt[fingerprint] = at
}

// scheduleUpdate updates the quarantine of a request in the store: it is written again if it is in force, else removed.
func (q *quarantineWrites) scheduleUpdate(fingerprint quarantine.Fingerprint, quarantined bool) {
	if quarantined {
		q.rewrites[fingerprint] = true
		return
	}
	q.removals[fingerprint] = true
}

// takeDue returns the quarantines to be written to the store now, out of those that are missing there. The map unstored
// gives how much longer each of them lasts. Scheduled writes that are not needed any more are dropped.
func (q *quarantineWrites) takeDue(
	now clock.Ms, unstored map[quarantine.Fingerprint]clock.Ms, nodes int,
) (fingerprints []quarantine.Fingerprint) {
	for fingerprint := range q.dueAt {
		if _, needed := unstored[fingerprint]; !needed {
			delete(q.dueAt, fingerprint)
		}
	}
	for fingerprint, remaining := range unstored {
		at, known := q.dueAt[fingerprint]
		switch {
		case remaining < minimumLease:
		case !known:
			jitter := min(peerWriteJitterPerNode*clock.Ms(max(nodes, 1)), maximumPeerWriteJitter)
			q.dueAt[fingerprint] = now + peerWriteDelay + clock.Ms(q.random.Int64N(int64(jitter)))
		case now >= at:
			q.dueAt[fingerprint] = now + writeRetryDelay/2 + clock.Ms(q.random.Int64N(int64(writeRetryDelay)))
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	return fingerprints
}

// takeRewrites removes and returns the quarantines that must be written again.
func (q *quarantineWrites) takeRewrites() (fingerprints []quarantine.Fingerprint) {
	return drain(q.rewrites)
}

// takeRemovals removes and returns the quarantines that must be removed from the store.
func (q *quarantineWrites) takeRemovals() (fingerprints []quarantine.Fingerprint) {
	return drain(q.removals)
}

func drain(set map[quarantine.Fingerprint]bool) (fingerprints []quarantine.Fingerprint) {
	for fingerprint := range set {
		fingerprints = append(fingerprints, fingerprint)
	}
	clear(set)
	return fingerprints
}

// mayRequestClaim reports whether the store may be asked for a claim. It returns false for the given length of time after
// it has returned true.
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

// addClaim records that this node has a claim for the given length of time.
func (q *quarantineWrites) addClaim(key string, now, length clock.Ms) {
	for known, expiresAt := range q.claims {
		if now >= expiresAt {
			delete(q.claims, known)
		}
	}
	q.claims[key] = now + length
}

// scheduleClaimRewrites makes all claims be written again, because the store may have lost them. Otherwise another node
// could get the same claim.
func (q *quarantineWrites) scheduleClaimRewrites() {
	for key := range q.claims {
		q.claimRewrites[key] = true
	}
}

// takeClaimRewrites removes the claims that must be written again and returns their writes.
func (q *quarantineWrites) takeClaimRewrites(now clock.Ms) (writes []StoreWrite) {
	for key := range q.claimRewrites {
		if remaining := q.claims[key] - now; remaining >= minimumLease {
			writes = append(writes, claimWrite(key, remaining))
		}
	}
	clear(q.claimRewrites)
	return writes
}

// claimWrite returns the write that requests a claim from the store.
func claimWrite(key string, length clock.Ms) StoreWrite {
	return StoreWrite{Key: key, Value: []byte("{}"), Lease: length, IfAbsent: true}
}

// writeQuarantines writes quarantines and claims to the store until the context ends, so that nodes that start know them.
func (g *Gateway) writeQuarantines(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, writeInterval)
		for _, w := range g.quarantineWritesDue() {
			g.writeQuarantine(ctx, w)
		}
		for _, w := range g.claimRewritesDue() {
			g.rewriteClaim(ctx, w)
		}
		for _, fingerprint := range g.quarantineRemovalsDue() {
			g.removeQuarantine(ctx, fingerprint)
		}
	}
}

// quarantineWrite is a write of the quarantine of one request.
type quarantineWrite struct {
	fingerprint quarantine.Fingerprint
	StoreWrite
}

func (g *Gateway) quarantineWritesDue() (writes []quarantineWrite) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.FromDuration(g.now())
	unstored := g.quarantine.MissingFromStore(now)
	add := func(fingerprint quarantine.Fingerprint, ifAbsent bool) {
		length, quarantined := g.quarantine.RemainingOf(now, fingerprint)
		if !quarantined {
			return
		}
		w := StoreWrite{
			Key: quarantine.KeyOf(fingerprint), Value: g.quarantine.Encode(fingerprint), Lease: length, IfAbsent: ifAbsent,
		}
		writes = append(writes, quarantineWrite{fingerprint, w})
	}
	for _, fingerprint := range g.quarantineWrites.takeDue(now, unstored, g.fleet.nodeCount) {
		add(fingerprint, true)
	}
	for _, fingerprint := range g.quarantineWrites.takeRewrites() {
		add(fingerprint, false)
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
	g.log.QuarantineNotWritten(w.fingerprint, failure.From(err))
	if !w.IfAbsent {
		g.quarantineWrites.scheduleUpdate(w.fingerprint, true)
	}
}

func (g *Gateway) removeQuarantine(ctx context.Context, fingerprint quarantine.Fingerprint) {
	bounded, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := g.store.Remove(bounded, quarantine.KeyOf(fingerprint))
	if err == nil || ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log.QuarantineNotWritten(fingerprint, failure.From(err))
	g.quarantineWrites.scheduleUpdate(fingerprint, false)
}

// rewriteClaim writes a claim again. If that fails the write stays pending.
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

// claimRetrial asks the store for the claim to send a quarantined request to one back end with a new version of the
// software, or, with an empty version, on behalf of another caller. If the store does not answer, no node may do so:
// several nodes that tried would crash a back end each.
func (g *Gateway) claimRetrial(ctx context.Context, fingerprint quarantine.Fingerprint, version string) bool {
	key := quarantine.RetrialKey(fingerprint, version)
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
		g.log.QuarantineNotWritten(fingerprint, failure.From(err))
		// The store may have granted the claim although the call failed. Only an answer that says that it did not lets this
		// node ask again.
		return false
	}
	if claimed {
		g.quarantineWrites.addClaim(key, clock.FromDuration(g.now()), length)
		g.log.RetrialClaimed(fingerprint, version)
	}
	return claimed
}

// mayClaimRetrial reports whether the store may be asked now for the claim of a retrial, and how long the claim would last.
func (g *Gateway) mayClaimRetrial(key, version string) (length clock.Ms, may bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	length = g.settings.Load().Quarantine.Duration
	if version == "" {
		length = min(length, otherCallerInterval)
	}
	if g.storeCopy.records.RewriteRemaining(g.now()) > 0 {
		// A restored store may have lost that another node has the claim.
		return length, false
	}
	return length, g.quarantineWrites.mayRequestClaim(key, clock.FromDuration(g.now()), length)
}
