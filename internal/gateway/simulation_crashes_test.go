package gateway_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"stiletrail/internal/gateway"
	"stiletrail/internal/quarantine"
)

// The request that ends back ends in courses that have one. It begins to come some seconds into the course.
const (
	crashingFrom  = 8 * time.Second
	crashingOneIn = 60
)

// crashed reports whether a back end has ended; the lock is held.
func (b *modelBackEnd) hasCrashed() bool {
	select {
	case <-b.crashed:
		return true
	default:
		return false
	}
}

// peerTransport ends a back end and reports whether it lived. Its entry goes some time later, and then another begins in its place.
func (s *simulation) crash(b *modelBackEnd) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if b.hasCrashed() {
		return false
	}
	close(b.crashed)
	time.AfterFunc(entryExpiresAfter, func() {
		s.withLock(func() {
			if b.removedAt.IsZero() {
				b.removedAt = time.Now()
			}
		})
		s.cluster.store.put(gateway.Item{Key: "back ends/" + b.entry.ID, Deleted: true})
	})
	time.AfterFunc(restartsAfter, func() {
		var number int
		_, _ = fmt.Sscanf(b.entry.Zone, "zone-%d", &number)
		s.addBackEnd(b.entry.Service, number)
	})
	return true
}

// crashRandomly ends a back end by itself now and then, and rarely all of a zone.
func (s *simulation) crashRandomly() {
	switch drawn := s.crashRandom.IntN(1000); {
	case drawn < 5:
		s.crash(s.randomBackEnd())
	case drawn < 6:
		s.mutex.Lock()
		zone := fmt.Sprint("zone-", s.crashRandom.IntN(simulatedReplicas))
		var all []*modelBackEnd
		for _, b := range s.backEnds {
			if b.entry.Zone == zone && b.removedAt.IsZero() {
				all = append(all, b)
			}
		}
		s.mutex.Unlock()
		for _, b := range all {
			s.crash(b)
		}
	}
}

// crashSoon has a back end end a little later, unless the attempt is withdrawn.
func (s *simulation) crashSoon(ctx context.Context, b *modelBackEnd) {
	s.withLock(func() { s.reachTimes = append(s.reachTimes, time.Now()) })
	crashTimer := time.AfterFunc(10*time.Millisecond, func() {
		if s.crash(b) {
			s.withLock(func() { s.crashTimes = append(s.crashTimes, time.Now()) })
		}
	})
	context.AfterFunc(ctx, func() { crashTimer.Stop() })
}

// sendCrashingRequests sends the request that ends back ends to a node, each so often.
func (s *simulation) sendCrashingRequest(callers *sync.WaitGroup) {
	if time.Since(s.startedAt) < crashingFrom || s.crashRandom.IntN(crashingOneIn) != 0 {
		return
	}
	const path = "/all/!"
	id := fmt.Sprint(len(s.sentAt))
	s.sentAt = append(s.sentAt, time.Now())
	g := s.cluster.gateways[s.crashRandom.IntN(simulatedNodes)]
	callers.Go(func() {
		result := g.Serve(context.Background(), &gateway.Call{ID: id, Host: "h", Path: path, Identity: quarantine.NewIdentity("bad", []byte(path), nil)})
		s.withLock(func() { s.results[id] = result })
	})
}
