package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"stiletrail/internal/gateway"
)

// Frequencies and limits of runs with a store that is restored from backups.
const (
	// backupOneIn and restoreOneIn are frequencies. A backup is taken, and the store is restored from the last
	// backup, once in so many steps of ten milliseconds on average.
	backupOneIn, restoreOneIn = 300, 700
	// maximumOutage is the longest time for which the store is unavailable before it is restored. rewrittenLimit is
	// the longest time after that until all lost records have been written again.
	maximumOutage  = 2 * time.Second
	rewrittenLimit = 2 * time.Second
	// inForceWithin is how long after its confirmation a configuration must be in force on all nodes.
	inForceWithin = 3 * time.Second
)

// restorePlan is the state of a run with a store that is restored from backups.
type restorePlan struct {
	random *rand.Rand
	backup storeBackup
	// incomplete says whether the store is unavailable or lacks confirmed records. incompleteSince is when that
	// began.
	incomplete      bool
	incompleteSince time.Time
	// confirmed maps each version to the moment at which the store confirmed it.
	confirmed map[uint64]time.Time
}

// TestRandomRestores runs every other seed with a store that is restored from backups some seconds old, in addition
// to the usual faults. Nodes do not restart here. TestChangesLostWithBackup proves what nodes that restart then know.
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

// backUpOrRestore now and then takes a backup of the store, or restores the store from the last backup.
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
	s.withLock(func() {
		s.outages = append(s.outages, span{time.Now(), time.Now().Add(outage + rewrittenAfter + settleTime)})
	})
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

// checkInForce checks that each confirmed version is in force on all nodes in time, unless the store had an outage
// since its confirmation.
func (s *simulation) checkInForce() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for version, at := range s.restores.confirmed {
		if time.Now().Before(s.effectiveBy(at, inForceWithin)) || s.inOutage(at, time.Now()) {
			continue
		}
		for number, g := range s.cluster.gateways {
			if g.Version() < version {
				s.t.Errorf("%v after the start: node %d has version %d in force, %v after version %d was confirmed", time.Since(s.startedAt), number, g.Version(), time.Since(at), version)
			}
		}
		delete(s.restores.confirmed, version)
	}
}

// checkRestores checks that a restore does not undo what was confirmed long enough before the outage. A back end
// whose entry was deleted gets no requests although the restored store contains the entry again. A zone that was
// evacuated gets none although the restored store lacks the evacuation.
func (s *simulation) checkRestores() {
	for _, a := range s.arrivals {
		if removedAt := a.backEnd.removedAt; !removedAt.IsZero() && a.at.After(s.drainedBy(removedAt)) && s.settledBefore(removedAt, a.at, drainTime) {
			s.t.Errorf("back end %s got a request %v after its entry was deleted, when the restored store had it again", a.backEnd.entry.ID, a.at.Sub(removedAt))
		}
		for _, e := range s.evacuations[a.backEnd.entry.Zone] {
			if a.at.After(s.evacuatedBy(e.begin)) && (e.end.IsZero() || a.at.Before(e.end)) && s.settledBefore(e.begin, a.at, evacuateWithin) {
				s.t.Errorf("back end %s got a request %v after its zone was evacuated, when the restored store lacked that", a.backEnd.entry.ID, a.at.Sub(e.begin))
			}
		}
	}
}

// settledBefore reports whether all nodes had time to learn what was confirmed at a moment, between the outage of the
// store before it and the next one, and whether an outage began after it and before the second moment.
func (s *simulation) settledBefore(confirmedAt, until time.Time, learnTime time.Duration) bool {
	hadOutage := false
	for _, outage := range s.outages {
		if outage.begin.Before(confirmedAt.Add(learnTime)) && outage.end.After(confirmedAt) {
			return false
		}
		hadOutage = hadOutage || outage.begin.After(confirmedAt) && outage.begin.Before(until)
	}
	return hadOutage
}

// recordConfirmed records that the store has accepted a version.
func (s *simulation) recordConfirmed(item gateway.Item) {
	if s.restores != nil {
		s.restores.confirmed[configurationOf(item).Version] = time.Now()
	}
}
