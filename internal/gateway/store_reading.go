package gateway

import (
	"context"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/failure"
	"stiletrail/internal/follow"
)

const (
	// standbyPollInterval is the pause between two checks of a node that does not watch the store itself, whether the
	// watchers still keep it up to date.
	standbyPollInterval = 100 * clock.Ms(1)
	// minimumCoalesceTime is the shortest time for which changes are collected.
	minimumCoalesceTime = 150 * time.Millisecond
)

// readStore makes the calls to the store that the reader decides on, until the context ends.
func (g *Gateway) readStore(ctx context.Context) {
	for ctx.Err() == nil {
		if g.reliesOnWatchers() {
			pause(ctx, standbyPollInterval.Duration())
			continue
		}
		switch call := g.nextCall(); call.Kind {
		case follow.Pause:
			pause(ctx, call.Duration)
		case follow.Coalesce:
			g.coalesce(ctx, call.Duration)
		case follow.List:
			g.list(ctx, call)
		case follow.Watch:
			g.watch(ctx, call)
		}
	}
}

func (g *Gateway) nextCall() follow.Call {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.storeCopy.reader.Next(time.Duration(time.Now().UnixNano()), g.storeCopy.state(g.now()))
}

// coalesce waits while changes collect in the store, so that one call returns them all. It ends early if requests lack
// back ends, or if the copy becomes stale.
func (g *Gateway) coalesce(ctx context.Context, length time.Duration) {
	length = min(length, max(g.copyStaleIn().Duration(), minimumCoalesceTime))
	pause(ctx, min(length, minimumCoalesceTime))
	timer := time.NewTimer(length - minimumCoalesceTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-g.storeReadWanted:
	}
}

func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// list reads one page of a listing and applies it.
func (g *Gateway) list(ctx context.Context, call follow.Call) {
	bounded, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	startedAt := g.now()
	page, err := g.store.List(bounded, call.Revision, call.AfterKey)
	if err != nil {
		g.callFailed(ctx, err)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now, c := g.now(), g.storeCopy
	g.log.StoreAnswered(c.reader.ContactAge(now))
	if call.AfterKey == "" {
		c.logRegression(call.Revision, page.Revision)
		clear(c.listedKeys)
		c.listingStartedAt = startedAt
	}
	c.logOutdated(page.Records)
	for _, record := range page.Records {
		c.listedKeys[record.Key] = true
		g.applyIfNewer(now, record)
	}
	if c.reader.ApplyPage(now, page.LastKey, page.Revision, page.More) {
		g.listingComplete(now)
	}
}

// listingComplete handles the end of a listing: every known key that the listing did not return was deleted.
func (g *Gateway) listingComplete(now time.Duration) {
	c := g.storeCopy
	revision := c.reader.Revision()
	g.log.StoreListed(len(c.listedKeys), revision)
	deleted := c.records.ApplyListing(now, c.listedKeys, revision)
	age := c.age(now)
	// After Advance it is known whether the store was restored, and that decides what a deletion means.
	sends := c.records.Advance(now, revision)
	g.enterRestoredEra(now)
	usedUntil := c.doubtUntil(now, age, len(deleted), g.replicas.Len())
	for _, key := range deleted {
		g.applyDeletion(now, key, usedUntil)
	}
	clear(c.listedKeys)
	g.markListed()
	g.sendSpread(sends)
	g.storeConfirmed(now, storeAnswer{asOf: c.listingStartedAt, since: revision, until: revision})
}

// watch waits for changes in the store and applies them.
func (g *Gateway) watch(ctx context.Context, call follow.Call) {
	bounded, cancel := context.WithTimeout(ctx, call.Duration+call.Timeout)
	defer cancel()
	stop := g.cancelWhenStale(cancel)
	startedAt := g.now()
	records, at, err := g.store.Watch(bounded, call.Revision, call.Duration)
	if ended := stop(); ended && err != nil && ctx.Err() == nil {
		g.logSilentWatch(err)
		return
	}
	if err != nil {
		g.callFailed(ctx, err)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now, c := g.now(), g.storeCopy
	g.log.StoreAnswered(c.reader.ContactAge(now))
	if !c.reader.ApplyChanges(now, call.Revision, at, len(records)) {
		// The watch started at a revision number of another era. What the store has below that number is not known.
		c.logRegression(call.Revision, at)
		return
	}
	c.logOutdated(records)
	g.applyChanges(now, records, c.doubtUntil(now, c.age(now), countDeleted(records), g.replicas.Len()))
	g.sendSpread(c.records.Advance(now, c.reader.Revision()))
	g.storeConfirmed(now, storeAnswer{
		asOf: call.AnsweredAfter(startedAt, now, len(records)), since: call.Revision, until: at, records: records,
	})
}

// cancelWhenStale cancels a watch when the copy becomes stale. The watch's connection may be dead by then, and the store is
// asked over another one. A call that starts with a stale copy is a poll and has its own timeout, so it is not cancelled.
// The returned function stops the wait, and reports whether the watch was cancelled.
func (g *Gateway) cancelWhenStale(cancel context.CancelFunc) (stop func() (ended bool)) {
	if g.copyStaleIn() <= 0 {
		return func() bool { return false }
	}
	done, result := make(chan struct{}), make(chan bool, 1)
	suspended := g.suspensions.next()
	go func() {
		for remaining := g.copyStaleIn(); remaining > 0; remaining = g.copyStaleIn() {
			select {
			case <-done:
				result <- false
				return
			case <-suspended:
				suspended = g.suspensions.next()
			case <-time.After(remaining.Duration()):
			}
		}
		cancel()
		result <- true
	}()
	return func() bool {
		close(done)
		return <-result
	}
}

func (g *Gateway) copyStaleIn() clock.Ms {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.storeCopy.untilStale(g.now())
}

// logSilentWatch logs that a watch was cancelled. The store may be available all the same, so this does not count as a
// failed call; the next call is a poll.
func (g *Gateway) logSilentWatch(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log.StoreCallFailed(follow.WatchTimedOut, failure.From(err), g.storeCopy.reader.ContactAge(g.now()))
}

// callFailed records that a call to the store failed. It does nothing if this node is stopping.
func (g *Gateway) callFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	kind := g.store.FailureKind(err)
	g.log.StoreCallFailed(kind, failure.From(err), g.storeCopy.reader.ContactAge(now))
	g.storeCopy.reader.RecordFailure(now, kind)
}
