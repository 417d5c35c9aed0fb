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
	crashingTries = 60
)

// ended reports whether a back end has ended; the lock is held.
func (b *modelBackEnd) ended() bool {
	select {
	case <-b.over:
		return true
	default:
		return false
	}
}

// end ends a back end and reports whether it lived. Its entry goes some time later, and then another begins in its place.
func (s *simulation) end(b *modelBackEnd) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if b.ended() {
		return false
	}
	close(b.over)
	time.AfterFunc(entryLapses, func() {
		s.locked(func() {
			if b.goneSince.IsZero() {
				b.goneSince = time.Now()
			}
		})
		s.cluster.store.put(gateway.Item{Key: "back ends/" + b.entry.ID, Deleted: true})
	})
	time.AfterFunc(backAfter, func() {
		var number int
		_, _ = fmt.Sscanf(b.entry.Zone, "zone-%d", &number)
		s.addBackEnd(b.entry.Service, number)
	})
	return true
}

// endSome ends a back end by itself now and then, and rarely all of a zone.
func (s *simulation) endSome() {
	switch drawn := s.ending.IntN(1000); {
	case drawn < 5:
		s.end(s.anyBackEnd())
	case drawn < 6:
		s.mutex.Lock()
		zone := fmt.Sprint("zone-", s.ending.IntN(simulatedReplicas))
		var all []*modelBackEnd
		for _, b := range s.backEnds {
			if b.entry.Zone == zone && b.goneSince.IsZero() {
				all = append(all, b)
			}
		}
		s.mutex.Unlock()
		for _, b := range all {
			s.end(b)
		}
	}
}

// burn has a back end end a little later, unless the attempt is withdrawn.
func (s *simulation) burn(ctx context.Context, b *modelBackEnd) {
	s.locked(func() { s.crashing = append(s.crashing, time.Now()) })
	fuse := time.AfterFunc(10*time.Millisecond, func() {
		if s.end(b) {
			s.locked(func() { s.crashes = append(s.crashes, time.Now()) })
		}
	})
	context.AfterFunc(ctx, func() { fuse.Stop() })
}

// sendCrashing sends the request that ends back ends to a node, each so often.
func (s *simulation) sendCrashing(callers *sync.WaitGroup) {
	if time.Since(s.began) < crashingFrom || s.ending.IntN(crashingTries) != 0 {
		return
	}
	const path = "/all/!"
	id := fmt.Sprint(len(s.requests))
	s.requests = append(s.requests, time.Now())
	g := s.cluster.gateways[s.ending.IntN(simulatedNodes)]
	callers.Go(func() {
		result := g.Serve(context.Background(), &gateway.Call{ID: id, Host: "h", Path: path, Identity: quarantine.NewIdentity("bad", []byte(path), nil)})
		s.locked(func() { s.ends[id] = result })
	})
}
