package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/failure"
	"stiletrail/internal/follow"
	"stiletrail/internal/history"
	"stiletrail/internal/message"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/replica"
	"stiletrail/internal/routing"
)

// Item is one thing the store holds, in the product's own terms. At most one of Configuration, BackEnd and EvacuatedZone is set; with
// none, the item vanished or is of no interest.
type Item struct {
	// Key is opaque.
	Key string
	// Revision of the item's last change.
	Revision      history.Revision
	Gone          bool
	Configuration *routing.Configuration
	// BackEndID is set on items about a back end, also on those that vanished.
	BackEndID string
	BackEnd   *replica.Entry
	// EvacuatedZone is set on items that ask for nothing more to be sent to a zone, also on those that vanished, which take it back.
	EvacuatedZone string
	// Err says why an item could not be read; what was known of it before stays in force.
	Err error
}

// Page is a part of a listing.
type Page struct {
	Records []message.StoreRecord
	// Last key of the page, from which the next one goes on.
	Last string
	At   history.Revision
	More bool
}

// Write is something that a node keeps in the store.
type Write struct {
	Key   string
	Value []byte
	// For is how long it stays at most.
	For clock.Ms
	// First: it is written only where there is nothing yet.
	First bool
}

// Store is read for the configuration and the back ends. Failures have the code STORE_UNAVAILABLE; Trouble tells their kind.
type Store interface {
	// List reads the page of keys after one. Known is the revision that the node knows, by which the answer is told from one of an earlier era.
	List(ctx context.Context, known history.Revision, after string) (Page, error)
	// Watch waits for changes after a revision and returns them with the revision to go on from.
	Watch(ctx context.Context, revision history.Revision, wait time.Duration) ([]message.StoreRecord, history.Revision, error)
	// Decode says what a record means. A value that cannot be read is noted in the item.
	Decode(record message.StoreRecord) Item
	// Write writes something that nodes keep in the store themselves, and reports whether it did: not where it is there already and the write is to be
	// the first.
	Write(ctx context.Context, w Write) (written bool, err error)
	// Remove takes something away that nodes keep there.
	Remove(ctx context.Context, key string) error
	// Trouble is the kind of a failure of this store.
	Trouble(err error) follow.Trouble
}

// Bounds of a call to the store.
const (
	// expireInterval is how often vanished entries are looked through, and pruneEvery so many times idle connections.
	expireInterval = 200 * time.Millisecond
	pruneEvery     = 5
	// massShare of the back ends vanishing within one call is taken for trouble of the store, not for back ends leaving.
	massShare = 3
	massCount = 4
	// starvedGather is the shortest time in which changes pile up.
	starvedGather = 150 * time.Millisecond
)

// Run follows the store until the context ends.
func (g *Gateway) Run(ctx context.Context) {
	go g.maintain(ctx)
	go g.keepQuarantines(ctx)
	if g.members != nil {
		go g.tickPeers(ctx)
		go g.sendReports(ctx)
	}
	for ctx.Err() == nil {
		if g.standsBy() {
			pause(ctx, standbyLook.Duration())
			continue
		}
		g.mu.Lock()
		call := g.follower.Next(time.Duration(time.Now().UnixNano()), g.copyState(g.now()))
		g.mu.Unlock()
		switch call.Kind {
		case follow.Pause:
			pause(ctx, call.For)
		case follow.Coalesce:
			g.gather(ctx, call.For)
		case follow.List:
			g.list(ctx, call)
		case follow.Watch:
			g.watch(ctx, call)
		}
	}
}

