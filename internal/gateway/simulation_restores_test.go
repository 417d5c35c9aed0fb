package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"stiletrail/internal/gateway"
)

// What a course with a store that comes back from copies draws from, and is held to.
const (
	// backupOneIn and goneEvery: a copy is taken, and the store comes back from the last one, once in so many steps of ten milliseconds on average.
	backupOneIn, restoreOneIn = 300, 700
	// maximumOutage is how long the store is away before that, writtenWithin how long after it all has been written again that was lost.
	maximumOutage  = 2 * time.Second
	rewrittenLimit = 2 * time.Second
	// inForceWithin is how long after it was confirmed a configuration is in force on all nodes.
	inForceWithin = 3 * time.Second
)

// restores is what a course with a store that comes back from copies goes by.
type restorePlan struct {
	random *rand.Rand
	backup storeBackup
	// incomplete: the store is away or lacks what was confirmed, since awaySince.
	incomplete      bool
	incompleteSince time.Time
	// confirmed is when each version was.
	confirmed map[uint64]time.Time
}

// TestRandomRestores plays every other seed with a store that comes back from copies some seconds old, beside the usual faults. Nodes do not start anew: what
// these know then is in TestChangesLostWithBackup.
func TestRandomRestores(t *testing.T) {
	for _, seed := range seeds() {
		if seed%2 == 0 && len(seeds()) > 1 {
			continue
		}
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { simulate(t, seed, withRestores) })
		})
	}
}

// backUpOrRestore takes a copy of the store now and then, and has it come back from the last one.
func (s *simulation) backUpOrRestore() {
	c := s.restores
	if c.incomplete {
		return
	}
	if c.random.IntN(backupOneIn) == 0 {
		c.backup = s.cluster.store.backup()
	}
	if c.random.IntN(restoreOneIn) != 0 {
		return
	}
	outage := time.Duration(c.random.Int64N(int64(maximumOutage)))
	rewrittenAfter := time.Duration(c.random.Int64N(int64(rewrittenLimit)))
	c.incomplete, c.incompleteSince = true, time.Now()
	s.outages = append(s.outages, span{time.Now(), time.Now().Add(outage + rewrittenAfter + settleTime)})
	store := s.cluster.store
	store.update(func(store *fakeStore) { store.err = errUnavailable })
	time.AfterFunc(outage, func() {
		s.withLock(func() {
			store.restore(c.backup)
			store.update(func(store *fakeStore) { store.err = nil })
		})
	})
	time.AfterFunc(outage+rewrittenAfter, func() {
		s.withLock(func() {
			store.rewriteLost()
			c.incomplete = false
		})
	})
}

// checkInForce checks that a version is in force on all nodes in time where the store was well since it was confirmed.
func (s *simulation) checkInForce() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for version, at := range s.restores.confirmed {
		if time.Now().Before(s.effectiveBy(at, inForceWithin)) || s.inOutage(at, time.Now()) {
			continue
		}
		for number, g := range s.cluster.gateways {
			if g.Version() < version {
				s.t.Errorf("%v: node %d has version %d in force %v after %d was confirmed", time.Since(s.startedAt), number, g.Version(), time.Since(at), version)
			}
		}
		delete(s.restores.confirmed, version)
	}
}

// checkRestores: a back end that had left, and a zone that was evacuated, for long enough before the store went away, get nothing when it names the one and lacks
// the other.
func (s *simulation) checkRestores() {
	for _, a := range s.arrivals {
		if gone := a.backEnd.removedAt; !gone.IsZero() && a.at.After(s.drainedBy(gone)) && s.settledBefore(gone, a.at, drainTime) {
			s.t.Errorf("%s got a request %v after its entry went, as the store named it again", a.backEnd.entry.ID, a.at.Sub(gone))
		}
		for _, e := range s.evacuations[a.backEnd.entry.Zone] {
			if a.at.After(s.evacuatedBy(e.begin)) && (e.end.IsZero() || a.at.Before(e.end)) && s.settledBefore(e.begin, a.at, evacuateWithin) {
				s.t.Errorf("%s got a request %v after its zone was evacuated, as the store had lost that", a.backEnd.entry.ID, a.at.Sub(e.begin))
			}
		}
	}
}

// settledBefore reports whether something that was confirmed at a moment had its time to be known before the first trouble of the store after it, and after
// the last one before it, and such a trouble began before another moment.
func (s *simulation) settledBefore(at, until time.Time, known time.Duration) bool {
	troubled := false
	for _, outage := range s.outages {
		if outage.begin.Before(at.Add(known)) && outage.end.After(at) {
			return false
		}
		troubled = troubled || outage.begin.After(at) && outage.begin.Before(until)
	}
	return troubled
}

// recordConfirmed notes that the store has taken a version.
func (s *simulation) recordConfirmed(item gateway.Item) {
	if s.restores != nil {
		s.restores.confirmed[configurationOf(item).Version] = time.Now()
	}
}
