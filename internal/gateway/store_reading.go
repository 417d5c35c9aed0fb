package gateway

import (
	"context"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/failure"
	"stiletrail/internal/follow"
)

const (
	// standbyPollInterval is the pause between the looks of a node that leaves the watching to others at whether they still tell it.
	standbyPollInterval = 100 * clock.Ms(1)
	// minimumCoalesceTime is the shortest time in which changes pile up.
	minimumCoalesceTime = 150 * time.Millisecond
)

// readStore carries out the calls to the store that the reader decides, until the context ends.
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

// coalesce lets changes pile up, so that they cost one call; it ends early when requests lack back ends.
func (g *Gateway) coalesce(ctx context.Context, length time.Duration) {
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

// list reads a page of a listing and takes it in.
func (g *Gateway) list(ctx context.Context, call follow.Call) {
	bounded, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
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

// listingComplete takes every known key that a whole listing did not name as vanished.
func (g *Gateway) listingComplete(now time.Duration) {
	c := g.storeCopy
	revision := c.reader.Revision()
	g.log.StoreListed(len(c.listedKeys), revision)
	gone := c.records.ApplyListing(now, c.listedKeys, revision)
	age := c.age(now)
	// Whether the store was restored, which decides what it means that something is gone, is known from here on.
	sends := c.records.Advance(now, revision)
	g.enterRestoredEra(now)
	doubt := c.doubtUntil(now, age, len(gone), g.replicas.Len())
	for _, key := range gone {
		g.applyDeletion(now, key, doubt)
	}
	clear(c.listedKeys)
	g.markListed()
	g.sendSpread(sends)
	g.storeConfirmed(now, revision, nil)
}

// watch waits for changes and takes them in.
func (g *Gateway) watch(ctx context.Context, call follow.Call) {
	bounded, cancel := context.WithTimeout(ctx, call.Duration+call.Timeout)
	defer cancel()
	stop := g.cancelWhenStale(cancel)
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
		// The number that the watch went on from is one of another era: what the store had before it there is not known.
		c.logRegression(call.Revision, at)
		return
	}
	c.logOutdated(records)
	g.applyChanges(now, records, c.doubtUntil(now, c.age(now), countDeleted(records), g.replicas.Len()))
	g.sendSpread(c.records.Advance(now, c.reader.Revision()))
	g.storeConfirmed(now, call.Revision, records)
}

// cancelWhenStale ends a watch at the moment at which the copy turns stale: its connection may carry nothing any more, and the
// store is asked over another one. A poll, at whose beginning the copy is stale already, is left to its own time. The function
// returned stops that, and reports whether it has come to it.
func (g *Gateway) cancelWhenStale(end context.CancelFunc) (stop func() (ended bool)) {
	if g.copyStaleIn() <= 0 {
		return func() bool { return false }
	}
	over, result := make(chan struct{}), make(chan bool, 1)
	suspended := g.suspensions.next()
	go func() {
		for left := g.copyStaleIn(); left > 0; left = g.copyStaleIn() {
			select {
			case <-over:
				result <- false
				return
			case <-suspended:
				suspended = g.suspensions.next()
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

func (g *Gateway) copyStaleIn() clock.Ms {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.storeCopy.untilStale(g.now())
}

// logSilentWatch logs that a watch was ended. That is no trouble of the store, which may be well: the next call is a poll.
func (g *Gateway) logSilentWatch(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log.StoreCallFailed(follow.WatchTimedOut, failure.From(err), g.storeCopy.reader.ContactAge(g.now()))
}

// callFailed takes in that a call to the store failed, unless this node ends.
func (g *Gateway) callFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	trouble := g.store.FailureKind(err)
	g.log.StoreCallFailed(trouble, failure.From(err), g.storeCopy.reader.ContactAge(now))
	g.storeCopy.reader.RecordFailure(now, trouble)
}