// gather lets changes pile up, so that they cost one call; it ends early when requests are refused for want of back ends.
func (g *Gateway) gather(ctx context.Context, length time.Duration) {
	pause(ctx, min(length, starvedGather))
	timer := time.NewTimer(length - starvedGather)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-g.storeWanted:
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

func (g *Gateway) list(ctx context.Context, call follow.Call) {
	bounded, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	page, err := g.store.List(bounded, call.Revision, call.After)
	if err != nil {
		g.failed(ctx, err)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.regained(now)
	if call.After == "" {
		g.noteReturn(call.Revision, page.At)
		clear(g.listedKeys)
	}
	g.noteOlder(page.Records)
	for _, record := range page.Records {
		g.listedKeys[record.Key] = true
		g.take(now, record)
	}
	if g.follower.Page(now, page.Last, page.At, page.More) {
		g.listedWhole(now)
	}
}

// listedWhole takes every known key that a whole listing did not name as vanished.
func (g *Gateway) listedWhole(now time.Duration) {
	revision := g.follower.Revision()
	g.log.Listed(len(g.listedKeys), revision)
	gone := g.view.Listed(now, g.listedKeys, revision)
	age := g.copyAge(now)
	// Whether the store has come back from a copy, which decides what it means that something is gone, is known from here on.
	sends := g.view.Advance(now, revision)
	g.followEra(now)
	doubt := g.doubtUntilAt(now, age, len(gone))
	for _, key := range gone {
		g.vanished(now, key, doubt)
	}
	clear(g.listedKeys)
	g.noteListed()
	g.tell(sends)
	g.confirmed(now, revision, nil)
}

// firstListing is how far a node that starts has come to know the store. It is written with Gateway.mu held and read without.
type firstListing struct {
	// read: a whole listing was read, or told by another node.
	read atomic.Bool
	// readAt is when that was, as a time.Duration on the node's clock; 0 before.
	readAt atomic.Int64
	// complete is closed once it was read and a configuration is in force.
	complete chan struct{}
}

// noteRead notes that the node knows the whole content of the store. Requests that wait for it go on once there is a configuration.
func (l *firstListing) noteRead(now time.Duration, configured bool) {
	if l.read.CompareAndSwap(false, true) {
		l.readAt.Store(int64(now))
	}
	select {
	case <-l.complete:
	default:
		if configured {
			close(l.complete)
		}
	}
}

// noteListed notes that the node knows the whole content of the store.
func (g *Gateway) noteListed() { g.firstListing.noteRead(g.now(), g.table.Load() != nil) }

func (g *Gateway) watch(ctx context.Context, call follow.Call) {
	bounded, cancel := context.WithTimeout(ctx, call.For+call.Timeout)
	defer cancel()
	stop := g.endWhenStale(cancel)
	records, at, err := g.store.Watch(bounded, call.Revision, call.For)
	if ended := stop(); ended && err != nil && ctx.Err() == nil {
		g.watchWasSilent(err)
		return
	}
	if err != nil {
		g.failed(ctx, err)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.regained(now)
	if !g.follower.Changes(now, call.Revision, at, len(records)) {
		// The number that the watch went on from is one of another era: what the store had before it there is not known.
		g.noteReturn(call.Revision, at)
		return
	}
	g.noteOlder(records)
	g.takeChanges(now, records, g.doubtUntil(now, countGone(records)))
	g.tell(g.view.Advance(now, g.follower.Revision()))
	g.confirmed(now, call.Revision, records)
}

// massVanishing: so many back ends vanishing within one call is taken for trouble of the store.
func (g *Gateway) massVanishing(count int) bool {
	return count >= massCount && count*massShare > g.replicas.Len()
}

func (g *Gateway) takeChanges(now time.Duration, records []message.StoreRecord, doubt time.Duration) {
	for _, record := range records {
		if !record.Gone {
			g.take(now, record)
		} else if g.view.Apply(now, record) {
			g.vanished(now, record.Key, doubt)
		}
	}
}

func countGone(records []message.StoreRecord) int {
	count := 0
	for _, record := range records {
		if record.Gone {
			count++
		}
	}
	return count
}

// take brings a record in force unless a newer one of its key was taken.
func (g *Gateway) take(now time.Duration, record message.StoreRecord) {
	if g.view.Apply(now, record) {
		g.followEra(now)
		g.apply(now, record)
	}
}

// apply brings what a record means in force.
func (g *Gateway) apply(now time.Duration, record message.StoreRecord) {
	if mark, found := quarantine.MarkOfKey(record.Key); found {
		g.takeQuarantine(now, mark, record)
		return
	}
	item := g.store.Decode(record)
	if item.Err != nil {
		g.log.Rejected(&item)
	}
	if item.BackEnd != nil && g.replicas.Put(now, *item.BackEnd) && (g.firstListing.read.Load() || item.BackEnd.Draining) {
		// Of what the first listing brings, one line tells how much it is.
		g.log.BackEnd(*item.BackEnd, item.Revision)
	}
	if item.EvacuatedZone != "" && g.replicas.EvacuateZone(item.EvacuatedZone) {
		g.log.Evacuated(item.EvacuatedZone, item.Revision)
	}
	if item.Configuration != nil {
		g.adopt(&item, record)
	}
}

// adopt puts a configuration in force if it is newer than the one that is, by its own version: a store that comes back from a copy may tell one that was
// replaced, and what was in force must not go back. One that cannot be read changes nothing.
func (g *Gateway) adopt(item *Item, record message.StoreRecord) {
	current := g.table.Load()
	if current != nil && item.Configuration.Version <= current.Version() {
		g.keepInForce(record.Key, item.Configuration.Version < current.Version())
		return
	}
	compiled, err := routing.Compile(*item.Configuration)
	if err == nil {
		err = compiled.CheckRegions(g.settings.Load().Places.KnowsRegion)
	}
	if err != nil {
		item.Err = err
		g.log.Rejected(item)
		return
	}
	g.splitter.Retain(compiled)
	g.gate.Retain(compiled.HasRoute)
	g.table.Store(compiled)
	g.inForce = record
	g.view.SetConfiguration(compiled.Version())
	g.keepInForce(record.Key, false)
	g.setWarmups(compiled)
	g.shareOut()
	if g.firstListing.read.Load() {
		g.noteListed()
	}
	g.log.Configuration(compiled, item.Revision)
}

// setWarmups tells how cold the configuration says that back ends are; the lock is held.
func (g *Gateway) setWarmups(table *routing.Table) {
	warmups := map[string]replica.Warmup{}
	for _, service := range table.Services() {
		if service.ColdFor > 0 || service.ColdRate > 0 {
			warmups[service.Name] = replica.Warmup{For: service.ColdFor, Rate: service.ColdRate}
		}
	}
	g.replicas.SetWarmups(warmups)
}

// vanished takes in that a key is gone. A back end of that is used on until a moment.
func (g *Gateway) vanished(now time.Duration, key string, doubt time.Duration) {
	if mark, found := quarantine.MarkOfKey(key); found {
		g.dropQuarantine(now, mark)
		return
	}
	if key == g.inForce.Key {
		g.keepInForce(key, true)
	}
	item := g.store.Decode(message.StoreRecord{Key: key, Gone: true})
	if id := item.BackEndID; id != "" && g.replicas.Remove(now, id, doubt) {
		g.log.Vanished(id, doubt <= now)
	}
	if zone := item.EvacuatedZone; zone != "" {
		g.takeBack(now, key, zone)
	}
}

func (g *Gateway) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	trouble := g.store.Trouble(err)
	g.log.StoreLost(trouble, failure.From(err), g.follower.ContactAge(now))
	g.follower.Failed(now, trouble)
}

func (g *Gateway) regained(now time.Duration) {
	g.log.StoreAnswered(g.follower.ContactAge(now))
}

// maintain forgets what is over: vanished back ends whose time of doubt has passed, and idle connections.
func (g *Gateway) maintain(ctx context.Context) {
	for round := 1; ctx.Err() == nil; round++ {
		pause(ctx, expireInterval)
		if length := g.wakes.look(g.clock.Suspended()); length > 0 {
			g.log.Suspended(length)
		}
		g.mu.Lock()
		g.noteAge(g.now())
		for _, id := range g.replicas.Expire(g.now()) {
			g.log.Vanished(id, true)
		}
		for _, entry := range g.replicas.Readmit(g.now()) {
			g.log.BackEnd(entry, g.view.Revision())
		}
		g.takeBackDue(g.now())
		g.mu.Unlock()
		if round%pruneEvery == 0 {
			g.prune()
		}
	}
}

// prune closes idle connections that have rested long enough or that nobody will use.
func (g *Gateway) prune() {
	addresses := map[string]bool{}
	g.mu.Lock()
	g.replicas.All(func(known *replica.Replica) { addresses[known.Address] = !known.Draining })
	g.mu.Unlock()
	g.backEnds.Prune(func(address string) bool { return addresses[address] })
}
