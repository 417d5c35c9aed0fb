package gateway_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"stiletrail/internal/gateway"
	"stiletrail/internal/quarantine"
)

// crashingFrom is how long after the start of a run the crashing request begins to arrive. crashingOneIn is in how
// many steps on average it is sent once.
const (
	crashingFrom  = 8 * time.Second
	crashingOneIn = 60
)

// hasCrashed reports whether the back end has crashed. The caller holds the lock.
func (b *modelBackEnd) hasCrashed() bool {
	select {
	case <-b.crashed:
		return true
	default:
		return false
	}
}

// crash ends a back end and reports whether it was running. Its entry expires some time later, and then another back
// end starts in its place.
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

// crashRandomly crashes a back end now and then, and rarely all back ends of a zone.
func (s *simulation) crashRandomly() {
	switch draw := s.crashRandom.IntN(1000); {
	case draw < 5:
		s.crash(s.randomBackEnd())
	case draw < 6:
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

// crashSoon crashes a back end a little later, unless the attempt is cancelled before.
func (s *simulation) crashSoon(ctx context.Context, b *modelBackEnd) {
	s.withLock(func() { s.reachTimes = append(s.reachTimes, time.Now()) })
	crashTimer := time.AfterFunc(10*time.Millisecond, func() {
		if s.crash(b) {
			s.withLock(func() { s.crashTimes = append(s.crashTimes, time.Now()) })
		}
	})
	context.AfterFunc(ctx, func() { crashTimer.Stop() })
}

// sendCrashingRequest sends the crashing request to a random node, in one of crashingOneIn steps on average.
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
